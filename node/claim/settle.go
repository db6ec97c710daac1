package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// ErrQueueFull tells that a settlement was neither written nor kept. The
// claim stays open as its row says; a repeat of the request is settled by the
// upstream's word, or answered as unknown: never run.
var ErrQueueFull = errors.New("no room for a claim's settlement")

// settlement is the end of one claim on its way to the table.
type settlement struct {
	key     string
	id      string // of the claim
	row     claim.Row
	version uint64
	change  func(claim.Row) (claim.Row, error)
	answer  *claim.Answer // what change stores; its body may move to the object store
}

func (st *settlement) bytes() int {
	if st.answer == nil {
		return 0
	}
	return len(st.answer.Body)
}

// settle writes one settlement. nil means that nothing is left to do: it was
// written, or somebody else has settled the claim.
func (s *Store) settle(ctx context.Context, st *settlement) error {
	for range rounds {
		next, err := st.change(st.row)
		if err != nil {
			return nil // settled already, in a state that this one may not change
		}
		seen, err := s.write(ctx, st.key, VersionedRow{Row: &st.row, Version: st.version}, next)
		if err != nil {
			return err
		}
		if seen.Row == nil || seen.Row.ID != st.id || seen.Row.State == next.State {
			return nil
		}
		st.row, st.version = *seen.Row, seen.Version
	}
	return store.ErrConflict
}

// keep moves a large answer to the object store, under a name of its own, so
// that a second try writes the same bytes. It must stand before the row that
// names it.
func (s *Store) keep(ctx context.Context, key, id string, a *claim.Answer) error {
	switch {
	case len(a.Body) <= s.cfg.MaxInlineBytes:
		return nil
	case len(a.Body) > s.limits.Load().MaxAnswerBytes || s.deps.Objects == nil:
		a.Body, a.Dropped = nil, true
		return nil
	}
	name := "claims/answer/" + key + "/" + id
	if err := s.deps.Objects.Put(ctx, name, a.Body); err != nil {
		return err
	}
	a.Object, a.Body = name, nil
	return nil
}

// queue holds settlements that the platform would not take, in order.
type queue struct {
	mu       sync.Mutex
	items    []*settlement
	bytes    int
	maxItems int
	maxBytes int
	wake     chan struct{}
}

func newQueue(items, bytes int) *queue {
	return &queue{maxItems: items, maxBytes: bytes, wake: make(chan struct{}, 1)}
}

func (q *queue) push(st *settlement) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= q.maxItems || q.bytes+st.bytes() > q.maxBytes {
		return false
	}
	q.items = append(q.items, st)
	q.bytes += st.bytes()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// head is the settlement to try next. It stays counted until remove, so that
// one which fails again can never be pushed out by a newer one.
func (q *queue) head() (*settlement, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil, false
	}
	return q.items[0], true
}

// remove drops the head; with again it goes to the tail instead, so that one
// settlement that cannot be written does not hold up the others.
func (q *queue) remove(again bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	st := q.items[0]
	q.items[0] = nil
	q.items = q.items[1:]
	if again {
		q.items = append(q.items, st)
		return
	}
	q.bytes -= st.bytes()
}

// Pending says how many settlements wait, and the bytes of their answers.
func (s *Store) Pending() (count, bytes int) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return len(s.queue.items), s.queue.bytes
}

func (s *Store) enqueue(st *settlement, cause error) error {
	if !s.queue.push(st) {
		s.deps.Log.Emit(event.ClaimOutcomeDropped, zap.String("claim", st.id), zap.Error(cause))
		return ErrQueueFull
	}
	s.deps.Log.Emit(event.ClaimOutcomeDeferred, zap.String("claim", st.id), zap.Error(cause))
	return nil
}

// Pauses between tries while the platform is down.
const (
	deferFirst = 50 * time.Millisecond
	deferMost  = 2 * time.Second // the queue empties soon after an outage ends
)

// Run writes deferred settlements until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.queue.wake:
			if err := s.Drain(ctx); err != nil {
				return err
			}
		}
	}
}

// Drain writes every deferred settlement, trying again until ctx ends. On
// shutdown it is called after the last request has ended and Run has stopped:
// the queue has one reader at a time.
func (s *Store) Drain(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = deferFirst, deferMost
	for {
		st, ok := s.queue.head()
		if !ok {
			return nil
		}
		err := s.settleOnce(ctx, st)
		s.queue.remove(err != nil)
		if err == nil {
			wait.Reset()
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (s *Store) settleOnce(ctx context.Context, st *settlement) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.settle(ctx, st)
}
