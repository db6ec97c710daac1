package gate

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
)

// PermitRequest asks the host that decides for all where a request may go.
type PermitRequest struct {
	Service                string
	Request                *fleet.Request
	Cost                   fleet.Cost
	Priority               int
	MaxPendingPromptTokens int            // prompt tokens that may wait beside it; 0: not bounded
	Excluded               []string       // upstreams not to go to: tried, or left alone by this host
	WithIdleConn           []string       // upstreams with an idle connection from here
	Backoffs               fleet.Backoffs // that upstreams of the service asked this host for
	ObjectiveLeft          time.Duration  // for so long an answer that begins is in time
	MaxWait                time.Duration  // for so long it waits
	Team                   *deploy.Team   // whose limit is charged with the turn; nil: nobody's
	Charge                 float64        // in what the limit counts
}

// Permit is the answer. Of one with an upstream, First is called when the answer
// begins, Absent when nothing listens there, and End when the attempt is over;
// all may be called from any goroutine.
type Permit struct {
	OverLimit           bool          // over the team's limit; nothing else is set but Wait
	RetryAfter          time.Duration // until that, or some upstream, may allow the request; 0: not known
	Upstream            string        // "": none; see Reason
	Reason              balance.Reason
	AdapterUpstream     string // where an adapter should be loaded
	Predicted           time.Duration
	InFlight            int
	PendingPromptTokens int
	CachedTokens        int
	// WithinLimit says that the upstream names a limit and the request is counted.
	WithinLimit bool
	IsProbe     bool // First is waited for: the upstream has turned requests away

	Began        func()
	NotListening func()
	Release      func()
}

// requestPermit asks where the request may go. ok is false when this host has to decide
// by itself: nobody decides for all, or the wait is over.
func (q *request) requestPermit() (e *fleet.Entry, p selection, ok bool) {
	d := &q.g.deps
	now := d.Now()
	maxWait := q.start.Add(q.maxPermitWait()).Sub(now)
	if maxWait <= 0 {
		return nil, selection{}, false
	}
	ctx, cancel := context.WithTimeout(q.ctx, maxWait)
	defer cancel()
	defer q.cancelWithHoldLimit(cancel)()
	req := &PermitRequest{Service: q.service.Name, Request: &q.ask, Cost: q.cost, Priority: q.urgency(), MaxPendingPromptTokens: q.maxWaitingTokens(now, q.lostByUpstream),
		ObjectiveLeft: q.start.Add(q.route.Objective).Sub(now), MaxWait: maxWait}
	req.WithIdleConn, req.Backoffs = q.warmUpstreams(), d.Fleet.Backoffs(q.service.Name)
	if q.caller.owesCharge() {
		req.Team, req.Charge = q.caller.team, q.caller.cost
	}
	for _, e := range d.Fleet.EntriesWithModel(q.service.Name, q.ask.Model) {
		if q.tried[e.ID()] || e.IsDown() {
			req.Excluded = append(req.Excluded, e.ID())
		}
	}
	permit, err := d.Coordinator.RequestPermit(ctx, req)
	if err != nil {
		// A call that had no turn in its time would be late, and make others late.
		overdue := q.ask.Model == "" && errors.Is(err, context.DeadlineExceeded)
		return nil, selection{Decision: balance.Decision{Index: -1, Reason: balance.AllFull, AdapterTarget: -1}}, overdue
	}
	if permit.OverLimit {
		return nil, selection{overLimit: true, retryAfter: permit.RetryAfter}, true
	}
	q.caller.markCharged()
	if permit.Upstream == "" {
		return q.withoutPermit(permit)
	}
	e, known := d.Fleet.Entry(permit.Upstream)
	if !known || !e.Usable() || e.Limit().Stated && !permit.WithinLimit {
		permit.Release() // what this host knows is newer
		return nil, selection{}, false
	}
	p = selection{Decision: balance.Decision{PredictedWait: permit.Predicted}, candidates: len(d.Fleet.EntriesOfService(q.service.Name)),
		requests: permit.InFlight, waitingTokens: permit.PendingPromptTokens, cachedTokens: permit.CachedTokens, permit: permit}
	d.Log.Emit(event.TurnGiven, q.id(), zap.String(event.FieldPeer, permit.Upstream), zap.Int64("waited_ms", d.Now().Sub(now).Milliseconds()),
		zap.Int("load", permit.InFlight), zap.Int("waiting", permit.PendingPromptTokens), zap.Int("cached", permit.CachedTokens))
	return e, p, true
}

const (
	// permitWaitShare is the part of its time that a request waits for a turn. What
	// is left must do for its prompt and its answer. Waiting here keeps the
	// streams of a busy upstream going; sent on, the prompt would only stop them.
	permitWaitShare = 0.35
	// minWaitShare is the part of its objective that it waits for one in any case.
	minWaitShare = 0.5
	// maxWaitShare is the part of its objective after which it is refused: its
	// answer would be late, and what has just come can still be served in time.
	maxWaitShare = 0.8
)

// maxPermitWait is how long after its start the request may wait for a turn. A call of
// a plain service takes a small part of its time, and those that would be late let
// the others pass: to refuse it sooner would leave its place to nobody, once the
// crowd has passed.
func (q *request) maxPermitWait() time.Duration {
	share := time.Duration(float64(q.deadline.Sub(q.start)) * permitWaitShare)
	if q.service.Engine == nil {
		return q.limitHold(share)
	}
	share = max(share, time.Duration(float64(q.route.Objective)*minWaitShare))
	return q.limitHold(min(share, time.Duration(float64(q.route.Objective)*maxWaitShare)))
}

// warmUpstreams lists the upstreams that may answer the request and that this host has an
// idle connection to.
func (q *request) warmUpstreams() []string {
	var out []string
	for _, e := range q.g.deps.Fleet.EntriesWithModel(q.service.Name, q.ask.Model) {
		if q.g.deps.Client.HasIdleConnection(e.Address()) {
			out = append(out, e.ID())
		}
	}
	return out
}

// withoutPermit turns an answer without an upstream into what the wait goes by.
func (q *request) withoutPermit(permit *Permit) (*fleet.Entry, selection, bool) {
	p := selection{Decision: balance.Decision{Index: -1, Reason: permit.Reason, AdapterTarget: -1, MinBackoff: permit.RetryAfter}, unservable: permit.RetryAfter > 0, candidates: len(q.g.deps.Fleet.EntriesOfService(q.service.Name))}
	if home, ok := q.g.deps.Fleet.Entry(permit.AdapterUpstream); ok && permit.Reason == balance.NoAdapter {
		p.adapterUpstream = home
	}
	return nil, p, true
}
