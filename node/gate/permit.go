package gate

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
)

// PermitRequest asks the acting coordinator where a request may be sent.
type PermitRequest struct {
	Service                string
	Request                *fleet.Request
	Cost                   fleet.Cost
	Priority               int            // the request's rank among all urgencies; 0 is the most urgent
	MaxPendingPromptTokens int            // prompt tokens that may be waiting at the upstream; 0: unbounded
	PauseBound             time.Duration  // longest pause between events for which the response is in time; 0: none
	Excluded               []string       // upstreams not to use: already tried, or excluded by this host
	WithIdleConn           []string       // upstreams to which this host has an idle connection
	Backoffs               fleet.Backoffs // remaining backoffs that upstreams of the service asked this host for
	ObjectiveLeft          time.Duration  // until the request's objective; a response that starts later is overdue
	MaxWait                time.Duration  // how long the request waits for the permit, or is refused at once; 0: it waits in any case
	Account                string         // team that the request belongs to, for its share of scarce capacity; "": none
	Team                   *deploy.Team   // whose limit is charged with the permit; nil: none
	Limit                  quota.Ask      // what is asked of the team's limit; its cost is 0 if Team is nil
}

// Permit is the coordinator's decision on a PermitRequest. If it names an upstream,
// Began is called when the response begins, NotListening when nothing listens at
// the upstream, and Release when the attempt is over; each may be called from any
// goroutine.
type Permit struct {
	OverLimit           *LimitAnswer  // over the team's limit; nothing else is set then
	RetryAfter          time.Duration // until some upstream may allow the request; 0: not known
	Upstream            string        // "": none; see Reason
	Reason              balance.Reason
	AdapterUpstream     string // where an adapter should be loaded
	PredictedWait       time.Duration
	InFlight            int // requests at the upstream
	PendingPromptTokens int // prompt tokens waiting there
	CachedTokens        int // prompt tokens that are probably cached there
	// LateStreams is how many streams at the upstream the prompt is expected to make late.
	LateStreams float64
	// Advance is how long before the expected first event of an earlier prompt there the
	// permit was granted; 0: it was not ahead of any.
	Advance time.Duration
	// WithinLimit reports that the upstream names a limit and the request was counted towards it.
	WithinLimit bool
	// WithinRoom reports that the upstream is brittle and the request was counted towards its room.
	WithinRoom bool
	IsProbe    bool // a probe of an upstream that has refused requests: the coordinator waits for Began
	// StatedSlowdown is what the upstream stated on its answer, as a multiple of the usual
	// time; 0: nothing. It is set before Began and Release, which tell the coordinator.
	StatedSlowdown float64
	// Success reports that the status of the upstream's response is that of a success. It is
	// set before Began.
	Success bool
	// Complete reports that the upstream's response was complete. It is set before Release.
	Complete bool

	Began        func()
	NotListening func()
	Refused      func(load *fleet.ReportedLoad) // the upstream had no room; load is nil if it stated none. Only with WithinRoom.
	Abandoned    func()                         // the upstream may still run the request, though its attempt is over. Only with WithinRoom.
	Release      func()
}

// end returns the permit after an attempt.
func (p *Permit) end(abandoned, complete bool) {
	p.Complete = complete
	if abandoned && p.WithinRoom && p.Abandoned != nil {
		p.Abandoned()
	}
	p.Release()
}

