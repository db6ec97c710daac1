package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/node/upstream/engineapi"
)

// faults holds the faults that the engine was set to have.
type faults struct {
	cutAfter atomic.Int32

	mu              sync.Mutex
	mismatchShare   float64
	dropNext        int
	delayNext       int
	orderDelay      time.Duration
	duplicateNext   int
	duplicateDelay  time.Duration
	loseAnswersNext int
}

// Drain makes the engine refuse new work for the rest of its incarnation and
// finish the work that it has accepted.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Restart terminates the process and starts it again: every connection breaks, all
// work and memory are lost, and the incarnation is new.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.endIncarnation()
	e.reset()
	e.mu.Unlock()
	if e.ln != nil {
		e.ln.CloseConnections()
	}
}

// endIncarnation ends all attempts. The caller holds mu.
func (e *Engine) endIncarnation() {
	select {
	case <-e.incarnationEnded:
		return
	default:
		close(e.incarnationEnded)
	}
	e.attempts.VisitNewestFirst(func(a *attempt) bool {
		e.finish(a, outcomeTerminated)
		return true
	})
}

// Freeze makes all accepted connections unresponsive for good. New connections
// work unless newToo is set.
func (e *Engine) Freeze(newToo bool) { e.ln.Freeze(newToo) }

// Thaw lets new connections work again after Freeze(true).
func (e *Engine) Thaw() { e.ln.Thaw() }

// MismatchAnswers makes a share of the answers carry the id and content of another
// attempt.
func (e *Engine) MismatchAnswers(share float64) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.mismatchShare = share
}

// CutStreamsAfter breaks the connection of each stream after n more events. The
// attempt continues and can be resumed. 0 turns the fault off.
func (e *Engine) CutStreamsAfter(n int) { e.faults.cutAfter.Store(int32(n)) }

// DropOrders drops the next n orders.
func (e *Engine) DropOrders(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.dropNext = n
}

// DelayOrders executes the next n orders only after d and drops their answers.
func (e *Engine) DelayOrders(n int, d time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.delayNext, e.faults.orderDelay = n, d
}

// DuplicateOrders executes the next n orders at once and again after d.
func (e *Engine) DuplicateOrders(n int, d time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.duplicateNext, e.faults.duplicateDelay = n, d
}

// LoseOrderAnswers executes the next n orders and drops their answers.
func (e *Engine) LoseOrderAnswers(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.loseAnswersNext = n
}

// intercept applies the next fault to an order: it is dropped, delayed or
// duplicated. It returns true when the order must not be executed now.
func (f *faults) intercept(e *Engine, o engineapi.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.dropNext > 0:
		f.dropNext--
		return true
	case f.delayNext > 0:
		f.delayNext--
		e.executeLater(f.orderDelay, o)
		return true
	case f.duplicateNext > 0:
		f.duplicateNext--
		e.executeLater(f.duplicateDelay, o)
	}
	return false
}

func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswersNext == 0 {
		return false
	}
	f.loseAnswersNext--
	return true
}

// executeLater executes an order after d, also when the process was restarted in
// the meantime, because the order was in transit in the network.
func (e *Engine) executeLater(d time.Duration, o engineapi.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spawn(func() {
		if e.wait(d, nil) {
			e.execute(o)
		}
	})
}

// answerSource returns the attempt whose answer is sent in place of that of a: a
// itself, except for the share set by MismatchAnswers.
func (e *Engine) answerSource(a *attempt) *attempt {
	e.faults.mu.Lock()
	share := e.faults.mismatchShare
	e.faults.mu.Unlock()
	if share == 0 {
		return a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rng.Float64() >= share {
		return a
	}
	out := a
	e.attempts.VisitNewestFirst(func(other *attempt) bool {
		if other != a && other.done != nil {
			out = other
			e.records.Mismatched++
		}
		return out == a
	})
	return out
}
