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

// selection is the result of one attempt to select an upstream.
type selection struct {
	balance.Decision
	candidates          int          // number of upstreams considered
	adapterUpstream     *fleet.Entry // where an adapter should be loaded; nil: nowhere
	inFlight            int          // known number of requests at the selected upstream
	pendingPromptTokens int          // known number of prompt tokens waiting there
	cachedTokens        int          // prompt tokens that are probably cached there
	permit              *Permit      // granted by the acting coordinator; nil: this host selected the upstream
	notGranted          bool         // the coordinator had no upstream for it within its maximum wait
	unservable          bool         // no upstream accepts the request within its maximum wait
	overLimit           *overLimit   // the request is over its team's limit; nothing else is set then
}

// release returns the selection's permit.
func (p *selection) release() {
	if p.permit != nil {
		p.permit.Release()
	}
}

// choose requests a permit, or selects an upstream by what this host knows. Where
// the coordinator knows of no upstream but this host does, or of one that only
// lacks capacity, this host's knowledge is newer.
func (q *request) choose() (*fleet.Entry, selection) {
	if q.needs.Model == "" && !q.crowded() {
		if over, ok := q.charge(); !ok {
			return nil, over
		}
		return q.pickCounted()
	}
	e, decision, ok := q.requestPermit()
	if e != nil || decision.overLimit != nil || decision.notGranted {
		return e, decision
	}
	if ok && decision.unservable && decision.Reason != balance.AllBackoff && !q.started {
		return nil, decision // what this host sees free, the coordinator has given to those that wait
	}
	if ok && q.needs.Model == "" && decision.Reason != balance.NoUpstream {
		return nil, decision
	}
	if over, ok := q.charge(); !ok {
		return nil, over
	}
	e, own := q.pickCounted()
	if e != nil || !ok || decision.Reason == balance.NoModel && own.Reason.CloserToFound(decision.Reason) {
		return e, own
	}
	return nil, decision
}

// pickCounted selects an upstream and, if the upstream names a limit, counts the
// request towards it.
func (q *request) pickCounted() (*fleet.Entry, selection) {
	for {
		e, p := q.pick()
		if e == nil || e.AdmitWithoutPermit(q.g.deps.Now()) {
			return e, p
		}
	}
}

// crowdedShare is the number of known requests at a plain service, as a share of
// its slots, from which requests need a permit. With fewer requests, hosts seldom
// send to the same upstream at once, and the extra round trip is not worth it.
const crowdedShare = 0.5

// crowded reports whether calls of the request's service need a permit, because it
// is busy or has upstreams that name a limit for all hosts together.
// Hosts see each other's requests with a delay of a fraction of a second, several
// times the duration of a call: together they would fill the queue of one upstream
// until its responses are overdue and further calls are refused, while the next
// upstream is idle.
func (q *request) crowded() bool {
	if q.g.deps.Fleet.HasLimit(q.service.Name) {
		return true
	}
	now := q.g.deps.Now()
	requests, slots := 0, 0
	for _, e := range q.g.deps.Fleet.EntriesOfService(q.service.Name) {
		endpoint := e.Endpoint(&q.needs, now)
		if !endpoint.Draining && !endpoint.Down {
			requests, slots = requests+endpoint.InFlight, slots+endpoint.Slots
		}
	}
	return float64(requests) >= crowdedShare*float64(slots)
}

// pick selects an upstream among those of the request's service.
func (q *request) pick() (*fleet.Entry, selection) { return q.pickFor(q.lostByUpstream) }

// pickFor is pick with a flag for requests that were, or are about to be, lost by
// their upstream.
func (q *request) pickFor(lostByUpstream bool) (*fleet.Entry, selection) {
	d := &q.g.deps
	now := d.Now()
	entries := d.Fleet.EntriesWithModel(q.service.Name, q.needs.Model)
	endpoints := make([]balance.Endpoint, len(entries))
	for i, e := range entries {
		endpoints[i] = e.Endpoint(&q.needs, now)
		endpoints[i].Tried = q.tried[endpoints[i].ID]
		endpoints[i].HasIdleConn = d.Client.HasIdleConnection(e.Address())
	}
	r := balance.Request{Model: q.needs.Model, Adapter: q.needs.Adapter, Software: q.began.get(), PromptTokens: q.cost.PromptTokens, OutputTokens: q.cost.OutputTokens,
		InTime: q.objectiveLeft(now)}
	if q.service.Engine != nil {
		r.CacheTokens = q.service.Engine.CacheTokens
		r.MaxPendingPromptTokens = q.maxPendingPromptTokens(now, lostByUpstream)
	}
	p := selection{Decision: balance.Pick(endpoints, &r, d.Rand), candidates: len(entries)}
	if p.AdapterTarget >= 0 {
		p.adapterUpstream = entries[p.AdapterTarget]
	}
	if p.Reason == balance.NoUpstream && d.Fleet.HasUsableWithoutModel(q.service.Name, q.needs.Model, func(e *fleet.Entry) bool { return q.tried[e.ID()] || !q.mayGoOnAt(e) }) {
		p.Reason = balance.NoModel
	}
	if p.Index < 0 {
		return nil, p
	}
	chosen := &endpoints[p.Index]
	p.inFlight, p.pendingPromptTokens, p.cachedTokens = chosen.InFlight, chosen.PendingPromptTokens, chosen.CachedTokens
	return entries[p.Index], p
}

