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

	mu         sync.Mutex
	cross      float64
	drop       int
	late       int
	delay      time.Duration
	twice      int
	twiceAfter time.Duration
	mute       int
}

// Drain makes the engine refuse new work for the rest of its incarnation and
// finish what it has.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
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
	case <-e.reborn:
		return
	default:
		close(e.reborn)
	}
	e.attempts.VisitNewestFirst(func(a *attempt) bool {
		e.finish(a, fateDied)
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
	e.faults.cross = share
}

// CutStreamsAfter breaks each stream's connection after n more events; the attempt
// goes on and can be resumed. 0 stops it.
func (e *Engine) CutStreamsAfter(n int) { e.faults.cutAfter.Store(int32(n)) }

// DropOrders loses the next n orders.
func (e *Engine) DropOrders(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.drop = n
}

// DelayOrders has the next n orders carried out only after d, and their
// answers lost.
func (e *Engine) DelayOrders(n int, d time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.late, e.faults.delay = n, d
}

// DuplicateOrders has the next n orders carried out at once and again after d.
func (e *Engine) DuplicateOrders(n int, d time.Duration) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.twice, e.faults.twiceAfter = n, d
}

// LoseOrderAnswers has the next n orders carried out and their answers lost.
func (e *Engine) LoseOrderAnswers(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.mute = n
}

// mislead deals with an order that is to be lost, late or doubled; true: the
// order must not be carried out now.
func (f *faults) mislead(e *Engine, o engineapi.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.drop > 0:
		f.drop--
		return true
	case f.late > 0:
		f.late--
		e.later(f.delay, o)
		return true
	case f.twice > 0:
		f.twice--
		e.later(f.twiceAfter, o)
	}
	return false
}

func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mute == 0 {
		return false
	}
	f.mute--
	return true
}

// later carries an order out after d, also when the process was restarted
// meanwhile: it was under way in the network.
func (e *Engine) later(d time.Duration, o engineapi.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spawn(func() {
		if e.pause(d, nil) {
			e.carryOut(o)
		}
	})
}

// crossed picks the attempt whose answer goes out in place of a's: mostly a itself.
func (e *Engine) crossed(a *attempt) *attempt {
	e.faults.mu.Lock()
	share := e.faults.cross
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
