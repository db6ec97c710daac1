package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/node/upstream/engineapi"
)

// faults are the ways in which the engine was told to fail.
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
// finish what it has.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Restart kills the process and starts it again: every connection breaks, all
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

// Freeze makes all accepted connections silent for good, while new ones work
// unless newToo is set.
func (e *Engine) Freeze(newToo bool) { e.ln.Freeze(newToo) }

// Thaw lets new connections work again after Freeze(true).
func (e *Engine) Thaw() { e.ln.Thaw() }

// MismatchAnswers makes a share of answers carry another attempt's id and content.
func (e *Engine) MismatchAnswers(share float64) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.mismatchShare = share
}

// CutStreamsAfter breaks each stream's connection after n more events; the attempt
// goes on and can be resumed. 0 stops it.
func (e *Engine) CutStreamsAfter(n int) { e.faults.cutAfter.Store(int32(n)) }

// DropOrders loses the next n orders.
func (e *Engine) DropOrders(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.dropNext = n
}

// DelayOrders has the next n orders carried out only after d, and their
// answers lost.
func (e *Engine) DelayOrders(n int, d time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.delayNext, e.faults.orderDelay = n, d
}

// DuplicateOrders has the next n orders carried out at once and again after d.
func (e *Engine) DuplicateOrders(n int, d time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.duplicateNext, e.faults.duplicateDelay = n, d
}

// LoseOrderAnswers has the next n orders carried out and their answers lost.
func (e *Engine) LoseOrderAnswers(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.loseAnswersNext = n
}

// intercept deals with an order that is to be lost, late or doubled; true: the
// order must not be carried out now.
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

// executeLater carries an order out after d, also when the process was restarted
// meanwhile: it was under way in the network.
func (e *Engine) executeLater(d time.Duration, o engineapi.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spawn(func() {
		if e.wait(d, nil) {
			e.execute(o)
		}
	})
}

// answerSource picks the attempt whose answer goes out in place of a's: mostly a itself.
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