// maxPendingPromptTokens returns how many prompt tokens may be waiting at the upstream
// that the request is sent to; 0: unbounded. The bound holds however long the
// request has waited: for a model in higher demand than its upstreams can serve,
// requests that were sent anyway once their time ran short delayed those that
// could still be answered in time, so that all responses were overdue instead of
// only the excess being refused. It is lifted for a request that an upstream has
// lost and that has waited for part of its objective, since its caller has been
// waiting for a response already.
func (q *request) maxPendingPromptTokens(now time.Time, lostByUpstream bool) int {
	if q.service.Engine == nil {
		return 0
	}
	if lostByUpstream && now.Sub(q.start) >= q.limitHold(time.Duration(float64(q.route.Objective)*minWaitShare)) {
		return 0
	}
	return balance.PendingPromptLimit(q.route.PauseBound, q.service.Engine.EventTokens)
}

const (
	// holdShare is the share of a request's objective for which the request may be
	// held without being offered to an upstream, and still be refused.
	holdShare = 1.0 / 8
	// minHold is the hold that is worthwhile even for the shortest objectives: a plain
	// service frees a slot in this time.
	minHold = 10 * time.Millisecond
	// maxAdapterWait is how long a request waits for an adapter: a load takes 10 to
	// 30 ms, and the request for it a few more.
	maxAdapterWait = 500 * time.Millisecond
	// modelWaitShare is the share of its objective for which a request waits for a
	// model that is resident at no upstream. After that the response would be overdue.
	modelWaitShare = 0.6
)

// wait waits until an upstream may accept the request. It responds to the caller
// and returns false when no upstream will in time.
func (q *request) wait(p selection) bool {
	if p.overLimit != nil {
		q.refuseOverLimit(p.overLimit)
		return false
	}
	if p.Reason == balance.NoModel {
		return q.awaitModel(p)
	}
	if q.triedAll(p) {
		return q.giveUpUnlessStarted(p.Reason)
	}
	until := q.start.Add(q.maxHold(p.Reason))
	if p.Reason == balance.NoAdapter && p.adapterUpstream != nil {
		return q.loadAdapter(p)
	}
	now := q.g.deps.Now()
	if p.Reason == balance.AllBackoff && !q.started && (p.unservable || now.Add(p.MinBackoff).After(until)) {
		return q.giveUpBackoff(p.MinBackoff)
	}
	if p.unservable && p.Reason != balance.AllBackoff && !q.started {
		q.retryScheduled = true
		q.endUnlessAnswered(p.Reason.String(), p.MinBackoff)
		return false
	}
	if !now.Before(until) {
		return q.giveUp(p.Reason)
	}
	ctx, cancel := context.WithDeadline(q.ctx, until)
	defer cancel()
	q.beginHold(cancel)
	defer q.endHold()
	if p.MinBackoff > 0 {
		defer time.AfterFunc(p.MinBackoff, q.g.deps.Fleet.NotifyChanged).Stop()
	}
	defer q.cancelWithHoldLimit(cancel)()
	q.logWait(p, until.Sub(now))
	changed := q.g.deps.Fleet.Changed()
	if e, _ := q.pick(); e != nil {
		return true
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return q.chooseAgain() || q.giveUp(p.Reason)
	}
}

// logWait logs why the request waits, once per reason.
func (q *request) logWait(p selection, maxWait time.Duration) {
	if q.loggedReason == p.Reason {
		return
	}
	q.loggedReason = p.Reason
	q.g.deps.Log.Emit(event.RequestQueued, q.id(), q.routeName(), q.modelName(), zap.Stringer("why", p.Reason), zap.Int("among", p.candidates),
		zap.Int64("for_ms", maxWait.Milliseconds()))
}

// modelPollInterval is how often a request that waits for a model checks for it
// without a change of residency: an excluded upstream may be available again.
const modelPollInterval = 200 * time.Millisecond

