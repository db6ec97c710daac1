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

// Lease is the right to own a range.
type Lease interface {
	Epoch() uint64 // rises with every holder
	Valid() bool   // by this host's monotonic clock; a courtesy: the head's condition is what fences
}

// RangeConfig bounds a Range.
type RangeConfig struct {
	TTL        time.Duration // of keys, as in Config
	Interval   time.Duration // between appends under load; a few may follow at once
	MaxChanges int           // changes in one append
}

// DefaultRangeConfig makes at most 16 appends a second, 128 for 8 ranges.
func DefaultRangeConfig() RangeConfig {
	return RangeConfig{TTL: time.Hour, Interval: 60 * time.Millisecond, MaxChanges: 1024}
}

// RangeDeps are what a Range works with.
type RangeDeps struct {
	Table store.Table
	Lease Lease
	Log   *event.Log
	Now   func() time.Time
}

// Range is a range of claims in the memory of its owner, with its log in the
// table service. Memory changes only after the append that holds the change.
type Range struct {
	cfg         RangeConfig
	deps        RangeDeps
	id          int
	arrivals    chan *rowChange
	stopped     chan struct{}
	head        headRow
	headVersion uint64
	version     uint64 // last one given to a row

	mu       sync.RWMutex // rows and segments: written by Run, read by Read
	rows     map[string]cachedRow
	segments []segment
}

type cachedRow struct {
	row     *claim.Row
	version uint64
	logSeq  uint64 // of the log row that holds it
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

// Read answers from memory. An owner that lost its range may answer an old
// row; every act on it goes through Swap, which then fails.
func (r *Range) Read(_ context.Context, key string) (VersionedRow, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h := r.rows[key]
	return VersionedRow{Row: h.row, Version: h.version}, nil
}

// Swap waits for the append that decides on the change.
func (r *Range) Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	c := &rowChange{key: key, version: version, row: row, result: make(chan swapResult, 1)}
	select {
	case r.arrivals <- c:
	case <-r.stopped:
		return VersionedRow{}, store.ErrUnavailable
	case <-ctx.Done():
		return VersionedRow{}, store.ErrUnavailable // not taken in: nothing took effect
	}
	select {
	case s := <-c.result:
		return s.seen, s.err
	case <-ctx.Done():
		return VersionedRow{}, store.ErrInDoubt
	}
}

// Run appends until ctx ends or the range is lost; then the range must be
// opened anew.
func (r *Range) Run(ctx context.Context) error {
	defer close(r.stopped)
	collected := newCollector(r.arrivals, r.cfg.Interval, r.cfg.MaxChanges)
	for {
		batch, done := collected.next(ctx, nil)
		if err := r.append(context.WithoutCancel(ctx), batch); err != nil {
			r.deps.Log.Emit(event.ClaimRangeLost, zap.Int("range", r.id), zap.Error(err))
			return err
		}
		if done != nil {
			return done
		}
	}
}

// append decides on the batch in order of arrival and writes what was
// accepted. It returns an error when this host cannot go on as owner.
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
	case errors.Is(err, store.ErrInDoubt):
		sendSwapError(batch, store.ErrInDoubt)
		return err
	default:
		sendSwapError(batch, err)
		return nil // the table refused; the range stands as it was
	}
}

// decide decides each change against memory and the changes before it.
func (r *Range) decide(batch []*rowChange) (results []swapResult, accepted []logEntry) {
	results = make([]swapResult, len(batch))
	changed := map[string]VersionedRow{}
	for i, c := range batch {
		seen, ok := changed[c.key]
		if !ok {
			h := r.rows[c.key]
			seen = VersionedRow{Row: h.row, Version: h.version}
		}
		switch {
		case seen.Row != nil && c.row != nil && seen.Row.Op == c.row.Op:
			results[i] = swapResult{seen: seen} // asked for again after a lost answer
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

// logRowExpiry is when a log row may be dropped. The order of the log must be
// kept: a deletion may only go after what it deletes, which is older.
func (r *Range) logRowExpiry(entries []logEntry) int64 {
	now := r.deps.Now().UnixMilli()
	last := now
	for _, e := range entries {
		switch {
		case e.Row == nil:
		case e.Row.ExpiresMs <= now: // kept for a second lifetime
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
