package gate

import (
	"context"
	"errors"
	"sync"
)

// errDiverted is the cause of the context of an attempt that ended before it was sent,
// because this host reaches no upstream.
var errDiverted = errors.New("sent through another host")

// hold is a wait of a request that has no running attempt: for a permit, an upstream or a
// connection. It ends early when this host reaches no upstream.
type hold struct {
	cancel      context.CancelFunc
	cancelCause context.CancelCauseFunc // if cancel is nil
	diverted    bool
	held        bool
	prev, next  *hold
}

// holds lists the holds of all requests.
type holds struct {
	needed func() bool // this host reaches no upstream
	mu     sync.Mutex
	first  *hold
}

// add adds a hold, which ends with remove. One that begins while this host reaches no
// upstream is diverted at once.
func (l *holds) add(h *hold, cancel context.CancelFunc, cancelCause context.CancelCauseFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*h = hold{cancel: cancel, cancelCause: cancelCause, held: true, next: l.first}
	if l.first != nil {
		l.first.prev = h
	}
	l.first = h
	if l.needed() { // after the hold is listed: divert may have run just before
		l.divertLocked()
	}
}

// remove ends a hold and reports whether it was diverted. Afterwards it cannot be.
func (l *holds) remove(h *hold) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlinkLocked(h)
	return h.diverted
}

func (l *holds) unlinkLocked(h *hold) {
	if !h.held {
		return
	}
	h.held = false
	if h.prev != nil {
		h.prev.next = h.next
	} else {
		l.first = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	}
}

// divert diverts all holds.
func (l *holds) divert() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.divertLocked()
}

func (l *holds) divertLocked() {
	for h := l.first; h != nil; h = l.first {
		l.unlinkLocked(h)
		h.diverted = true
		if h.cancel != nil {
			h.cancel()
		} else {
			h.cancelCause(errDiverted)
		}
	}
}

// beginHold registers a wait that cancel ends.
func (q *request) beginHold(cancel context.CancelFunc) {
	if q.g.deps.Detour != nil {
		q.g.holds.add(&q.hold, cancel, nil)
	}
}

// beginSend registers an attempt that cancel ends before it is sent.
func (q *request) beginSend(cancel context.CancelCauseFunc) {
	if q.g.deps.Detour != nil {
		q.g.holds.add(&q.hold, nil, cancel)
	}
}

// endHold ends a wait and reports whether it was diverted.
func (q *request) endHold() bool {
	return q.g.deps.Detour != nil && q.g.holds.remove(&q.hold)
}

// chooseAgain ends a wait and reports whether the request has to choose again: the wait was
// diverted, or this host reaches no upstream.
func (q *request) chooseAgain() bool { return q.endHold() || q.cutOff() }
