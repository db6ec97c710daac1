package gate

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/replica"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// picked is the outcome of one look at the upstreams.
type picked struct {
	balance.Decision
	among   int          // upstreams looked at
	home    *fleet.Entry // where an adapter should be loaded; nil: nowhere
	load    int          // requests at the chosen one, as known
	waiting int          // prompt tokens to be read there, as known
	cached  int          // prompt tokens that it probably keeps
	turn    *Permit      // given by the host that decides for all; nil: decided here
	inVain  bool         // no upstream takes the request while it waits
	over    bool         // the request is over its team's limit; nothing else is set but after
	after   time.Duration
}

// choose asks where the request goes, or picks by what this host knows. Where
// the host that decides for all knows of no upstream but this one does, or of
// one that only has no room, its own knowledge is newer.
func (q *request) choose() (*fleet.Entry, picked) {
	if q.ask.Model == "" && !q.crowded() {
		if over, ok := q.charge(); !ok {
			return nil, over
		}
		return q.pickCounted()
	}
	e, given, ok := q.turn()
	if e != nil || given.over {
		return e, given
	}
	if ok && q.ask.Model == "" && given.Reason != balance.NoUpstream {
		return nil, given
	}
	if over, ok := q.charge(); !ok {
		return nil, over
	}
	e, own := q.pickCounted()
	if e != nil || !ok || given.Reason == balance.NoModel && own.Reason.CloserToFound(given.Reason) {
		return e, own
	}
	return nil, given
}

// pickCounted picks an upstream and counts the request at it, if that names a limit.
func (q *request) pickCounted() (*fleet.Entry, picked) {
	for {
		e, p := q.pick()
		if e == nil || e.AdmitWithoutPermit(q.g.deps.Now()) {
			return e, p
		}
	}
}

// crowdedShare is how many requests there must be at a plain service, by what
// this host knows, as a share of its slots, for turns to be worth their way. With
// fewer, hosts seldom send to the same upstream at once.
const crowdedShare = 0.5

// crowded says whether the service of a call is so busy that it goes by turns, or
// has upstreams that name a limit for all hosts together.
// Hosts see what the others have sent a fraction of a second late, which is
// several times what a call takes: together they fill one upstream's queue, so
// that its answers are late and the rest is refused, with the next one idle.
func (q *request) crowded() bool {
	if q.g.deps.Fleet.HasLimit(q.service.Name) {
		return true
	}
	now := q.g.deps.Now()
	requests, slots := 0, 0
	for _, e := range q.g.deps.Fleet.EntriesOfService(q.service.Name) {
		at := e.Endpoint(&q.ask, now)
		if !at.Draining && !at.Down {
			requests, slots = requests+at.InFlight, slots+at.Slots
		}
	}
	return float64(requests) >= crowdedShare*float64(slots)
}

// pick chooses an upstream among those of the request's service.
func (q *request) pick() (*fleet.Entry, picked) { return q.pickAs(q.lost) }

// pickAs is pick for a request that an upstream has lost, or is losing, or not.
func (q *request) pickAs(lost bool) (*fleet.Entry, picked) {
	d := &q.g.deps
	now := d.Now()
	entries := d.Fleet.EntriesWithModel(q.service.Name, q.ask.Model)
	endpoints := make([]balance.Endpoint, len(entries))
	for i, e := range entries {
		endpoints[i] = e.Endpoint(&q.ask, now)
		endpoints[i].Tried = q.tried[endpoints[i].ID]
		endpoints[i].HasIdleConn = d.Client.HasIdleConnection(e.Address())
	}
	r := balance.Request{Model: q.ask.Model, Adapter: q.ask.Adapter, PromptTokens: q.cost.PromptTokens, OutputTokens: q.cost.OutputTokens}
	if q.service.Engine != nil {
		r.CacheTokens = q.service.Engine.CacheTokens
		r.MaxPendingPromptTokens = q.reading(now, lost)
	}
	p := picked{Decision: balance.Pick(endpoints, &r, d.Rand), among: len(entries)}
	if p.AdapterTarget >= 0 {
		p.home = entries[p.AdapterTarget]
	}
	if p.Reason == balance.NoUpstream && d.Fleet.HasUsableWithoutModel(q.service.Name, q.ask.Model, func(e *fleet.Entry) bool { return q.tried[e.ID()] }) {
		p.Reason = balance.NoModel
	}
	if p.Index < 0 {
		return nil, p
	}
	chosen := &endpoints[p.Index]
	p.load, p.waiting, p.cached = chosen.InFlight, chosen.PendingPromptTokens, chosen.CachedTokens
	return entries[p.Index], p
}

