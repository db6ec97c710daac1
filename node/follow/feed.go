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
	name      string
	progress  *progress
	relayWait time.Duration
	read      func(ctx context.Context) (at uint64, err error)
	wait      func(ctx context.Context, after uint64, wait time.Duration) (at uint64, err error)
	back      func()      // the store is reached again; nil: nobody asks
	lacks     func() bool // the table has to be read whole for what this host does with it
	second    bool        // another feed's tries show whether the store is away
	reread    bool
	lostAt    time.Time
}

// storeBack notes that the upstreams' feed is answered again.
func (f *Follower) storeBack() {
	f.deps.Upstreams.StoreRecovered()
	f.away.Store(false)
	select {
	case f.returned <- struct{}{}:
	default: // one is enough
	}
}

// run follows one table until ctx ends.
func (f *Follower) run(ctx context.Context, d *feed) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	for ctx.Err() == nil {
		if f.isRelayed() || f.spared() {
			pace.Sleep(ctx, f.relayedFor())
			continue
		}
		began := time.Now()
		at, err := f.step(ctx, d)
		switch {
		case err == nil && at == 0: // a store in which nothing was ever written has nothing to wait for
			f.heard(d, at)
			wait := pause.NextBackOff()
			if f.deps.OthersProbeFirst() {
				wait = emptyPause
			}
			pace.Sleep(ctx, wait)
		case err == nil:
			f.heard(d, at)
			pause.Reset()
			pace.Sleep(ctx, f.least()-time.Since(began))
		case errors.Is(err, store.ErrHistoryLost):
			f.deps.Log.Emit(event.FeedReloaded, zap.String("table", d.name), zap.Uint64("after", d.progress.at.Load()))
			d.reread = true
		default:
			f.lost(ctx, d, err)
			f.rest(ctx, d, pause.NextBackOff())
		}
	}
	return ctx.Err()
}

// heard notes an answer of the store.
func (f *Follower) heard(d *feed, at uint64) {
	d.progress.heard.Store(f.sinceStart())
	f.advance(d, at)
	f.regained(d)
}

// least is the time from one call for changes to the next.
func (f *Follower) least() time.Duration {
	switch {
	case f.deps.IsRelaying():
		return relayEach
	case f.deps.OthersProbeFirst():
		return pace.DefaultRand().Jitter(patientEach, pauseJitter)
	default:
		return pace.DefaultRand().Jitter(aloneEach, pauseJitter)
	}
}

// rest waits between two tries while the store is away.
func (f *Follower) rest(ctx context.Context, d *feed, wait time.Duration) {
	quiet := d.second && f.away.Load()
	if !f.deps.OthersProbeFirst() || wait <= onceMore && !quiet {
		pace.Sleep(ctx, wait)
		return
	}
	if !quiet {
		between := patientPause
		if f.deps.LinkedToCoordinator() {
			between = ledPause
		}
		pace.Sleep(ctx, pace.DefaultRand().Jitter(between, pauseJitter))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quietPause)
	defer cancel()
	select {
	case <-f.returned:
	case <-ctx.Done():
	}
}

// advance notes how far the table was followed, unless a relay is farther.
func (f *Follower) advance(d *feed, at uint64) {
	for {
		old := d.progress.at.Load()
		if old >= at || d.progress.at.CompareAndSwap(old, at) {
			return
		}
	}
}

// step makes one call: a full read when nothing is known, else the next changes.
func (f *Follower) step(ctx context.Context, d *feed) (at uint64, err error) {
	err = contained(func() error {
		at, err = f.call(ctx, d)
		return err
	})
	return at, err
}

func (f *Follower) call(ctx context.Context, d *feed) (uint64, error) {
	at := d.progress.at.Load()
	if at == 0 || d.reread || d.lacks() {
		f.count(d.name, readWhole)
		next, err := d.read(ctx)
		d.reread = d.reread && err != nil
		return next, err
	}
	wait, why := aloneWait, waitAlone
	switch {
	case !f.deps.OthersProbeFirst() && f.silent(d):
		// A host that may act next has to know whether the store answers before a
		// call that waits for changes would tell.
		wait, why = 0, lookForStore
	case !d.lostAt.IsZero():
		// The store may come back without a word on a call that it never heard;
		// short calls find it within a second, and what changed meanwhile.
		wait, why = 0, lookForStore
	case f.deps.IsRelaying():
		wait, why = d.relayWait, waitForAll
	case !f.deps.OthersProbeFirst():
		wait = d.relayWait // it may relay before the call ends, and tells how old its last answer is
	}
	f.count(d.name, why)
	ctx, cancel := context.WithTimeout(ctx, wait+waitSlack)
	defer cancel()
	return d.wait(ctx, at, wait)
}

// silent says whether the store has said nothing here for longer than a call for
// changes waits, as while another host relayed.
func (f *Follower) silent(d *feed) bool {
	return f.sinceStart()-d.progress.heard.Load() > int64(aloneWait)
}

// Reasons of calls of the store, as they are counted.
const (
	readWhole    = "read_whole"     // nothing is known, or the history is lost; each part of a list is a call
	waitAlone    = "wait_alone"     // no other host tells what changes
	waitForAll   = "wait_for_all"   // this host tells the others
	lookForStore = "look_for_store" // it did not answer last time, or was not asked lately
)

func (f *Follower) count(table, reason string) {
	if f.deps.Metrics != nil {
		f.deps.Metrics.CountKind(metrics.StoreCalls, table+"_"+reason, 1)
	}
}

func (f *Follower) lost(ctx context.Context, d *feed, err error) {
	if !d.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	d.lostAt = time.Now()
	if !d.second {
		f.away.Store(true)
	}
	f.deps.Log.Emit(event.StoreLost, zap.String("table", d.name), zap.Error(err))
}

func (f *Follower) regained(d *feed) {
	if d.lostAt.IsZero() {
		return
	}
	f.deps.Log.Emit(event.StoreRecovered, zap.String("table", d.name), zap.Duration("away", time.Since(d.lostAt)))
	d.lostAt = time.Time{}
	if d.back != nil {
		d.back()
	}
}
