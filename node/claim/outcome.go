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

// ErrQueueFull is returned when an outcome was neither written nor queued. The claim
// stays open as its row says; a repeat of the request is resolved by asking the
// upstream or answered as unknown, and never runs.
var ErrQueueFull = errors.New("the queue of claim outcomes is full")

// outcomeWrite is the write of one claim's outcome.
type outcomeWrite struct {
	key     string
	id      string // of the claim
	row     claim.Row
	version uint64
	change  func(claim.Row) (claim.Row, error)
	answer  *claim.Answer // stored by change; its body may move to the object store
}

func (w *outcomeWrite) bytes() int {
	if w.answer == nil {
		return 0
	}
	return len(w.answer.Body)
}

// writeOutcome writes one outcome. It returns nil when nothing is left to do: the
// outcome was written, or the claim already has one.
func (s *Store) writeOutcome(ctx context.Context, w *outcomeWrite) error {
	for range maxRowChanges {
		next, err := w.change(w.row)
		if err != nil {
			return nil // the row has an outcome already, which this one may not replace
		}
		seen, err := s.writeRow(ctx, w.key, VersionedRow{Row: &w.row, Version: w.version}, next)
		if err != nil {
			return err
		}
		if seen.Row == nil || seen.Row.ID != w.id || seen.Row.State == next.State {
			return nil
		}
		w.row, w.version = *seen.Row, seen.Version
	}
	return store.ErrConflict
}

// storeAnswer moves a large answer to the object store, under a name of its own, so
// that a second try writes the same bytes. This must be done before the row that
// names the object is written.
func (s *Store) storeAnswer(ctx context.Context, key, id string, a *claim.Answer) error {
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

// queue holds, in order, outcomes that could not be written to the platform.
type queue struct {
	mu       sync.Mutex
	items    []*outcomeWrite
	bytes    int
	maxItems int
	maxBytes int
	wake     chan struct{}
}

func newQueue(items, bytes int) *queue {
	return &queue{maxItems: items, maxBytes: bytes, wake: make(chan struct{}, 1)}
}

func (q *queue) push(w *outcomeWrite) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= q.maxItems || q.bytes+w.bytes() > q.maxBytes {
		return false
	}
	q.items = append(q.items, w)
	q.bytes += w.bytes()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// head returns the next outcome to write. It stays counted until remove, so that
// newer ones can never take the room of one whose write fails again.
func (q *queue) head() (*outcomeWrite, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil, false
	}
	return q.items[0], true
}

// remove removes the head. With requeue it moves the head to the tail instead, so
// that one outcome that cannot be written does not delay the others.
func (q *queue) remove(requeue bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.items[0]
	q.items[0] = nil
	q.items = q.items[1:]
	if requeue {
		q.items = append(q.items, w)
		return
	}
	q.bytes -= w.bytes()
}

// Pending returns the number of outcomes in the queue and the bytes of their answers.
func (s *Store) Pending() (count, bytes int) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return len(s.queue.items), s.queue.bytes
}

func (s *Store) enqueue(w *outcomeWrite, cause error) error {
	if !s.queue.push(w) {
		s.deps.Log.Emit(event.ClaimOutcomeDropped, zap.String("claim", w.id), zap.Error(cause))
		return ErrQueueFull
	}
	s.deps.Log.Emit(event.ClaimOutcomeDeferred, zap.String("claim", w.id), zap.Error(cause))
	return nil
}

// Delays between retries while the platform is unavailable.
const (
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 2 * time.Second // the queue is emptied soon after an outage ends
)

// Run writes queued outcomes until ctx ends.
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

// Drain writes all queued outcomes and retries until ctx ends. On shutdown it is
// called after the last request has ended and Run has returned, since the queue must
// have one reader at a time.
func (s *Store) Drain(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = minRetryWait, maxRetryWait
	for {
		w, ok := s.queue.head()
		if !ok {
			return nil
		}
		err := s.tryOutcome(ctx, w)
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

func (s *Store) tryOutcome(ctx context.Context, w *outcomeWrite) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.writeOutcome(ctx, w)
}
