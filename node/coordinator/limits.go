package coordinator

import (
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/balance"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// limits paces what all hosts send to the upstreams that name a limit. The owner
// of the turns guards it.
type limits struct {
	c       *Coordinator
	origin  time.Time
	pacers  map[*fleet.Entry]*backpressure.Pacer
	wakes   map[*fleet.Entry]time.Time // when what waits for an upstream is looked at
	part    float64                    // of the hosts that is heard here
	countAt time.Time                  // when that was counted
}

func newLimits(c *Coordinator) limits {
	return limits{c: c, origin: c.now(), pacers: map[*fleet.Entry]*backpressure.Pacer{}, wakes: map[*fleet.Entry]time.Time{}}
}

// begin forgets what an earlier term left: others have sent since.
func (l *limits) begin() { clear(l.pacers) }

// rate is what this host may let through to an upstream that names a limit. Hosts
// that are not heard may be cut off, and go by their shares.
func (l *limits) rate(limit backpressure.Limit, now time.Time) float64 {
	if now.Sub(l.countAt) >= expiryEach {
		l.part, l.countAt = l.c.sums.heard(now), now
	}
	return limit.Rate() * l.part
}

// wait is the time until an upstream takes one more.
func (l *limits) wait(e *fleet.Entry, now time.Time) time.Duration {
	limit := e.Limit()
	if !limit.Named {
		return 0
	}
	p := l.pacers[e]
	if p == nil {
		p = backpressure.NewPacer(l.origin, now)
		l.pacers[e] = p
	}
	return p.Wait(l.rate(limit, now), backpressure.Whole, now)
}

// take counts one that is sent; it says no if the upstream names no limit.
func (l *limits) take(e *fleet.Entry, now time.Time) bool {
	limit, p := e.Limit(), l.pacers[e]
	return limit.Named && p != nil && p.Take(l.rate(limit, now), backpressure.Whole, now)
}

// forget drops what is kept of upstreams that are gone or name no limit any more.
func (l *limits) forget() {
	for e := range l.pacers {
		if now, ok := l.c.deps.Fleet.Entry(e.ID()); !ok || now != e || !e.Limit().Named {
			delete(l.pacers, e)
			delete(l.wakes, e)
		}
	}
}

// inVain answers a request that upstreams have no turn for while it waits: it is
// told when to come back. Else it has what waits looked at when they have one.
func (t *turns) inVain(w *turn, now time.Time) bool {
	soonest, perSecond := time.Duration(0), 0.0
	for _, e := range t.c.deps.Fleet.Service(w.event.Service) {
		at := t.endpoint(e, w, now)
		if balance.Check(&at, &balance.Request{Model: w.ask.Model}) != balance.AllBackoff {
			continue
		}
		t.wake(e, now, at.Backoff)
		if soonest == 0 || at.Backoff < soonest {
			soonest = at.Backoff
		}
		if limit := e.Limit(); limit.Named {
			perSecond += limit.Rate()
		}
	}
	wait := soonest
	if perSecond > 0 {
		wait += time.Duration(float64(t.ahead(w)) / perSecond * float64(time.Second))
	}
	patience := milliseconds(w.event.PatienceMs)
	if patience == 0 || wait <= patience {
		return false
	}
	w.key.from.send(&coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_NONE, Reason: uint32(balance.AllBackoff), WaitMs: uint32(wait.Milliseconds()) + 1})
	return true
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
	if due, ok := t.limits.wakes[e]; ok && !at.Before(due) {
		return
	}
	t.limits.wakes[e] = at
	time.AfterFunc(wait, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.limits.wakes, e)
		t.nextAt(e.ID())
	})
}
