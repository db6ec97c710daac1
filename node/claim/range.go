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
	rng         int
	in          chan *change
	stopped     chan struct{}
	head        head
	headVersion uint64
	version     uint64 // last one given to a row

	mu       sync.RWMutex // rows and segments: written by Run, read by Read
	rows     map[string]held
	segments []segment
}

type held struct {
	row     *claim.Row
	version uint64
	seq     uint64 // of the log row that holds it
}

type change struct {
	key     string
	version uint64
	row     *claim.Row
	reply   chan swapped
}

type swapped struct {
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
	c := &change{key: key, version: version, row: row, reply: make(chan swapped, 1)}
	select {
	case r.in <- c:
	case <-r.stopped:
		return VersionedRow{}, store.ErrUnavailable
	case <-ctx.Done():
		return VersionedRow{}, store.ErrUnavailable // not taken in: nothing took effect
	}
	select {
	case s := <-c.reply:
		return s.seen, s.err
	case <-ctx.Done():
		return VersionedRow{}, store.ErrUnconfirmed
	}
}

// Run appends until ctx ends or the range is lost; then the range must be
// opened anew.
func (r *Range) Run(ctx context.Context) error {
	defer close(r.stopped)
	arrivals := newCollector(r.in, r.cfg.Interval, r.cfg.MaxChanges)
	for {
		batch, done := arrivals.next(ctx, nil)
		if err := r.append(context.WithoutCancel(ctx), batch); err != nil {
			r.deps.Log.Emit(event.ClaimRangeLost, zap.Int("range", r.rng), zap.Error(err))
			return err
		}
		if done != nil {
			return done
		}
	}
}

// append decides on the batch in order of arrival and writes what was
// accepted. It returns an error when this host cannot go on as owner.
func (r *Range) append(ctx context.Context, batch []*change) error {
	if len(batch) == 0 {
		return nil
	}
	if !r.deps.Lease.Valid() {
		refuse(batch, store.ErrUnavailable)
		return errors.New("lease lapsed")
	}
	ctx, cancel := context.WithTimeout(ctx, commitMost)
	defer cancel()
	drops, entries, count := r.expire(r.deps.Now())
	answers, accepted := r.judge(batch)
	entries = append(entries, accepted...)
	if len(entries) == 0 {
		send(batch, answers)
		return nil
	}
	err := r.write(ctx, drops, entries, count)
	switch {
	case err == nil:
		send(batch, answers)
		return nil
	case errors.Is(err, store.ErrConflict):
		refuse(batch, store.ErrUnavailable) // another owner wrote the head: nothing took effect
		return err
	case errors.Is(err, store.ErrUnconfirmed):
		refuse(batch, store.ErrUnconfirmed)
		return err
	default:
		refuse(batch, err)
		return nil // the table refused; the range stands as it was
	}
}

// judge decides each change against memory and the changes before it.
func (r *Range) judge(batch []*change) (answers []swapped, accepted []logEntry) {
	answers = make([]swapped, len(batch))
	fresh := map[string]VersionedRow{}
	for i, c := range batch {
		seen, ok := fresh[c.key]
		if !ok {
			h := r.rows[c.key]
			seen = VersionedRow{Row: h.row, Version: h.version}
		}
		switch {
		case seen.Row != nil && c.row != nil && seen.Row.Op == c.row.Op:
			answers[i] = swapped{seen: seen} // asked for again after a lost answer
		case seen.Version != c.version:
			answers[i] = swapped{seen: seen, err: store.ErrConflict}
		default:
			r.version++
			next := VersionedRow{Row: c.row, Version: r.version}
			if c.row == nil {
				next.Version = store.Absent
			}
			fresh[c.key] = next
			answers[i] = swapped{seen: next}
			accepted = append(accepted, logEntry{Key: c.key, Version: r.version, Row: c.row})
		}
	}
	return answers, accepted
}

func (r *Range) write(ctx context.Context, drops []store.Write, entries []logEntry, count int) error {
	l := logRow{Entries: entries, Expires: r.lastExpiry(entries)}
	value, err := json.Marshal(l)
	if err != nil {
		return eris.Wrap(err, "encode claims")
	}
	next := r.head
	next.Next++
	next.Version = r.version
	writes := append(drops, store.Write{Key: logKey(r.rng, r.head.Next), Value: value})
	v, err := r.writeHead(ctx, r.headVersion, next, writes)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headVersion = v
	r.forget(count)
	r.apply(r.head.Next, l)
	r.head = next
	return nil
}

// lastExpiry is when a log row may be dropped. The order of the log must be
// kept: a deletion may only go after what it deletes, which is older.
func (r *Range) lastExpiry(entries []logEntry) int64 {
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

func send(batch []*change, answers []swapped) {
	for i, c := range batch {
		c.reply <- answers[i]
	}
}

func refuse(batch []*change, err error) {
	for _, c := range batch {
		c.reply <- swapped{err: err}
	}
}
