// Package follow keeps a host's configuration and its list of upstreams up to date from
// the platform's store: a complete read first, then changes as they occur. Calls of the
// store are priced, so only one host, the relaying host, follows it closely and relays it
// to the others; each of them goes back to the store by itself as soon as the relay is out
// of date. While the store is unavailable, a host continues with the state that it has.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/store"
)

// UpstreamUpdate is a change of the list of upstreams, or the complete list.
type UpstreamUpdate struct {
	Put     []deploy.Upstream
	Removed []string // IDs
	// Unreadable holds the entries that describe no upstream. Not only the upstreams
	// themselves may write to the list.
	Unreadable []UnreadableEntry
}

// UnreadableEntry is an entry of the list that cannot be used.
type UnreadableEntry struct {
	ID  string
	Err error
}

// Source reads the platform's store. Calls that wait return at the first change, or
// without one after the wait. Errors are those of package store; store.ErrHistoryLost
// asks for a new complete read. The versions returned come from one counter for all
// tables.
type Source interface {
	ReadConfig(ctx context.Context) (*deploy.Config, uint64, error)
	WaitConfig(ctx context.Context, after uint64, wait time.Duration) (*deploy.Config, uint64, error)
	// ReadUpstreams reads the complete list part by part. It calls more before each part
	// but the first; an error of more ends the read.
	ReadUpstreams(ctx context.Context, more func() error) (UpstreamUpdate, uint64, error)
	WaitUpstreams(ctx context.Context, after uint64, wait time.Duration) (UpstreamUpdate, uint64, error)
}

const (
	// defaultWait is how long a call for changes waits at a host without a relay. A
	// broken connection that sends no error is noticed by its keepalive, or at the latest
	// this much later.
	defaultWait = 2 * time.Second
	// relayUpstreamsWait and relayConfigWait are the same at the relaying host. The
	// answers to its calls show the others how fresh the relay is: the time until a
	// change has reached every host is a little more than these waits.
	relayUpstreamsWait = 500 * time.Millisecond
	relayConfigWait    = 800 * time.Millisecond
	// defaultMaxRelayAge is how old the relaying host's last answer from the store may
	// be. When it is older, hosts ask the store themselves.
	defaultMaxRelayAge = 1200 * time.Millisecond
	// readTimeout bounds a call that does not wait for changes.
	readTimeout = 1500 * time.Millisecond
	// waitSlack is how much longer than its wait a call for changes may take. The store
	// answers within a few milliseconds, a slow store within 300.
	waitSlack = 800 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between retries while the store is
	// unavailable. The maximum bounds how late a host notices that the store is back.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// maxQuickRetryPause bounds the pauses after which a host that others will notify
	// retries without a longer wait: a single failure may be due to the connection. More
	// quick retries made up half of all calls in an outage.
	maxQuickRetryPause = 2 * minRetryPause
	// deferredRetryPause is the pause between retries at a host that others will notify
	// of the store's recovery: each call is priced, also one that fails. It is a fraction
	// of the time in which a change must be in force, since some calls right after the
	// recovery fail too, when all hosts call at once.
	deferredRetryPause = time.Second
	// defaultInterval and relayInterval are the minimum times between two calls for
	// changes, at a host without a relay and at the relaying host. Every change ends a
	// call that waits; when the store recovers, or upstreams are replaced, there are
	// dozens of changes a second.
	defaultInterval = 400 * time.Millisecond
	relayInterval   = 150 * time.Millisecond
	// deferredInterval is the same at a host to which another will soon relay: with 80
	// hosts, the two seconds until a new lease holder is found cost 350 calls.
	deferredInterval = 800 * time.Millisecond
	// emptyStorePause is the pause between calls at a host that others will notify, for a
	// store in which nothing was ever written, as when a whole deployment starts.
	emptyStorePause = 500 * time.Millisecond
	// otherFeedRetryPause is the pause between retries for one table while another table is
	// retried: one call shows as well as two that the store is unavailable, and the first
	// answer to the other feed wakes this one.
	otherFeedRetryPause = 3 * deferredRetryPause
	// linkedRetryPause is the pause between retries at a host that is linked to one which
	// will notify it of the store's recovery. Its own retries matter only if the store
	// rejects just that other host.
	linkedRetryPause = 3 * time.Second
	// minRelayCheckInterval is how often a host checks whether its relay is still fresh.
	minRelayCheckInterval = 100 * time.Millisecond
	// maxRelayCheckInterval is the longest time between two such checks.
	maxRelayCheckInterval = time.Second
)

