package follow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

// feed is one table that is followed.
type feed struct {
	name          string
	progress      *progress
	relayWait     time.Duration
	read          func(ctx context.Context) (version uint64, err error)
	wait          func(ctx context.Context, after uint64, wait time.Duration) (version uint64, err error)
	onRecovered   func()      // called when the store is reachable again; nil: not called
	needsFullRead func() bool // reports whether the table lacks what this host now needs, so that it must be read completely
	followsOther  bool        // the calls of another feed show whether the store is unavailable
	reread        bool
	failingSince  time.Time
}

// storeRecovered records that the store answers the upstreams' feed again.
func (f *Follower) storeRecovered() {
	f.deps.Upstreams.StoreRecovered()
	f.storeUnavailable.Store(false)
	select {
	case f.recovered <- struct{}{}:
	default: // one token is enough
	}
}

// run follows one table until ctx ends.
func (f *Follower) run(ctx context.Context, d *feed) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryPause, maxRetryPause
	for ctx.Err() == nil {
		if f.isRelayed() || f.shouldWaitForRelay() {
			pace.Sleep(ctx, f.relayCheckInterval())
			continue
		}
		startedAt := time.Now()
		version, err := f.step(ctx, d)
		switch {
		case err == nil && version == 0: // in a store in which nothing was ever written there is no version to wait after
			f.recordAnswer(d, version)
			wait := retry.NextBackOff()
			if f.deps.OthersProbeFirst() {
				wait = emptyStorePause
			}
			pace.Sleep(ctx, wait)
		case err == nil:
			f.recordAnswer(d, version)
			retry.Reset()
			pace.Sleep(ctx, f.minInterval()-time.Since(startedAt))
		case errors.Is(err, store.ErrHistoryLost):
			f.deps.Log.Emit(event.FeedReloaded, zap.String("table", d.name),
				zap.Uint64("era", store.EraOf(d.progress.version.Load())), zap.Uint64("after", store.NumberOf(d.progress.version.Load())))
			d.reread = true
		default:
			f.recordFailure(ctx, d, err)
			f.waitAfterFailure(ctx, d, retry.NextBackOff())
		}
	}
	return ctx.Err()
}

// recordAnswer records an answer of the store.
func (f *Follower) recordAnswer(d *feed, version uint64) {
	d.progress.answeredAt.Store(f.sinceStart())
	f.advance(d, version)
	f.recordRecovery(d)
}

// minInterval returns the minimum time from one call for changes to the next.
func (f *Follower) minInterval() time.Duration {
	switch {
	case f.deps.IsRelaying():
		return relayInterval
	case f.deps.OthersProbeFirst():
		return pace.DefaultRand().Jitter(deferredInterval, pauseJitter)
	default:
		return pace.DefaultRand().Jitter(defaultInterval, pauseJitter)
	}
}

// waitAfterFailure waits between two retries while the store is unavailable.
func (f *Follower) waitAfterFailure(ctx context.Context, d *feed, wait time.Duration) {
	otherProbes := d.followsOther && f.storeUnavailable.Load()
	if !f.deps.OthersProbeFirst() || wait <= maxQuickRetryPause && !otherProbes {
		pace.Sleep(ctx, wait)
		return
	}
	if !otherProbes {
		pause := deferredRetryPause
		if f.deps.LinkedToCoordinator() {
			pause = linkedRetryPause
		}
		pace.Sleep(ctx, pace.DefaultRand().Jitter(pause, pauseJitter))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, otherFeedRetryPause)
	defer cancel()
	select {
	case <-f.recovered:
	case <-ctx.Done():
	}
}

// advance records up to which version the table was followed, unless a relay was newer.
func (f *Follower) advance(d *feed, version uint64) {
	for {
		old := d.progress.version.Load()
		if old >= version || d.progress.version.CompareAndSwap(old, version) {
			return
		}
	}
}

// step makes one call: a complete read if nothing is known, else a call for the next
// changes.
func (f *Follower) step(ctx context.Context, d *feed) (version uint64, err error) {
	err = recoverPanic(func() error {
		version, err = f.call(ctx, d)
		return err
	})
	return version, err
}

func (f *Follower) call(ctx context.Context, d *feed) (uint64, error) {
	version := d.progress.version.Load()
	if version == 0 || d.reread || d.needsFullRead() {
		f.count(d.name, fullRead)
		next, err := d.read(ctx)
		d.reread = d.reread && err != nil
		return next, err
	}
	wait, reason := defaultWait, waitForChanges
	switch {
	case !f.deps.OthersProbeFirst() && f.hasNotAnswered(d):
		// A host that may coordinate next must know early whether the store answers; a
		// call that waits for changes would show it too late.
		wait, reason = 0, probeStore
	case !d.failingSince.IsZero():
		// After a recovery the store may never answer a call that it had not received;
		// short calls notice the recovery within a second, and find what has changed.
		wait, reason = 0, probeStore
	case f.deps.IsRelaying():
		wait, reason = d.relayWait, waitAsRelay
	case !f.deps.OthersProbeFirst():
		wait = d.relayWait // it may relay before the call ends, and it reports how old its last answer is
	}
	f.count(d.name, reason)
	ctx, cancel := context.WithTimeout(ctx, wait+waitSlack)
	defer cancel()
	return d.wait(ctx, version, wait)
}

// hasNotAnswered reports whether the store has not answered this host for longer than a
// call for changes waits, for example while another host relayed.
func (f *Follower) hasNotAnswered(d *feed) bool {
	return f.sinceStart()-d.progress.answeredAt.Load() > int64(defaultWait)
}

// Reasons for calls of the store, as they are counted.
const (
	fullRead       = "read_whole"     // nothing is known, or the history is lost; each part of a list is a call
	waitForChanges = "wait_alone"     // no other host relays changes
	waitAsRelay    = "wait_for_all"   // this host relays to the others
	probeStore     = "look_for_store" // the store did not answer last time, or was not asked lately
)

func (f *Follower) count(table, reason string) {
	if f.deps.Metrics != nil {
		f.deps.Metrics.CountKind(metrics.StoreCalls, table+"_"+reason, 1)
	}
}

func (f *Follower) recordFailure(ctx context.Context, d *feed, err error) {
	if !d.failingSince.IsZero() || ctx.Err() != nil {
		return
	}
	d.failingSince = time.Now()
	if !d.followsOther {
		f.storeUnavailable.Store(true)
	}
	f.deps.Log.Emit(event.StoreLost, zap.String("table", d.name), zap.Error(err))
}

func (f *Follower) recordRecovery(d *feed) {
	if d.failingSince.IsZero() {
		return
	}
	f.deps.Log.Emit(event.StoreRecovered, zap.String("table", d.name), zap.Duration("away", time.Since(d.failingSince)))
	d.failingSince = time.Time{}
	if d.onRecovered != nil {
		d.onRecovered()
	}
}
