// Package follow keeps a host's configuration and its view of the upstreams up
// to date from the platform's store: a full read first, then changes as they
// come. Calls of the store are priced, so that only one host follows it
// closely and relays to the others; each goes back to the store by itself as
// soon as the relay is not fresh. While the store is away a host goes on with
// what it has.
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

// UpstreamUpdate is a change of the list of upstreams.
type UpstreamUpdate struct {
	Put     []deploy.Upstream
	Removed []string // ids
	// Unreadable are entries that name no upstream. Others than the upstreams
	// themselves may write there.
	Unreadable []UnreadableEntry
}

// UnreadableEntry is an entry of the list that cannot be used.
type UnreadableEntry struct {
	ID  string
	Err error
}

// Source is what the platform's store tells of a deployment. Waiting calls
// return at the first change, or with none after the wait. Their errors are
// those of package store; store.ErrHistoryLost asks for a new full read. The
// versions that they return come from one counter for all tables.
type Source interface {
	ReadConfig(ctx context.Context) (*deploy.Config, uint64, error)
	WaitConfig(ctx context.Context, after uint64, wait time.Duration) (*deploy.Config, uint64, error)
	// ReadUpstreams reads the list whole, a part at a time; more is called before
	// each part but the first, and ends the reading by an error.
	ReadUpstreams(ctx context.Context, more func() error) (UpstreamUpdate, uint64, error)
	WaitUpstreams(ctx context.Context, after uint64, wait time.Duration) (UpstreamUpdate, uint64, error)
}

const (
	// defaultWait is how long a call for changes waits at a host without a
	// relay. A connection that went silent is noticed by its keepalive, or
	// at the latest this much later.
	defaultWait = 2 * time.Second
	// relayUpstreamsWait and relayConfigWait are the same at the host that
	// relays. Their answers show the others how fresh the relay is: what a
	// change may take to reach every host is a little more than these.
	relayUpstreamsWait = 500 * time.Millisecond
	relayConfigWait    = 800 * time.Millisecond
	// defaultMaxRelayAge is how old the relaying host's last answer from the
	// store may be. Past it, hosts ask the store themselves.
	defaultMaxRelayAge = 1200 * time.Millisecond
	// readTimeout is how long a call may take that does not wait.
	readTimeout = 1500 * time.Millisecond
	// waitSlack is how much longer than its wait a call for changes may take.
	// The store answers within a few milliseconds, a slow one within 300.
	waitSlack = 800 * time.Millisecond
	// minRetryPause and longestPause lie between tries while the store is away.
	// The longest bounds how late a host notices that it is back.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// maxQuickRetryPause bounds the pauses after which such a host tries again at once: a
	// single failure may be the connection's. More tries were half of all calls
	// of an outage.
	maxQuickRetryPause = 2 * minRetryPause
	// deferredRetryPause lies between tries at a host that others will tell of the
	// store's return: each call is priced, also one that fails. It is a fraction
	// of the time in which a change must be in force, since some tries right
	// after the return fail too, when all hosts come at once.
	deferredRetryPause = time.Second
	// defaultInterval and relayEach are the least time between two calls for changes
	// of a host without a relay, and of the one that relays. Every change ends
	// a call that waits; when the store comes back, or upstreams are replaced,
	// changes come dozens a second.
	defaultInterval = 400 * time.Millisecond
	relayInterval   = 150 * time.Millisecond
	// deferredInterval is the same at a host to which another will soon relay: with
	// 80 hosts the two seconds until a new holder is found cost 350 calls.
	deferredInterval = 800 * time.Millisecond
	// emptyStorePause lies between looks of a host that others will tell at a store
	// in which nothing was ever written, as when a whole deployment starts.
	emptyStorePause = 500 * time.Millisecond
	// otherFeedRetryPause lies between tries for one table while another is tried: one
	// call shows that the store is away as well as two, and the first that is
	// answered wakes the other.
	otherFeedRetryPause = 3 * deferredRetryPause
	// linkedRetryPause lies between tries of a host that is linked to one that will tell
	// it of the store's return. It finds out by itself only in case that the
	// store turns just the other one away.
	linkedRetryPause = 3 * time.Second
	// minRelayCheckInterval is how often a host looks whether its relay is still fresh.
	minRelayCheckInterval = 100 * time.Millisecond
	// maxRelayCheckInterval is the longest that it goes without a look.
	maxRelayCheckInterval = time.Second
)

// pauseJitter spreads the hosts' tries, as a share.
const pauseJitter = 0.2

// UpstreamReceiver takes the list of upstreams.
type UpstreamReceiver interface {
	// Replace and Apply take a list, or changes of it, that bring it to a
	// version of the store.
	Replace(all []deploy.Upstream, at uint64)
	Apply(put []deploy.Upstream, gone []string, at uint64)
	StoreRecovered()
}