// reading is how many prompt tokens may wait where the request goes, however
// long it has waited. Sent on all the same once its time was short, requests for
// a model that is asked for more than its upstreams can read kept these from
// what could still be answered in time: all answers were late, in place of those
// that there was no room for. One that an upstream has lost goes to the best of
// the others: its caller has waited for an answer already.
func (q *request) reading(now time.Time, lost bool) int {
	if q.service.Engine == nil {
		return 0
	}
	if lost && now.Sub(q.start) >= q.bounded(time.Duration(float64(q.route.Objective)*leastShare)) {
		return 0
	}
	return balance.PendingPromptLimit(q.route.PauseBound, q.service.Engine.EventTokens)
}

const (
	// holdShare is the part of a request's objective for which it may be held
	// without being offered to an upstream, and still be refused.
	holdShare = 1.0 / 8
	// shortestHold is worth a look even for the shortest objectives: a plain
	// service frees a place in this time.
	shortestHold = 10 * time.Millisecond
	// adapterHold is how long a request waits for an adapter: a load takes 10
	// to 30 ms, the order's way a few more.
	adapterHold = 500 * time.Millisecond
	// modelShare is the part of its objective that a request waits for a model
	// that no upstream holds. Later the answer would no longer be in time.
	modelShare = 0.6
)

// wait lets a request wait until an upstream may take it. It answers the
// caller, and says no, when none will in time.
func (q *request) wait(p picked) bool {
	if p.over {
		q.refuseOver(p.after)
		return false
	}
	if p.Reason == balance.NoModel {
		return q.awaitModel(p)
	}
	if q.triedAll(p) {
		return q.giveUpUnbegun(p.Reason)
	}
	until := q.start.Add(q.hold(p.Reason))
	if p.Reason == balance.NoAdapter && p.home != nil {
		return q.fetchAdapter(p)
	}
	now := q.g.deps.Now()
	if p.Reason == balance.AllBackoff && !q.started && (p.inVain || now.Add(p.MinBackoff).After(until)) {
		return q.giveUpBackoff(p.MinBackoff)
	}
	if !now.Before(until) {
		return q.giveUp(p.Reason)
	}
	ctx, cancel := context.WithDeadline(q.ctx, until)
	defer cancel()
	if p.MinBackoff > 0 {
		defer time.AfterFunc(p.MinBackoff, q.g.deps.Fleet.NotifyChanged).Stop()
	}
	defer q.endsWithStop(cancel)()
	q.tellWait(p, until.Sub(now))
	changed := q.g.deps.Fleet.Changed()
	if e, _ := q.pick(); e != nil {
		return true
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return q.giveUp(p.Reason)
	}
}

// tellWait logs why the request waits, once for each reason.
func (q *request) tellWait(p picked, most time.Duration) {
	if q.waitsFor == p.Reason {
		return
	}
	q.waitsFor = p.Reason
	q.g.deps.Log.Emit(event.RequestQueued, q.id(), q.routeName(), q.modelName(), zap.Stringer("why", p.Reason), zap.Int("among", p.among),
		zap.Int64("for_ms", most.Milliseconds()))
}

// modelLook is how often a request that waits for a model looks for it without
// a change of what upstreams hold: one that rested may be tried again.
const modelLook = 200 * time.Millisecond

// awaitModel lets the request wait until an upstream holds its model. It goes
// by what this host knows: the host that decides for all tells it what was
// loaded and what is on its way, and a question for each change would be one for
// each request that ends anywhere.
func (q *request) awaitModel(p picked) bool {
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	defer q.endsWithStop(cancel)()
	for {
		held := q.g.deps.Fleet.ResidencyChanged()
		if e, p := q.pick(); e != nil || p.Reason != balance.NoModel {
			return true
		}
		until, late := q.modelBy()
		now := q.g.deps.Now()
		if late || !now.Before(until) {
			return q.giveUpModel(now)
		}
		q.tellWait(p, until.Sub(now))
		q.g.deps.Coordinator.RecordDemand(q.service.Name, &q.facts, q.cost.OutputTokens, q.route.Objective, true)
		look, cancel := context.WithTimeout(ctx, min(modelLook, until.Sub(now)))
		select {
		case <-held:
		case <-look.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return q.giveUp(balance.NoModel)
		}
	}
}

