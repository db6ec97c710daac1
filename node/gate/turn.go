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

// turn asks where the request may go. ok is false when this host has to decide
// by itself: nobody decides for all, or the wait is over.
func (q *request) turn() (e *fleet.Entry, p picked, ok bool) {
	d := &q.g.deps
	now := d.Now()
	left := q.start.Add(q.patience()).Sub(now)
	if left <= 0 {
		return nil, picked{}, false
	}
	ctx, cancel := context.WithTimeout(q.ctx, left)
	defer cancel()
	defer q.endsWithStop(cancel)()
	ask := &PermitRequest{Service: q.service.Name, Request: &q.ask, Cost: q.cost, Priority: q.urgency(), MaxPendingPromptTokens: q.reading(now, q.lost),
		ObjectiveLeft: q.start.Add(q.route.Objective).Sub(now), MaxWait: left}
	ask.WithIdleConn, ask.Backoffs = q.warm(), d.Fleet.Backoffs(q.service.Name)
	if q.caller.owes() {
		ask.Team, ask.Charge = q.caller.team, q.caller.cost
	}
	for _, e := range d.Fleet.EntriesWithModel(q.service.Name, q.ask.Model) {
		if q.tried[e.ID()] || e.IsDown() {
			ask.Excluded = append(ask.Excluded, e.ID())
		}
	}
	t, err := d.Coordinator.RequestPermit(ctx, ask)
	if err != nil {
		// A call that had no turn in its time would be late, and make others late.
		full := q.ask.Model == "" && errors.Is(err, context.DeadlineExceeded)
		return nil, picked{Decision: balance.Decision{Index: -1, Reason: balance.AllFull, AdapterTarget: -1}}, full
	}
	if t.OverLimit {
		return nil, picked{over: true, after: t.RetryAfter}, true
	}
	q.caller.paid()
	if t.Upstream == "" {
		return q.noTurn(t)
	}
	e, known := d.Fleet.Entry(t.Upstream)
	if !known || !e.Usable() || e.Limit().Stated && !t.WithinLimit {
		t.Release() // what this host knows is newer
		return nil, picked{}, false
	}
	p = picked{Decision: balance.Decision{PredictedWait: t.Predicted}, among: len(d.Fleet.EntriesOfService(q.service.Name)),
		load: t.InFlight, waiting: t.PendingPromptTokens, cached: t.CachedTokens, turn: t}
	d.Log.Emit(event.PermitGranted, q.id(), zap.String(event.FieldPeer, t.Upstream), zap.Int64("waited_ms", d.Now().Sub(now).Milliseconds()),
		zap.Int("load", t.InFlight), zap.Int("waiting", t.PendingPromptTokens), zap.Int("cached", t.CachedTokens))
	return e, p, true
}

const (
	// turnShare is the part of its time that a request waits for a turn. What
	// is left must do for its prompt and its answer. Waiting here keeps the
	// streams of a busy upstream going; sent on, the prompt would only stop them.
	turnShare = 0.35
	// leastShare is the part of its objective that it waits for one in any case.
	leastShare = 0.5
	// mostShare is the part of its objective after which it is refused: its
	// answer would be late, and what has just come can still be served in time.
	mostShare = 0.8
)

// patience is how long after its start the request may wait for a turn. A call of
// a plain service takes a small part of its time, and those that would be late let
// the others pass: to refuse it sooner would leave its place to nobody, once the
// crowd has passed.
func (q *request) patience() time.Duration {
	share := time.Duration(float64(q.deadline.Sub(q.start)) * turnShare)
	if q.service.Engine == nil {
		return q.bounded(share)
	}
	share = max(share, time.Duration(float64(q.route.Objective)*leastShare))
	return q.bounded(min(share, time.Duration(float64(q.route.Objective)*mostShare)))
}

// warm lists the upstreams that may answer the request and that this host has an
// idle connection to.
func (q *request) warm() []string {
	var out []string
	for _, e := range q.g.deps.Fleet.EntriesWithModel(q.service.Name, q.ask.Model) {
		if q.g.deps.Client.HasIdleConnection(e.Address()) {
			out = append(out, e.ID())
		}
	}
	return out
}

// noTurn turns an answer without an upstream into what the wait goes by.
func (q *request) noTurn(t *Permit) (*fleet.Entry, picked, bool) {
	p := picked{Decision: balance.Decision{Index: -1, Reason: t.Reason, AdapterTarget: -1, MinBackoff: t.RetryAfter}, inVain: t.RetryAfter > 0, among: len(q.g.deps.Fleet.EntriesOfService(q.service.Name))}
	if home, ok := q.g.deps.Fleet.Entry(t.AdapterUpstream); ok && t.Reason == balance.NoAdapter {
		p.home = home
	}
	return nil, p, true
}