// Deps are what a Follower works with.
type Deps struct {
	Source    Source
	Config    *ActiveConfig
	Upstreams UpstreamReceiver
	Log       *event.Log
	// Relays says whether this host relays to the others.
	IsRelaying func() bool
	// Patient says that others look for the store's return before this host
	// does; nil: nobody else does.
	OthersProbeFirst func() bool
	// Led says that this host is linked to one that looks for the store's return
	// and tells of it within a fraction of a second; nil: it is not.
	LinkedToCoordinator func() bool
	// Unneeded says that nobody waits for this host yet, so that it need not ask
	// the store itself for what another will tell it soon; nil: it is needed.
	NotNeededYet func() bool
	// RelayFresh replaces its default; 0: the default.
	MaxRelayAge time.Duration
	// Listed is called after the list of upstreams was first known.
	OnListed func()
	// Metrics are the host's; nil: nothing is counted.
	Metrics *metrics.Set
}

// Follower follows the store for one host.
type Follower struct {
	deps          Deps
	config        progress
	upstreams     progress
	relayedAt     atomic.Int64 // when a fresh relay was last heard, by the steady clock since from; 0: never
	startedAt     time.Time
	applying      sync.Mutex    // of upstreams, so that a relayed list and one read here do not mix
	storeAway     atomic.Bool   // the store does not answer the upstreams' feed
	listIsLarge   atomic.Bool   // the list has several parts
	sizeKnown     chan struct{} // closed when it is known whether it has
	sizeOnce      sync.Once
	listIsCompact atomic.Bool   // what upstreams hold by the list was not told since it was last whole
	recovered     chan struct{} // gets a token when it answers that again
}

// progress is how far a table was followed.
type progress struct {
	version    atomic.Uint64 // version from which on changes are asked for; 0: none
	answeredAt atomic.Int64  // when the store last answered, by the steady clock since Follower.from; 0: never
}

// New makes a Follower; Run makes it work.
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
	if d.MaxRelayAge == 0 {
		d.MaxRelayAge = defaultMaxRelayAge
	}
	return &Follower{deps: d, startedAt: time.Now(), recovered: make(chan struct{}, 1), sizeKnown: make(chan struct{})}
}

// sinceStart is the steady clock; never 0.
func (f *Follower) sinceStart() int64 { return max(int64(time.Since(f.startedAt)), 1) }

// StoreAge is how long ago the store answered, for the older of the two feeds.
func (f *Follower) StoreAge() time.Duration {
	answeredAt := min(f.config.answeredAt.Load(), f.upstreams.answeredAt.Load())
	if answeredAt == 0 {
		return time.Hour
	}
	return time.Duration(f.sinceStart() - answeredAt)
}

// UpstreamsVersion is the version that the list of upstreams is of.
func (f *Follower) UpstreamsVersion() uint64 { return f.upstreams.version.Load() }

// RunConfig follows the configuration until ctx ends. One that cannot be used
// leaves the one in force as it is.
func (f *Follower) RunConfig(ctx context.Context) error {
	apply := func(cfg *deploy.Config, at uint64, err error) (uint64, error) {
		var unusable *store.UnusableError
		if errors.As(err, &unusable) {
			f.deps.Log.Emit(event.RoutesUnusable, zap.Error(err))
			return at, nil
		}
		if err == nil && cfg != nil {
			f.deps.Config.ApplyIfNewer(cfg, "store")
		}
		return at, err
	}
	f.waitForSize(ctx)
	return f.run(ctx, &feed{name: configFeed, progress: &f.config, relayWait: relayConfigWait, followsOther: true, needsFullRead: func() bool { return false },
		read: func(ctx context.Context) (uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			return apply(f.deps.Source.ReadConfig(ctx))
		},
		wait: func(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
			return apply(f.deps.Source.WaitConfig(ctx, after, wait))
		}})
}

// RunUpstreams follows the upstreams until ctx ends.
func (f *Follower) RunUpstreams(ctx context.Context) error {
	return f.run(ctx, &feed{name: upstreamsFeed, progress: &f.upstreams, relayWait: relayUpstreamsWait, onRecovered: f.storeRecovered,
		needsFullRead: func() bool { return f.listIsCompact.Load() && f.deps.IsRelaying() },
		read: func(ctx context.Context) (uint64, error) {
			all, at, err := f.readParts(ctx)
			if errors.Is(err, errRelayed) {
				return f.upstreams.version.Load(), nil
			}
			if err != nil {
				return 0, err
			}
			f.logUnreadable(all.Unreadable)
			f.applying.Lock()
			defer f.applying.Unlock()
			if at >= f.upstreams.version.Load() {
				f.deps.Upstreams.Replace(all.Put, at)
				f.listIsCompact.Store(false)
				f.deps.OnListed()
			}
			return at, nil
		},
		wait: func(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
			u, at, err := f.deps.Source.WaitUpstreams(ctx, after, wait)
			if err != nil {
				return 0, err
			}
			f.logUnreadable(u.Unreadable)
			f.applying.Lock()
			defer f.applying.Unlock()
			if at >= f.upstreams.version.Load() && len(u.Put)+len(u.Removed) > 0 {
				f.deps.Upstreams.Apply(u.Put, u.Removed, at)
			}
			return at, nil
		}})
}

// The tables, as they are called in logs and metrics.
const (
	upstreamsFeed = "upstreams"
	configFeed    = "configuration"
)

// logUnreadable logs the entries that name no upstream.
func (f *Follower) logUnreadable(all []UnreadableEntry) {
	for _, u := range all {
		f.deps.Log.Emit(event.EntryUnreadable, zap.String(event.FieldPeer, u.ID), zap.Error(u.Err))
	}
}
