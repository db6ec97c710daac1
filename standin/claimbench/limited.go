package claimbench

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"peridotpier.example/core/fault"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// RateLimitedTable is a table service that rejects commits over a rate and adds a latency
// to each call.
type RateLimitedTable struct {
	*standin.Table
	limit    *rate.Limiter
	latency  time.Duration
	commits  atomic.Int64
	rejected atomic.Int64
}

// burstShare is the burst that the service accepts, as a share of the writes of a second.
const burstShare = 0.1

// NewRateLimitedTable returns an empty table service.
func NewRateLimitedTable(writesPerSecond float64, latency time.Duration) *RateLimitedTable {
	return &RateLimitedTable{Table: standin.NewTable(), latency: latency,
		limit: rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond*burstShare))}
}

// Commit implements store.Table.
func (l *RateLimitedTable) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	time.Sleep(l.latency)
	if !l.limit.Allow() {
		l.rejected.Add(1)
		return 0, store.ErrLimited
	}
	l.commits.Add(1)
	return l.Table.Commit(ctx, t)
}

// Get implements store.Table.
func (l *RateLimitedTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	time.Sleep(l.latency)
	return l.Table.Get(ctx, keys...)
}

// List implements store.Table.
func (l *RateLimitedTable) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	time.Sleep(l.latency)
	return l.Table.List(ctx, prefix, after, limit)
}

// Commits returns the number of accepted commits.
func (l *RateLimitedTable) Commits() int64 { return l.commits.Load() }

// LimitedCommits returns the number of commits rejected over the rate.
func (l *RateLimitedTable) LimitedCommits() int { return int(l.rejected.Load()) }

// isStoreDown reports whether a claim failed because the store was unavailable.
func isStoreDown(err error) bool {
	var e *fault.Error
	return errors.As(err, &e) && e.Code == fault.CodeStoreUnavailable
}

// killableTable is the table service as seen by a host that can be killed.
type killableTable struct {
	store.Table
	dead atomic.Bool
}

// Commit implements store.Table; a dead host writes nothing.
func (m *killableTable) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	if m.dead.Load() {
		return 0, store.ErrUnavailable
	}
	return m.Table.Commit(ctx, t)
}
