// Package follow keeps a host's configuration and its view of the upstreams up
// to date from the platform's store: a full read first, then changes as they
// come. While the store is away the host goes on with what it has.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

// Upstreams is a change of the list of upstreams.
type Upstreams struct {
	Put  []deploy.Upstream
	Gone []string // ids
}

// Source is what the platform's store tells of a deployment. Waiting calls
// return at the first change, or with none after the wait. Their errors are
// those of package store; store.ErrHistoryLost asks for a new full read.
type Source interface {
	ReadConfig(ctx context.Context) (*deploy.Config, uint64, error)
	WaitConfig(ctx context.Context, after uint64, wait time.Duration) (*deploy.Config, uint64, error)
	ReadUpstreams(ctx context.Context) ([]deploy.Upstream, uint64, error)
	WaitUpstreams(ctx context.Context, after uint64, wait time.Duration) (Upstreams, uint64, error)
}

const (
	// feedWait is how long a call for changes waits. Calls are priced, so it
	// is long; a connection that went silent is noticed by its keepalive.
	feedWait = 10 * time.Second
	// readBound is how long a call may take that does not wait, and how much
	// longer than its wait one that does.
	readBound = 1500 * time.Millisecond
	// firstPause and longestPause lie between tries while the store is away.
	// The longest bounds how late a host notices that it is back.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// feed is one table that is followed.
type feed struct {
	name string
	read func(ctx context.Context) (at uint64, err error)
	wait func(ctx context.Context, after uint64, wait time.Duration) (at uint64, err error)
	log  *event.Log
	// back is told how long the store had been away when it is reached again.
	back func(away time.Duration)
}

// run follows the table until ctx ends.
func (f *feed) run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	var at uint64
	var lostAt time.Time
	for ctx.Err() == nil {
		next, err := f.step(ctx, at)
		switch {
		case err == nil:
			f.regained(&lostAt)
			pause.Reset()
			at = next
			continue
		case errors.Is(err, store.ErrHistoryLost):
			f.log.Emit(event.FeedReread, zap.String("table", f.name), zap.Uint64("after", at))
			at = 0
		default:
			f.lost(ctx, &lostAt, err)
		}
		pace.Sleep(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

// step makes one call: a full read when nothing is known, else the next changes.
func (f *feed) step(ctx context.Context, at uint64) (uint64, error) {
	if at == 0 {
		ctx, cancel := context.WithTimeout(ctx, readBound)
		defer cancel()
		return f.read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+readBound)
	defer cancel()
	return f.wait(ctx, at, feedWait)
}

func (f *feed) lost(ctx context.Context, since *time.Time, err error) {
	if !since.IsZero() || ctx.Err() != nil {
		return
	}
	*since = time.Now()
	f.log.Emit(event.StoreLost, zap.String("table", f.name), zap.Error(err))
}

func (f *feed) regained(since *time.Time) {
	if since.IsZero() {
		return
	}
	away := time.Since(*since)
	*since = time.Time{}
	f.log.Emit(event.StoreRegained, zap.String("table", f.name), zap.Duration("away", away))
	if f.back != nil {
		f.back(away)
	}
}

// Config holds the configuration in force at this host. It never goes back to
// a lower version while the process lives.
type Config struct {
	log   *event.Log
	table atomic.Pointer[deploy.Table]
	first chan struct{}
}

// NewConfig makes one with nothing in force.
func NewConfig(log *event.Log) *Config { return &Config{log: log, first: make(chan struct{})} }

// Current returns the table in force, or nil before the first.
func (c *Config) Current() *deploy.Table { return c.table.Load() }

// First is closed when a configuration is in force.
func (c *Config) First() <-chan struct{} { return c.first }

// Offer puts a configuration in force if it is newer; source says where it
// came from.
func (c *Config) Offer(next *deploy.Config, source string) bool {
	t := deploy.NewTable(next)
	for {
		old := c.table.Load()
		if old != nil && old.Config.Version >= next.Version {
			return false
		}
		if !c.table.CompareAndSwap(old, t) {
			continue
		}
		was := uint64(0)
		if old != nil {
			was = old.Config.Version
		} else {
			close(c.first)
		}
		c.log.Emit(event.RoutesInForce, zap.Uint64("version", next.Version), zap.Uint64("was", was),
			zap.String("source", source), zap.Int("routes", len(next.Routes)), zap.Int("services", len(next.Services)))
		return true
	}
}

// RunConfig follows the configuration until ctx ends. One that cannot be used
// leaves the one in force as it is.
func RunConfig(ctx context.Context, s Source, c *Config, log *event.Log) error {
	take := func(cfg *deploy.Config, at uint64, err error) (uint64, error) {
		var bad *store.UnusableError
		if errors.As(err, &bad) {
			log.Emit(event.RoutesUnusable, zap.Error(err))
			return at, nil
		}
		if err == nil && cfg != nil {
			c.Offer(cfg, "store")
		}
		return at, err
	}
	f := &feed{name: "configuration", log: log,
		read: func(ctx context.Context) (uint64, error) { return take(s.ReadConfig(ctx)) },
		wait: func(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
			return take(s.WaitConfig(ctx, after, wait))
		}}
	return f.run(ctx)
}

// Listener takes the list of upstreams.
type Listener interface {
	Replace(all []deploy.Upstream)
	Apply(put []deploy.Upstream, gone []string)
}

// RunUpstreams follows the upstreams until ctx ends. first is called after the
// first full read.
func RunUpstreams(ctx context.Context, s Source, l Listener, first func(), log *event.Log) error {
	f := &feed{name: "upstreams", log: log,
		read: func(ctx context.Context) (uint64, error) {
			all, at, err := s.ReadUpstreams(ctx)
			if err == nil {
				l.Replace(all)
				first()
			}
			return at, err
		},
		wait: func(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
			u, at, err := s.WaitUpstreams(ctx, after, wait)
			if err == nil && len(u.Put)+len(u.Gone) > 0 {
				l.Apply(u.Put, u.Gone)
			}
			return at, err
		}}
	return f.run(ctx)
}
