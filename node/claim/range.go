package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// Lease is the right to own a range of claims.
type Lease interface {
	Epoch() uint64 // higher for each new holder
	Valid() bool   // by this host's monotonic clock; it only saves a needless append: the condition on the head fences
}

// RangeConfig configures a Range.
type RangeConfig struct {
	TTL        time.Duration // of keys, as Config.TTL
	Interval   time.Duration // between appends under load; a few may follow one another at once
	MaxChanges int           // in one append
}

// DefaultRangeConfig returns a configuration with at most 16 appends a second, 128 for
// 8 ranges.
func DefaultRangeConfig() RangeConfig {
	return RangeConfig{TTL: time.Hour, Interval: 60 * time.Millisecond, MaxChanges: 1024}
}

// RangeDeps are the dependencies of a Range.
type RangeDeps struct {
	Table store.Table
	Lease Lease
	Log   *event.Log
	Now   func() time.Time
}

// Range is a range of claims in the memory of its owner, with a log in the table
// service. A change is applied to memory only after its append to the log.
type Range struct {
	cfg         RangeConfig
	deps        RangeDeps
	id          int
	arrivals    chan *rowChange
	stopped     chan struct{}
	head        headRow
	headVersion uint64
	version     uint64 // last one assigned to a row

	mu       sync.RWMutex // guards rows and segments, which Run writes and Read reads
	rows     map[string]cachedRow
	segments []segment
}

type cachedRow struct {
	row     *claim.Row
	version uint64
	logSeq  uint64 // of the log row that contains it
}

type rowChange struct {
	key     string
	version uint64
	row     *claim.Row
	result  chan swapResult
}

type swapResult struct {
	seen VersionedRow
	err  error
}

// Read returns a row from memory. An owner that lost its range may return an old
// row; a Swap that is based on it fails.
func (r *Range) Read(_ context.Context, key string) (VersionedRow, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	cached := r.rows[key]
	return VersionedRow{Row: cached.row, Version: cached.version}, nil
}

// Swap waits for the append that decides the change.
func (r *Range) Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	c := &rowChange{key: key, version: version, row: row, result: make(chan swapResult, 1)}
	select {
	case r.arrivals <- c:
	case <-r.stopped:
		return VersionedRow{}, store.ErrUnavailable
	case <-ctx.Done():
		return VersionedRow{}, store.ErrUnavailable // not accepted: nothing took effect
	}
	select {
	case s := <-c.result:
		return s.seen, s.err
	case <-ctx.Done():
		return VersionedRow{}, store.ErrUnconfirmed
	}
}

// Run appends changes until ctx ends or this host has lost the range, which must then
// be opened again.
func (r *Range) Run(ctx context.Context) error {
	defer close(r.stopped)
	batches := newCollector(r.arrivals, r.cfg.Interval, r.cfg.MaxChanges)
	for {
		batch, done := batches.next(ctx, nil)
		if err := r.append(context.WithoutCancel(ctx), batch); err != nil {
			r.deps.Log.Emit(event.ClaimRangeLost, zap.Int("range", r.id), zap.Error(err))
			return err
		}
		if done != nil {
			return done
		}
	}
}

// append decides the batch in order of arrival and writes the accepted changes. It
// returns an error if this host cannot continue as the owner.
func (r *Range) append(ctx context.Context, batch []*rowChange) error {
	if len(batch) == 0 {
		return nil
	}
	if !r.deps.Lease.Valid() {
		sendSwapError(batch, store.ErrUnavailable)
		return errors.New("lease lapsed")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	deletes, entries, dropped := r.expire(r.deps.Now())
	results, accepted := r.decide(batch)
	entries = append(entries, accepted...)
	if len(entries) == 0 {
		sendSwapResults(batch, results)
		return nil
	}
	err := r.appendLog(ctx, deletes, entries, dropped)
	switch {
	case err == nil:
		sendSwapResults(batch, results)
		return nil
	case errors.Is(err, store.ErrConflict):
		sendSwapError(batch, store.ErrUnavailable) // another owner wrote the head: nothing took effect
		return err
	case errors.Is(err, store.ErrUnconfirmed):
		sendSwapError(batch, store.ErrUnconfirmed)
		return err
	default:
		sendSwapError(batch, err)
		return nil // the table refused the append; the range has not changed
	}
}

// decide decides each change, based on memory and the earlier changes of the batch.
func (r *Range) decide(batch []*rowChange) (results []swapResult, accepted []logEntry) {
	results = make([]swapResult, len(batch))
	changed := map[string]VersionedRow{}
	for i, c := range batch {
		seen, ok := changed[c.key]
		if !ok {
			cached := r.rows[c.key]
			seen = VersionedRow{Row: cached.row, Version: cached.version}
		}
		switch {
		case seen.Row != nil && c.row != nil && seen.Row.Op == c.row.Op:
			results[i] = swapResult{seen: seen} // sent again after a lost answer
		case seen.Version != c.version:
			results[i] = swapResult{seen: seen, err: store.ErrConflict}
		default:
			r.version++
			next := VersionedRow{Row: c.row, Version: r.version}
			if c.row == nil {
				next.Version = store.Absent
			}
			changed[c.key] = next
			results[i] = swapResult{seen: next}
			accepted = append(accepted, logEntry{Key: c.key, Version: r.version, Row: c.row})
		}
	}
	return results, accepted
}

func (r *Range) appendLog(ctx context.Context, deletes []store.Write, entries []logEntry, dropped int) error {
	l := logRow{Entries: entries, Expires: r.logRowExpiry(entries)}
	value, err := json.Marshal(l)
	if err != nil {
		return eris.Wrap(err, "encode claims")
	}
	next := r.head
	next.Next++
	next.Version = r.version
	writes := append(deletes, store.Write{Key: logKey(r.id, r.head.Next), Value: value})
	v, err := r.writeHead(ctx, r.headVersion, next, writes)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headVersion = v
	r.dropSegments(dropped)
	r.apply(r.head.Next, l)
	r.head = next
	return nil
}

// logRowExpiry returns when a log row may be dropped, in Unix milliseconds. Log rows
// are dropped in order: a deletion may only be dropped after the entry that it
// deletes, which is older.
func (r *Range) logRowExpiry(entries []logEntry) int64 {
	now := r.deps.Now().UnixMilli()
	last := now
	for _, e := range entries {
		switch {
		case e.Row == nil:
		case e.Row.ExpiresMs <= now: // kept for a second TTL
			last = max(last, e.Row.ExpiresMs+r.cfg.TTL.Milliseconds())
		default:
			last = max(last, e.Row.ExpiresMs)
		}
	}
	return last
}

func sendSwapResults(batch []*rowChange, results []swapResult) {
	for i, c := range batch {
		c.result <- results[i]
	}
}

func sendSwapError(batch []*rowChange, err error) {
	for _, c := range batch {
		c.result <- swapResult{err: err}
	}
}
