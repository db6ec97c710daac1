package permits

import (
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
)

// refuseUnservable answers a request that no upstream will take within its maximum
// wait; the answer contains the retry delay. Otherwise it returns false, and the queue
// is checked again when one of the upstreams may take a request.
func (p *Permits) refuseUnservable(w *request, now time.Time) bool {
	maxWait := wire.Milliseconds(w.event.PatienceMs)
	if maxWait == 0 {
		return false
	}
	if w.waitReason != balance.AllBackoff {
		after, hopeless := p.waiting.Refuse(p.queued(w, p.expectedWork(w)), maxWait, now)
		if hopeless {
			p.countHopeless()
			w.refuseWith(w.waitReason, after)
		}
		return hopeless
	}
	o := p.estimateWait(w, now)
	if o.dispatchIn <= maxWait {
		return false
	}
	w.refuseWith(balance.AllBackoff, o.retryIn)
	return true
}

// refuseWith answers that no upstream takes a request, and when it should come back.
func (w *request) refuseWith(r balance.Reason, after time.Duration) {
	w.key.from.send(&coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_NONE, Reason: uint32(r), WaitMs: uint32(after.Milliseconds()) + 1})
}

// waitEstimate estimates when a request can be dispatched whose upstreams all take
// nothing for now.
type waitEstimate struct {
	dispatchIn time.Duration // until its host may dispatch it
	retryIn    time.Duration // until its caller should retry, if dispatchIn is too late
}

func (p *Permits) estimateWait(w *request, now time.Time) waitEstimate {
	var o waitEstimate
	first, perSecond := true, 0.0
	for _, e := range p.deps.Fleet.EntriesWithModel(w.event.Service, w.needs.Model) {
		at := p.endpoint(e, w, now)
		if balance.Check(&at, &balance.Request{Model: w.needs.Model}) != balance.AllBackoff {
			continue
		}
		p.wakeAfter(e, now, at.Backoff)
		estimate := waitEstimate{dispatchIn: at.Backoff, retryIn: p.retryAfter(e, at.Backoff, now)}
		if first {
			o, first = estimate, false
		}
		o = waitEstimate{dispatchIn: min(o.dispatchIn, estimate.dispatchIn), retryIn: min(o.retryIn, estimate.retryIn)}
		if limit := e.Limit(); limit.Stated {
			perSecond += limit.Rate()
		}
		perSecond += p.rooms.rate(e, now)
	}
	if perSecond > 0 {
		queued := time.Duration(float64(p.queuedAhead(w)) / perSecond * float64(time.Second))
		o.dispatchIn, o.retryIn = o.dispatchIn+queued, o.retryIn+queued
	}
	return o
}

// otherHostRetry is the delay after which a caller should retry that other hosts can
// serve now: its next attempt may reach one of them.
const otherHostRetry = 100 * time.Millisecond

// retryAfter returns the delay after which a caller should retry for an upstream that
// takes nothing from the caller's host for the time of backoff: an upstream that asked
// one host to back off may serve the others.
func (p *Permits) retryAfter(e *fleet.Entry, backoff time.Duration, now time.Time) time.Duration {
	if p.limits.wait(e, now) == 0 && p.backoffs.serves(e.ID()) {
		return otherHostRetry
	}
	return backoff
}

// queuedAhead returns how many of the requests that wait for the same upstreams come
// before a request.
func (p *Permits) queuedAhead(w *request) int {
	return p.waiting.Ahead(p.queued(w, p.expectedWork(w)))
}

// wake is when the requests that wait for an upstream are tried again.
type wake struct {
	at   time.Time
	next time.Time // the first later time that was asked for; zero: none was
}

// wakeAfter tries the waiting requests again after wait, when an upstream may take one
// more.
func (p *Permits) wakeAfter(e *fleet.Entry, now time.Time, wait time.Duration) {
	if wait <= 0 {
		return
	}
	at := now.Add(wait)
	due, ok := p.wakeAt[e]
	if ok && !at.Before(due.at) {
		if at.After(due.at) && (due.next.IsZero() || at.Before(due.next)) {
			due.next = at
			p.wakeAt[e] = due
		}
		return
	}
	p.wakeAt[e] = wake{at: at, next: due.at}
	p.deps.AfterFunc(wait, func() { p.wakeUp(e, at) })
}

// wakeUp does what wakeAfter has set for a time, unless an earlier one took its place.
func (p *Permits) wakeUp(e *fleet.Entry, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.wakeAt[e]
	if !due.at.Equal(at) {
		return
	}
	delete(p.wakeAt, e)
	p.grantWaitingAt(e.ID())
	if now := p.deps.Now(); p.waiting.Len() > 0 && !due.next.IsZero() {
		p.wakeAfter(e, now, due.next.Sub(now))
	}
}
