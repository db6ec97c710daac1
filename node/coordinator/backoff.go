package coordinator

import (
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// inVain answers a request that no upstream takes while it waits: it is told when
// to come back. Else it has the queue looked at when one of them does.
func (t *turns) inVain(w *turn, now time.Time) bool {
	o := t.outlook(w, now)
	patience := milliseconds(w.event.PatienceMs)
	if patience == 0 || o.goes <= patience {
		return false
	}
	w.key.from.send(&coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_NONE, Reason: uint32(balance.AllBackoff),
		WaitMs: uint32(o.returns.Milliseconds()) + 1})
	return true
}

// outlook is when a request can go whose upstreams all take nothing for now.
type outlook struct {
	goes    time.Duration // from its host
	returns time.Duration // when its caller should come back, if that is too late
}

func (t *turns) outlook(w *turn, now time.Time) outlook {
	var o outlook
	first, perSecond := true, 0.0
	for _, e := range t.c.deps.Fleet.EntriesWithModel(w.event.Service, w.ask.Model) {
		at := t.endpoint(e, w, now)
		if balance.Check(&at, &balance.Request{Model: w.ask.Model}) != balance.AllBackoff {
			continue
		}
		t.wake(e, now, at.Backoff)
		own := outlook{goes: at.Backoff, returns: t.returnIn(e, at.Backoff, now)}
		if first {
			o, first = own, false
		}
		o = outlook{goes: min(o.goes, own.goes), returns: min(o.returns, own.returns)}
		if limit := e.Limit(); limit.Stated {
			perSecond += limit.Rate()
		}
	}
	if perSecond > 0 {
		queued := time.Duration(float64(t.ahead(w)) / perSecond * float64(time.Second))
		o.goes, o.returns = o.goes+queued, o.returns+queued
	}
	return o
}

// otherHost is when a caller should come back whom other hosts can serve now: by
// chance it comes to one of them.
const otherHost = 100 * time.Millisecond

// returnIn is when a caller should come back for an upstream that takes nothing of
// its host for a time: an upstream that asked one host for rest may serve the others.
func (t *turns) returnIn(e *fleet.Entry, backoff time.Duration, now time.Time) time.Duration {
	if t.limits.wait(e, now) == 0 && t.rests.serves(e.ID()) {
		return otherHost
	}
	return backoff
}

// ahead is how many of those that wait for the same upstreams go before a request.
func (t *turns) ahead(w *turn) int {
	n := 0
	for _, o := range t.waiting {
		if o.waitsFor == balance.AllBackoff && o.event.Priority <= w.event.Priority && o.event.Service == w.event.Service && o.ask.Model == w.ask.Model {
			n++
		}
	}
	return n
}

// wake has what waits looked at after a time when an upstream may take one more.
func (t *turns) wake(e *fleet.Entry, now time.Time, wait time.Duration) {
	if wait <= 0 {
		return
	}
	at := now.Add(wait)
	if due, ok := t.wakes[e]; ok && !at.Before(due) {
		return
	}
	t.wakes[e] = at
	time.AfterFunc(wait, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.wakes, e)
		t.nextAt(e.ID())
	})
}