// requestPermit asks where the request may be sent. ok is false when this host has to
// decide by itself: there is no acting coordinator, or the wait is over.
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
	q.beginHold(cancel)
	defer q.endHold()
	req := &PermitRequest{Service: q.service.Name, Request: &q.needs, Cost: q.cost, Priority: q.urgency(), MaxPendingPromptTokens: q.maxPendingPromptTokens(now, q.lostByUpstream),
		PauseBound: q.route.PauseBound, ObjectiveLeft: q.objectiveLeft(now), MaxWait: maxWait, Account: q.caller.name()}
	if q.started {
		req.MaxWait = 0 // its caller has a part of the response, so that it waits in any case
	}
	req.WithIdleConn, req.Backoffs = q.withIdleConn(), d.Fleet.Backoffs(q.service.Name)
	if q.caller.owesCharge() {
		req.Team, req.Limit = q.caller.team, q.ask()
	}
	for _, e := range d.Fleet.EntriesWithModel(q.service.Name, q.needs.Model) {
		if q.tried[e.ID()] || e.IsDown() || !q.mayGoOnAt(e) {
			req.Excluded = append(req.Excluded, e.ID())
		}
	}
	permit, err := d.Coordinator.RequestPermit(ctx, req)
	if denied := new(NotGrantedError); errors.As(err, &denied) && q.needs.Model != "" && !q.started {
		return nil, selection{Decision: balance.Decision{Index: -1, Reason: denied.Reason, AdapterTarget: -1}, notGranted: true}, true
	}
	if err != nil {
		// A call without a permit by now would be overdue, and delay others.
		overdue := q.needs.Model == "" && errors.Is(err, context.DeadlineExceeded)
		return nil, selection{Decision: balance.Decision{Index: -1, Reason: balance.AllFull, AdapterTarget: -1}}, overdue
	}
	if o := permit.OverLimit; o != nil {
		return nil, selection{overLimit: &overLimit{after: o.RetryAfter, promised: o.Promised, level: o.Level, known: true}}, true
	}
	q.caller.markCharged()
	if permit.Upstream == "" {
		return q.withoutPermit(permit)
	}
	e, known := d.Fleet.Entry(permit.Upstream)
	if !known || !e.Usable() || !q.mayGoOnAt(e) || e.Limit().Stated && !permit.WithinLimit || e.Brittle().Stated && !permit.WithinRoom {
		permit.Release() // what this host knows is newer
		return nil, selection{}, false
	}
	p = selection{Decision: balance.Decision{PredictedWait: permit.PredictedWait}, candidates: len(d.Fleet.EntriesOfService(q.service.Name)),
		inFlight: permit.InFlight, pendingPromptTokens: permit.PendingPromptTokens, cachedTokens: permit.CachedTokens, permit: permit}
	d.Log.Emit(event.PermitGranted, q.id(), zap.String(event.FieldPeer, permit.Upstream), zap.Int64("waited_ms", d.Now().Sub(now).Milliseconds()),
		zap.Int("load", permit.InFlight), zap.Int("waiting", permit.PendingPromptTokens), zap.Int("cached", permit.CachedTokens),
		zap.Float64("late_streams", permit.LateStreams), zap.Int64("advance_ms", permit.Advance.Milliseconds()))
	return e, p, true
}

const (
	// permitWaitShare is the share of its time that a request waits for a permit. The
	// remainder must suffice for its prompt and its response. Waiting here keeps the
	// streams of a busy upstream going; a prompt sent there would only stall them.
	permitWaitShare = 0.35
	// minWaitShare is the share of its objective that a request waits at least.
	minWaitShare = 0.5
	// maxWaitShare is the share of its objective after which a request is refused: its
	// response would be overdue, while newer requests can still be served in time.
	maxWaitShare = 0.8
)

// NotGrantedError means that a coordinator which answers had no upstream for a request as
// long as the request waited. The host that waited knows less of the prompts and streams
// at the upstreams, so that it does not send the request where its prompt would delay
// those that were granted.
type NotGrantedError struct {
	Reason balance.Reason // why the request waited
}

// Error implements error.
func (e *NotGrantedError) Error() string {
	return "no permit within the maximum wait: " + e.Reason.String()
}

// Is makes the error one of a deadline that has passed.
func (e *NotGrantedError) Is(target error) bool { return target == context.DeadlineExceeded }

// maxPermitWait returns how long after its start the request may wait for a permit. A
// call of a plain service takes a small part of its time, and overdue calls let
// others pass: refusing it earlier would leave its slot unused once the peak is over.
func (q *request) maxPermitWait() time.Duration {
	return q.limitHold(q.permitWait(q.deadline.Sub(q.start)))
}

// permitWait is maxPermitWait of a host at which a request has that much time when it
// arrives, and which is not draining.
func (q *request) permitWait(timeLeft time.Duration) time.Duration {
	share := time.Duration(float64(timeLeft) * permitWaitShare)
	if q.service.Engine == nil {
		return share
	}
	share = max(share, time.Duration(float64(q.route.Objective)*minWaitShare))
	return min(share, time.Duration(float64(q.route.Objective)*maxWaitShare))
}

// withIdleConn lists the upstreams that may serve the request and to which this host
// has an idle connection.
func (q *request) withIdleConn() []string {
	var out []string
	for _, e := range q.g.deps.Fleet.EntriesWithModel(q.service.Name, q.needs.Model) {
		if q.g.deps.Client.HasIdleConnection(e.Address()) {
			out = append(out, e.ID())
		}
	}
	return out
}

// withoutPermit converts a decision without an upstream into a selection to wait on.
func (q *request) withoutPermit(permit *Permit) (*fleet.Entry, selection, bool) {
	p := selection{Decision: balance.Decision{Index: -1, Reason: permit.Reason, AdapterTarget: -1, MinBackoff: permit.RetryAfter}, unservable: permit.RetryAfter > 0, candidates: len(q.g.deps.Fleet.EntriesOfService(q.service.Name))}
	if home, ok := q.g.deps.Fleet.Entry(permit.AdapterUpstream); ok && q.mayGoOnAt(home) && permit.Reason == balance.NoAdapter {
		p.adapterUpstream = home
	}
	return nil, p, true
}