// awaitModel waits until the request's model is resident at an upstream. It uses what
// this host knows: the coordinator publishes which models are resident and which
// are loading, and asking it upon each change would cause a call for each request
// that ends on any host.
func (q *request) awaitModel(p selection) bool {
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	defer q.cancelWithHoldLimit(cancel)()
	q.beginHold(cancel)
	defer q.endHold()
	for {
		changed := q.g.deps.Fleet.ResidencyChanged()
		if e, p := q.pick(); e != nil || p.Reason.CloserToFound(balance.NoModel) { // as choose takes this host's word
			return true
		}
		until, tooLate := q.modelWaitUntil()
		now := q.g.deps.Now()
		if tooLate || !now.Before(until) {
			return q.giveUpModel(now)
		}
		q.logWait(p, until.Sub(now))
		q.g.deps.Coordinator.RecordDemand(q.service.Name, &q.info, q.cost.OutputTokens, q.route.Objective, q.urgency(), true)
		pollCtx, cancel := context.WithTimeout(ctx, min(modelPollInterval, until.Sub(now)))
		select {
		case <-changed:
		case <-pollCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return q.chooseAgain() || q.giveUp(balance.NoModel)
		}
	}
}

// loadingSlack is how much later than expected a model may become resident: the
// model evicted for it finishes its streams first.
const loadingSlack = 2 * time.Second

// modelWaitUntil returns until when the request waits for a model that is resident at
// no upstream: until the model is expected, if it is loading, else for as long as
// the response could still be in time. tooLate reports that the model is expected
// only after the request's time, so that waiting is pointless.
func (q *request) modelWaitUntil() (until time.Time, tooLate bool) {
	inTime := q.start.Add(q.maxHold(balance.NoModel))
	at, loading := q.g.deps.Fleet.ExpectedReady(q.service.Name, q.needs.Model)
	if !loading || q.started || q.g.deps.Draining() {
		return inTime, false
	}
	latest := q.start.Add(time.Duration(float64(q.deadline.Sub(q.start)) * replica.MaxWaitShare))
	if at.After(latest) {
		return inTime, true
	}
	if until = at.Add(loadingSlack); until.After(latest) {
		until = latest
	}
	return until, false
}

// giveUpModel responds to a request whose model will not be resident in time. If the
// model is loading, the caller is told to retry when it is expected. It returns false.
func (q *request) giveUpModel(now time.Time) bool {
	at, loading := q.g.deps.Fleet.ExpectedReady(q.service.Name, q.needs.Model)
	if after := at.Sub(now); loading && after > 0 && q.deliverFailed == nil && q.r.Context().Err() == nil {
		q.endUnserved(http.StatusBadGateway, balance.NoModel.String(), after)
		return false
	}
	return q.giveUp(balance.NoModel)
}

// maxHold returns how long the request may wait for the reason to pass. A request
// whose response has started cannot be refused, and giving up would cut it off.
func (q *request) maxHold(r balance.Reason) time.Duration {
	if q.started {
		return q.deadline.Sub(q.start)
	}
	wait := max(time.Duration(float64(q.route.Objective)*holdShare), minHold)
	if r == balance.AllPrefilling || r == balance.AllBackoff {
		return q.maxPermitWait()
	}
	if r == balance.NoModel && !q.g.deps.Draining() { // otherwise the response might not finish before the process ends
		wait = max(wait, time.Duration(float64(q.route.Objective)*modelWaitShare))
	}
	return wait
}

// loadAdapter has the adapter loaded at the upstream that the request would go to. It
// responds to the caller and returns false when the request is given up.
func (q *request) loadAdapter(p selection) bool {
	d := &q.g.deps
	if q.adapterRequests++; q.adapterRequests > maxAdapterRequests {
		return q.giveUpUnlessStarted(p.Reason)
	}
	ctx, cancel := context.WithTimeout(q.ctx, maxAdapterWait)
	defer cancel()
	q.beginHold(cancel)
	defer q.endHold()
	d.Log.Emit(event.AdapterRequested, q.id(), zap.String(event.FieldPeer, p.adapterUpstream.ID()),
		zap.String("model", q.needs.Model), zap.String("adapter", q.needs.Adapter))
	err := d.Coordinator.LoadAdapter(ctx, p.adapterUpstream.ID(), q.needs.Model, q.needs.Adapter)
	if err != nil {
		d.Log.Emit(event.RequestQueued, q.id(), zap.String("why", "adapter"), zap.Error(err))
		return q.chooseAgain() || q.giveUpUnlessStarted(p.Reason)
	}
	return true
}

// maxAdapterRequests is how often one request asks for its adapter to be loaded.
const maxAdapterRequests = 2

// giveUpBackoff responds to a request whose upstreams all asked for a backoff longer
// than the request may wait. The caller may retry when one of them accepts requests
// again. It returns false.
func (q *request) giveUpBackoff(after time.Duration) bool {
	if q.deliverFailed != nil || q.r.Context().Err() != nil {
		return q.giveUp(balance.AllBackoff)
	}
	q.g.deps.Metrics.Count(metrics.BackedOff, 1)
	q.endUnserved(http.StatusBadGateway, balance.AllBackoff.String(), max(after, stopRetry))
	return false
}

// giveUp responds to a request that no upstream will accept in time. It returns false:
// the request does not wait any longer.
func (q *request) giveUp(r balance.Reason) bool {
	q.endUnlessAnswered(r.String(), retryDelay(r))
	return false
}