// comingSlack is how much later than it can be expected a model may come:
// what makes way for it ends its streams first.
const comingSlack = 2 * time.Second

// modelBy is until when the request waits for a model that no upstream holds:
// until it is there, if that is on its way; else for as long as its answer could
// still be in time. Late says that the model comes after the request's time, so
// that any wait is in vain.
func (q *request) modelBy() (until time.Time, late bool) {
	usual := q.start.Add(q.hold(balance.NoModel))
	at, coming := q.g.deps.Fleet.ExpectedReady(q.service.Name, q.ask.Model)
	if !coming || q.started || q.g.deps.Draining() {
		return usual, false
	}
	last := q.start.Add(time.Duration(float64(q.deadline.Sub(q.start)) * replica.MaxWaitShare))
	if at.After(last) {
		return usual, true
	}
	if until = at.Add(comingSlack); until.After(last) {
		until = last
	}
	return until, false
}

// giveUpModel answers a request whose model will not come in its time. A caller
// may come back when it is there.
func (q *request) giveUpModel(now time.Time) bool {
	at, coming := q.g.deps.Fleet.ExpectedReady(q.service.Name, q.ask.Model)
	if after := at.Sub(now); coming && after > 0 && q.kept == nil && q.r.Context().Err() == nil {
		q.unserved(http.StatusBadGateway, balance.NoModel.String(), after)
		return false
	}
	return q.giveUp(balance.NoModel)
}

// hold is how long the request may wait for the reason to pass. One whose
// answer has begun can be refused no more; to give it up would cut it.
func (q *request) hold(r balance.Reason) time.Duration {
	if q.started {
		return q.deadline.Sub(q.start)
	}
	hold := max(time.Duration(float64(q.route.Objective)*holdShare), shortestHold)
	if r == balance.AllPrefilling || r == balance.AllBackoff {
		return q.patience()
	}
	if r == balance.NoModel && !q.g.deps.Draining() { // else its answer might not end before the process does
		hold = max(hold, time.Duration(float64(q.route.Objective)*modelShare))
	}
	return hold
}

// fetchAdapter has the adapter loaded where the request would go.
func (q *request) fetchAdapter(p picked) bool {
	d := &q.g.deps
	if q.adapterAsks++; q.adapterAsks > adapterTries {
		return q.giveUpUnbegun(p.Reason)
	}
	ctx, cancel := context.WithTimeout(q.ctx, adapterHold)
	defer cancel()
	d.Log.Emit(event.AdapterRequested, q.id(), zap.String(event.FieldPeer, p.home.ID()),
		zap.String("model", q.ask.Model), zap.String("adapter", q.ask.Adapter))
	err := d.Coordinator.LoadAdapter(ctx, p.home.ID(), q.ask.Model, q.ask.Adapter)
	if err != nil {
		d.Log.Emit(event.RequestQueued, q.id(), zap.String("why", "adapter"), zap.Error(err))
		return q.giveUpUnbegun(p.Reason)
	}
	return true
}

// adapterTries is how often one request asks for its adapter.
const adapterTries = 2

// giveUpBackoff answers a request whose upstreams all asked to be sent nothing
// for longer than it may wait. It is told when one of them takes some again.
func (q *request) giveUpBackoff(after time.Duration) bool {
	if q.kept != nil || q.r.Context().Err() != nil {
		return q.giveUp(balance.AllBackoff)
	}
	q.g.deps.Metrics.Count(metrics.BackedOff, 1)
	q.unserved(http.StatusBadGateway, balance.AllBackoff.String(), max(after, stopRetry))
	return false
}

// giveUp answers a request that no upstream will take in time.
func (q *request) giveUp(r balance.Reason) bool {
	switch {
	case q.r.Context().Err() != nil:
		q.left()
	case q.kept != nil:
		q.kept()
	default:
		q.unserved(http.StatusBadGateway, r.String(), retryOf(r))
	}
	return false
}