// pauseJitter is the share by which pauses vary, so that hosts do not call in step.
const pauseJitter = 0.2

// UpstreamReceiver receives the list of upstreams.
type UpstreamReceiver interface {
	// Replace and Apply receive the complete list, or changes of it, which lead to a
	// version of the store.
	Replace(all []deploy.Upstream, version uint64)
	Apply(put []deploy.Upstream, removed []string, version uint64)
	// BeginGap is called before a list that does not follow from the one of the given
	// version by changes alone.
	BeginGap(after uint64)
	// StoreRecovered is called when the store is reachable again, StoreRestored before the
	// first list of a store that was restored from a copy.
	StoreRecovered()
	StoreRestored()
}

// Deps holds the dependencies of a Follower.
type Deps struct {
	Source    Source
	Config    *ActiveConfig
	Upstreams UpstreamReceiver
	Log       *event.Log
	// Eras receives the eras of relayed lists; nil: its own.
	Eras *store.Eras
	// IsRelaying reports whether this host relays the store to the others.
	IsRelaying func() bool
	// OthersProbeFirst reports whether other hosts probe for the store's recovery before
	// this host does; nil: no other host does.
	OthersProbeFirst func() bool
	// LinkedToCoordinator reports whether this host is linked to one that probes for the
	// store's recovery and announces it within a fraction of a second; nil: it is not.
	LinkedToCoordinator func() bool
	// NotNeededYet reports whether nobody waits for this host yet, so that it need not ask
	// the store itself for what another host will soon relay; nil: it is needed.
	NotNeededYet func() bool
	// MaxRelayAge is how old a relay may be; 0: the default.
	MaxRelayAge time.Duration
	// OnListed is called when a complete list of upstreams has been applied.
	OnListed func()
	// Metrics are the host's metrics; nil: nothing is counted.
	Metrics *metrics.Set
}

// Follower follows the store for one host.
type Follower struct {
	deps             Deps
	config           progress
	upstreams        progress
	relayedAt        atomic.Int64 // time of the store's answer in the latest fresh relay, by the monotonic clock since startedAt; 0: none
	startedAt        time.Time
	applying         sync.Mutex    // held while the list is changed, so that a relayed list and one read here do not mix
	storeUnavailable atomic.Bool   // the store does not answer the upstreams' feed
	listIsLarge      atomic.Bool   // the list has several parts
	sizeKnown        chan struct{} // closed when listIsLarge is known
	sizeOnce         sync.Once
	listIsCompact    atomic.Bool   // the list came from a compact relay and lacks changes of residents and local copies
	relayIgnored     atomic.Bool   // the last relayed list was older than this host's own
	recovered        chan struct{} // receives a token when the store answers the upstreams' feed again
}

// progress is how far a table was followed.
type progress struct {
	version    atomic.Uint64 // version after which changes are asked for; 0: none
	answeredAt atomic.Int64  // when the store last answered, by the monotonic clock since Follower.startedAt; 0: never
}

// New returns a Follower, which RunConfig and RunUpstreams run.
func New(d Deps) *Follower {
	if d.IsRelaying == nil {
		d.IsRelaying = func() bool { return false }
	}
	if d.OthersProbeFirst == nil {
		d.OthersProbeFirst = func() bool { return false }
	}
	if d.LinkedToCoordinator == nil {
		d.LinkedToCoordinator = func() bool { return false }
	}
	if d.NotNeededYet == nil {
		d.NotNeededYet = func() bool { return false }
	}
	if d.Eras == nil {
		d.Eras = &store.Eras{}
	}
	if d.MaxRelayAge == 0 {
		d.MaxRelayAge = defaultMaxRelayAge
	}
	return &Follower{deps: d, startedAt: time.Now(), recovered: make(chan struct{}, 1), sizeKnown: make(chan struct{})}
}

// sinceStart returns the nanoseconds since the start by the monotonic clock, but at least
// 1, since 0 means never.
func (f *Follower) sinceStart() int64 { return max(int64(time.Since(f.startedAt)), 1) }

// StoreAge returns the time since the store last answered, for the older of the two
// feeds; an hour if it has not answered both.
func (f *Follower) StoreAge() time.Duration {
	answeredAt := min(f.config.answeredAt.Load(), f.upstreams.answeredAt.Load())
	if answeredAt == 0 {
		return time.Hour
	}
	return time.Duration(f.sinceStart() - answeredAt)
}

// StoreRestoredWithin reports whether the store was seen to be restored less than d ago.
func (f *Follower) StoreRestoredWithin(d time.Duration) bool { return f.deps.Eras.ChangedWithin(d) }

// UpstreamsVersion returns the store's version of the list of upstreams.
func (f *Follower) UpstreamsVersion() uint64 { return f.upstreams.version.Load() }

// RunConfig follows the configuration until ctx ends. A configuration that cannot be used
// leaves the one in force unchanged.
func (f *Follower) RunConfig(ctx context.Context) error {
	apply := func(cfg *deploy.Config, version uint64, err error) (uint64, error) {
		var unusable *store.UnusableError
		if errors.As(err, &unusable) {
			f.deps.Log.Emit(event.RoutesUnusable, zap.Error(err))
			return version, nil
		}
		if err == nil && cfg != nil {
			f.deps.Config.ApplyIfNewer(cfg, "store")
		}
		return version, err
	}
	f.waitForSize(ctx)
	return f.run(ctx, &feed{name: configFeed, progress: &f.config, relayWait: relayConfigWait, followsOther: true, needsFullRead: func() bool { return false },
		read: func(ctx context.Context) (uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			cfg, version, err := f.deps.Source.ReadConfig(ctx)
			if err == nil {
				f.logRead(configFeed, version, f.config.version.Load(), true)
			}
			return apply(cfg, version, err)
		},
		wait: func(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
			return apply(f.deps.Source.WaitConfig(ctx, after, wait))
		}})
}

// RunUpstreams follows the list of upstreams until ctx ends.
func (f *Follower) RunUpstreams(ctx context.Context) error {
	return f.run(ctx, &feed{name: upstreamsFeed, progress: &f.upstreams, relayWait: relayUpstreamsWait, onRecovered: f.storeRecovered,
		needsFullRead: func() bool { return f.listIsCompact.Load() && f.deps.IsRelaying() },
		read: func(ctx context.Context) (uint64, error) {
			update, version, err := f.readParts(ctx)
			if errors.Is(err, errRelayed) {
				return f.upstreams.version.Load(), nil
			}
			if err != nil {
				return 0, err
			}
			f.logUnreadable(update.Unreadable)
			f.applying.Lock()
			defer f.applying.Unlock()
			known := f.upstreams.version.Load()
			f.logRead(upstreamsFeed, version, known, version >= known)
			if version >= known {
				f.beginGap(known, version, true)
				f.deps.Upstreams.Replace(update.Put, version)
				f.listIsCompact.Store(false)
				f.deps.OnListed()
			}
			return version, nil
		},
		wait: func(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
			update, version, err := f.deps.Source.WaitUpstreams(ctx, after, wait)
			if err != nil {
				return 0, err
			}
			f.logUnreadable(update.Unreadable)
			f.applying.Lock()
			defer f.applying.Unlock()
			if version >= f.upstreams.version.Load() && len(update.Put)+len(update.Removed) > 0 {
				f.deps.Upstreams.Apply(update.Put, update.Removed, version)
			}
			return version, nil
		}})
}

// beginGap prepares the receiver for a list, at a version, that is complete or follows
// another one by changes. A restored store may lack entries of upstreams that are alive
// and write them again, as after an outage.
func (f *Follower) beginGap(known, version uint64, complete bool) {
	newEra := store.EraOf(version) > store.EraOf(known)
	if known == 0 || !complete && !newEra {
		return
	}
	f.deps.Upstreams.BeginGap(known)
	if newEra {
		f.deps.Upstreams.StoreRestored()
	}
}

// Names of the tables in logs and metrics.
const (
	upstreamsFeed = "upstreams"
	configFeed    = "configuration"
)

// logRead logs a complete read of a table.
func (f *Follower) logRead(table string, version, known uint64, applied bool) {
	f.deps.Log.Emit(event.TableRead, zap.String("table", table), zap.Uint64("era", store.EraOf(version)), zap.Uint64("version", store.NumberOf(version)),
		zap.Uint64("known_era", store.EraOf(known)), zap.Uint64("known", store.NumberOf(known)), zap.Bool("applied", applied))
}

// logUnreadable logs the entries that describe no upstream.
func (f *Follower) logUnreadable(all []UnreadableEntry) {
	for _, u := range all {
		f.deps.Log.Emit(event.EntryUnreadable, zap.String(event.FieldPeer, u.ID), zap.Error(u.Err))
	}
}
