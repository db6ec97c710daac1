// Package permits decides for all hosts, while its host is the acting coordinator, where
// and when each request for a model is dispatched. The part of every host is the link.
//
// Memory grows with the requests that wait or are under way and with the upstreams that
// have some. A decision grows with the upstreams that have the model, and how many waiting
// requests an event tries is bounded by package queue; neither grows with the hosts or
// models.
//
// The mutex of Permits guards everything here, with the limits, rooms and backoffs of
// the upstreams, since each decision depends on all of them. The mutexes of the reports,
// the accounts and the speeds are taken under it, one at a time, and none of those parts
// calls back.
package permits

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/prefill"
	"peridotpier.example/core/speed"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/permits/queue"
	"peridotpier.example/node/coordinator/reports"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/metrics"
)

// Deps are the dependencies of Permits.
type Deps struct {
	Fleet    *fleet.Fleet
	Log      *event.Log
	Reports  *reports.Aggregate
	Accounts *accounts.Teams
	Speeds   *demand.Speeds
	// Engine returns the engine of a service's upstreams; nil: a plain service, or an
	// unknown one.
	Engine func(service string) *deploy.Engine
	Config *follow.ActiveConfig // for the weights of teams; nil: there are no teams
	// Metrics receives gauges and counters of those who wait; nil: a separate set is made.
	Metrics *metrics.Set
	// RoundTrip returns the round trip between two data centres; 0: not known. nil: it is
	// known for none.
	RoundTrip func(from, to string) time.Duration
	Now       func() time.Time
	// Rand returns numbers in [0, 1) for the picks; nil: those of math/rand.
	Rand func() float64
	// AfterFunc calls f once after a time; nil: time.AfterFunc.
	AfterFunc func(d time.Duration, f func())
}

// Permits decides for all hosts where and when each request for a model is dispatched.
//
// Hosts that decide on their own see what the others have sent a fraction of a second
// late, and send to the same upstream at once; its streams then stall while it reads
// all those prompts. A single place that knows every dispatch can queue each request
// until an upstream has read the prompts that it was given, and grant it at the first
// upstream that is done, in order of urgency.
type Permits struct {
	deps Deps

	mu          sync.Mutex
	streams     map[*Stream]struct{}
	granted     map[requestKey]*request
	grants      map[string]*upstreamGrants // by upstream ID
	waiting     waitingRequests
	large       largePrompts
	suspects    map[string]bool    // upstreams that several hosts exclude, as of the last request or maintenance
	unreachable map[string]refusal // upstreams at whose address nothing listened
	limits      upstreamLimits
	rooms       rooms
	backoffs    backoffs
	meanStated  map[string]meanStated // mean slowdown that the upstreams of a service state
	unlikeAt    map[string]time.Time  // when an upstream of a service last differed in speed from the others
	teams       teamWaits
	wakeAt      map[*fleet.Entry]wake // when the requests that wait for an upstream are tried again
	pipelines   pipelines

	endpoints []balance.Endpoint // buffer of one pick; reused, since a pick may cover hundreds
}

// upstreamGrants is the load that was granted at one upstream.
type upstreamGrants struct {
	load          fleet.Load
	cache         fleet.PromptCache
	newestReading *request // the newest request whose prompt is being read there; nil: none
	pipeline      prefill.Pipeline
}

// requestKey identifies a request by its stream and the number that its host gave it.
type requestKey struct {
	from *Stream
	id   uint64
}

// request is a request for a permit, granted or waiting.
type request struct {
	key           requestKey
	item          *queue.Item[*request] // while it waits
	passedOver    float64               // work of others that were granted where it did not fit
	event         *coordpb.TurnEvent
	needs         fleet.Request
	excluded      map[string]bool      // upstreams that its host has tried for it or excludes
	withIdleConn  map[string]bool      // upstreams to which its host has an idle connection
	hostBackoffs  map[string]time.Time // until when upstreams asked the request's host to back off; nil: none did
	askedAt       time.Time
	upstream      string       // where the request was granted; "": it waits
	entry         *fleet.Entry // its process there
	slowdown      float64      // that the upstream stated on the response; 0: none
	readingPrompt bool         // whether the first event of its response is still to come
	solePrompt    bool         // whether the upstream read no other prompt at the same time
	soleCall      bool         // whether the upstream had a free slot when the request was granted
	grantedAt     time.Time
	firstAt       time.Time // when the first event of its response arrived
	waitReason    balance.Reason
	room          *backpressure.Room // account of the brittle upstream that it counts in; nil: none
	fragility     backpressure.Fragility
	send          backpressure.Send
	promptID      uint64        // in the pipeline of its upstream
	perToken      time.Duration // learnt time of the prefill of one of its prompt's tokens
	complete      bool          // whether its response was complete; set with its end
	isProbe       bool          // whether it was granted in the slow start after a backoff, so that its response is awaited
}

// New returns Permits without hosts.
func New(d Deps) *Permits {
	p := &Permits{deps: d, streams: map[*Stream]struct{}{}, granted: map[requestKey]*request{}, grants: map[string]*upstreamGrants{}, unreachable: map[string]refusal{}, backoffs: backoffs{}, wakeAt: map[*fleet.Entry]wake{}, unlikeAt: map[string]time.Time{}, meanStated: map[string]meanStated{}, waiting: newWaitingRequests(), large: newLargePrompts(), teams: newTeamWaits()}
	if p.deps.Metrics == nil {
		p.deps.Metrics = metrics.New()
	}
	if p.deps.Rand == nil {
		p.deps.Rand = rand.Float64
	}
	if p.deps.AfterFunc == nil {
		p.deps.AfterFunc = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	p.limits = newUpstreamLimits(&p.deps)
	p.pipelines = newPipelines(&p.deps)
	p.rooms = newRooms(&p.deps, &p.limits)
	p.publish()
	return p
}

// Reset begins a term: counts of an earlier one are outdated.
func (p *Permits) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.reset()
	p.rooms.reset()
	p.askTeamsAgain()
}

// Handle processes one event of a host and sends the answers that result.
func (p *Permits) Handle(from *Stream, e *coordpb.TurnEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := requestKey{from, e.Id}
	p.recordSlowdown(p.granted[k], e)
	switch e.Kind {
	case coordpb.TurnEvent_ASK:
		p.request(k, e)
	case coordpb.TurnEvent_FIRST:
		p.promptRead(k, e.Success)
	case coordpb.TurnEvent_END:
		if !p.teams.cancel(k, &p.deps) {
			p.refundUncharged(k, e)
			p.endInRoom(p.granted[k], e)
			p.learnCall(p.granted[k], e)
			p.noteCompletion(p.granted[k], e)
			p.end(k)
		}
	case coordpb.TurnEvent_ABSENT:
		p.upstreamUnreachable(k)
	case coordpb.TurnEvent_RETRACT:
		maps.DeleteFunc(p.unreachable, func(_ string, r refusal) bool { return r.by == from })
	case coordpb.TurnEvent_CHARGE:
		if p.chargeTeam(k, e, p.deps.Now()) {
			from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_GRANTED})
		}
	}
}

// RemoveStream drops all requests of a host whose stream has ended.
func (p *Permits) RemoveStream(from *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, from)
	p.teams.removeStream(from, &p.deps)
	for k, g := range p.granted {
		if k.from == from {
			p.rooms.abandoned(g, p.deps.Now())
			p.release(g)
		}
	}
	p.waiting.removeStream(from, p.deps.Now())
}

func (p *Permits) request(k requestKey, e *coordpb.TurnEvent) {
	now := p.deps.Now()
	if p.chargeTeam(k, e, now) {
		p.place(k, e, now)
	}
}

// place grants a request whose team was charged, or lets it wait for an upstream.
func (p *Permits) place(k requestKey, e *coordpb.TurnEvent, now time.Time) {
	p.suspects = p.deps.Reports.Suspects(now)
	w := &request{key: k, event: e, needs: fleet.Request{Model: e.Model, Adapter: e.Adapter}, askedAt: now, excluded: upstreamSet(e.Tried), withIdleConn: upstreamSet(e.Warm)}
	p.backoffs.record(w, now)
	for _, part := range e.Parts {
		w.needs.PromptParts = append(w.needs.PromptParts, fleet.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	p.reweigh()
	w.waitReason = p.tryAll(w, now)
	if !mayQueue(w.waitReason) {
		p.chargeGranted(w, now)
		return
	}
	if !p.refuseUnservable(w, now) {
		p.enqueue(w, now)
		p.wakeAhead(w, now)
	}
}

func upstreamSet(ids []string) map[string]bool {
	out := make(map[string]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// tryAll tries to grant a request at any upstream of its service. It answers the host
// unless the request has to wait.
func (p *Permits) tryAll(w *request, now time.Time) balance.Reason {
	entries := p.deps.Fleet.EntriesWithModel(w.event.Service, w.needs.Model)
	all := len(entries)
	entries = p.offered(w, entries)
	d := p.pick(w, entries, now)
	if len(entries) < all && balance.AllPrefilling.CloserToFound(d.Reason) {
		d.Reason = balance.AllPrefilling // at those that are kept for others
	}
	if d.Reason == balance.NoUpstream && p.deps.Fleet.HasUsableWithoutModel(w.event.Service, w.needs.Model, func(e *fleet.Entry) bool { return p.isExcluded(e, w, now) }) {
		d.Reason = balance.NoModel
	}
	if d.Index < 0 && !mayQueue(d.Reason) {
		a := &coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_NONE, Reason: uint32(d.Reason)}
		if d.AdapterTarget >= 0 {
			a.Home = entries[d.AdapterTarget].ID()
		}
		w.key.from.send(a)
	}
	return d.Reason
}

// pick grants a request at the best of the given upstreams, if one can take it now.
func (p *Permits) pick(w *request, entries []*fleet.Entry, now time.Time) balance.Decision {
	w.perToken = p.pipelines.perToken(w)
	endpoints := p.endpoints[:0]
	for _, e := range entries {
		endpoints = append(endpoints, p.endpoint(e, w, now))
	}
	p.endpoints = endpoints
	r := balance.Request{Model: w.needs.Model, Adapter: w.needs.Adapter, PromptTokens: int(w.event.Prompt), OutputTokens: int(w.event.Output), MaxPendingPromptTokens: int(w.event.Reading), Usual: p.usualTimes(w, now),
		Waited: now.Sub(w.askedAt), InTime: wire.Milliseconds(w.event.InTimeMs)}
	if e := p.deps.Engine(w.event.Service); e != nil {
		r.CacheTokens = e.CacheTokens
	}
	d := balance.Pick(endpoints, &r, p.deps.Rand)
	if d.Index >= 0 {
		p.grant(w, entries[d.Index], &endpoints[d.Index], d, now)
	}
	return d
}

// endpoint describes an upstream by what was granted there, in place of what hosts
// report. The load of a host that has no stream here counts as reported.
func (p *Permits) endpoint(e *fleet.Entry, w *request, now time.Time) balance.Endpoint {
	out := e.Endpoint(&w.needs, now)
	p.noteSpeed(w.event.Service, out.Slowdown, now)
	if p.deps.Fleet.OwnEvidenceDoubted() { // this host may reach none of them, while the request's host does
		out.Down, out.HalfOpen, out.ProbeInFlight = false, false, false
	}
	out.SameDataCentre, out.Tried, out.HasIdleConn = e.DataCentre() == w.event.DataCentre, w.excluded[e.ID()], w.withIdleConn[e.ID()]
	if !out.SameDataCentre && p.deps.RoundTrip != nil {
		out.RemoteMs = p.deps.RoundTrip(w.event.DataCentre, e.DataCentre()).Seconds() * 1000
	}
	out.Down = out.Down || p.isExcluded(e, w, now)
	out.Backoff = max(p.limits.wait(e, now), p.backoffs.wait(e.ID()), w.hostBackoffs[e.ID()].Sub(now))
	u := p.grants[e.ID()]
	if u == nil {
		out.PendingPromptTokens = 0
		return p.withRoom(e, out, 0, now)
	}
	out.InFlightTokens, out.PendingPromptTokens = max(u.load.Tokens, out.InFlightTokens), u.load.PendingPromptTokens
	out = p.withRoom(e, out, u.load.Requests, now)
	if out.ModelResident {
		out.CachedTokens = max(out.CachedTokens, u.cache.CachedTokens(&w.needs, now))
	}
	p.pipelines.describe(&out, u, w, now)
	return out
}

// isExcluded reports whether an upstream is passed over because of what hosts observed
// there, or because it had an attempt of this request.
func (p *Permits) isExcluded(e *fleet.Entry, w *request, now time.Time) bool {
	return w.excluded[e.ID()] || p.suspects[e.ID()] || now.Sub(p.unreachable[e.ID()].at) < unreachableFor
}

func (p *Permits) grant(w *request, e *fleet.Entry, at *balance.Endpoint, d balance.Decision, now time.Time) {
	w.upstream, w.entry, w.readingPrompt = e.ID(), e, true
	prompt := w.event.Prompt
	w.event.Prompt -= min(w.event.Prompt, uint32(at.CachedTokens)) // what is not cached is left to be read
	if w.event.Model != "" {
		p.deps.Speeds.WithModel(w.model(), func(m speed.Estimator) { m.AddPrompt(int(prompt), int(w.event.Prompt)) })
	}
	w.soleCall = at.InFlight < at.Slots
	p.granted[w.key] = w
	u := p.grants[w.upstream]
	if u == nil {
		u = &upstreamGrants{}
		p.grants[w.upstream] = u
	}
	w.grantedAt, w.solePrompt = now, u.load.PendingPromptTokens == 0
	if u.newestReading != nil {
		u.newestReading.solePrompt = false
	}
	u.newestReading = w
	within := p.limits.count(e, now)
	inRoom := p.rooms.count(w, e, at.InFlight, now)
	probe := p.backoffs.recordGrant(w) || inRoom
	u.cache.Record(&w.needs, now)
	u.load.Requests++
	u.load.Tokens += int(w.event.Prompt + w.event.Output)
	u.load.PendingPromptTokens += int(w.event.Prompt)
	cost := p.pipelines.grant(u, w, at, now)
	w.key.from.send(&coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_GRANTED, Upstream: w.upstream, LatePermille: cost.latePermille, AdvanceMs: cost.advanceMs,
		PredictedMs: uint32(d.PredictedWait.Milliseconds()), Load: uint32(at.InFlight), Waiting: uint32(at.PendingPromptTokens), Cached: uint32(at.CachedTokens), WithinLimit: within, WithinRoom: inRoom, Trial: probe})
}

// promptRead records that an upstream has read a request's prompt; succeeded says that the
// status of its response is that of a success.
func (p *Permits) promptRead(k requestKey, succeeded bool) {
	if g := p.granted[k]; g != nil && g.readingPrompt {
		g.firstAt = p.deps.Now()
		p.rooms.answered(g)
		p.backoffs.recordResponse(g, p.slotCount(g.upstream))
		p.learnPrompt(g, succeeded)
		p.finishPrompt(g)
		p.pipelines.firstEvent(p.grants[g.upstream], g)
		p.grantWaitingAt(g.upstream)
	}
}

// slotCount returns how many requests an upstream runs at a time; 0: unknown.
func (p *Permits) slotCount(upstream string) int {
	e, ok := p.deps.Fleet.Entry(upstream)
	if !ok {
		return 0
	}
	described, _ := e.Description()
	return described.Slots
}

// finishPrompt subtracts a request's prompt from what its upstream has to read.
func (p *Permits) finishPrompt(g *request) {
	if u := p.grants[g.upstream]; u != nil && g.readingPrompt {
		u.load.PendingPromptTokens -= int(g.event.Prompt)
		if u.newestReading == g {
			u.newestReading = nil
		}
	}
	g.readingPrompt = false
}

// release subtracts a request from its upstream's load.
func (p *Permits) release(g *request) {
	p.finishPrompt(g)
	p.backoffs.recordEnd(g)
	p.rooms.ended(g, p.deps.Now())
	if u := p.grants[g.upstream]; u != nil {
		u.load.Requests--
		p.pipelines.end(u, g, p.deps.Now())
		u.load.Tokens -= int(g.event.Prompt + g.event.Output)
	}
	delete(p.granted, g.key)
}

func (p *Permits) end(k requestKey) {
	if g := p.granted[k]; g != nil {
		if !g.firstAt.IsZero() && g.event.Output > 0 {
			took := p.deps.Now().Sub(g.firstAt)
			p.deps.Speeds.WithModel(g.model(), func(m speed.Estimator) { m.AddGeneration(int(g.event.Output), took) })
		}
		p.release(g)
		p.grantWaitingAt(g.upstream)
		return
	}
	if w := p.waiting.find(k); w != nil {
		p.waiting.remove(w, p.deps.Now())
	}
}

// unreachableFor is how long an upstream gets no permits after one host found nothing
// listening at its address. By then that host and others report that they exclude it. A
// refused connection mostly is a reply of the upstream's own machine; a host that finds
// that its own network path refuses them retracts what it reported.
const unreachableFor = 600 * time.Millisecond

// refusal records that nothing listened at an upstream's address.
type refusal struct {
	at time.Time
	by *Stream // of the host that found it
}

// upstreamUnreachable ends a request at whose upstream nothing listens. If the upstream
// were not recorded, each of the hosts would be sent there until it finds out itself.
func (p *Permits) upstreamUnreachable(k requestKey) {
	if g := p.granted[k]; g != nil {
		p.unreachable[g.upstream] = refusal{p.deps.Now(), k.from}
		if e, ok := p.deps.Fleet.Entry(g.upstream); ok {
			p.rooms.restart(e)
		}
		p.release(g)
	}
}

func (w *request) model() demand.Key {
	return demand.Key{Service: w.event.Service, Model: w.event.Model}
}

// isOverdue reports whether a response to the request could no longer begin in time.
func (w *request) isOverdue(now time.Time) bool {
	inTime := wire.Milliseconds(w.event.InTimeMs)
	if w.event.Model == "" {
		return now.Sub(w.askedAt) > time.Duration(float64(inTime)*plainCallShare)
	}
	return now.Sub(w.askedAt) > inTime-promptReadTime
}

// promptReadTime is about how long an upstream that reads no other prompt takes to read
// one.
const promptReadTime = 120 * time.Millisecond

// plainCallShare is the share of its objective that a call of a plain service may wait
// and still be answered in time: the remainder is for the call and its transfer.
const plainCallShare = 0.6

// Maintain tries all waiting requests again, since upstreams appear, recover and gain
// models without an event here, and drops the records of upstreams that were removed.
func (p *Permits) Maintain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Now()
	p.suspects = p.deps.Reports.Suspects(now)
	p.restartSuspects()
	p.large.expire(p.deps.Fleet)
	p.grantAllWaiting(now)
	p.logShares(now)
	p.serveTeams(now) // a limit may have been raised
	p.limits.expire()
	p.rooms.maintain(now)
	p.backoffs.expire(now)
	for id := range p.grants {
		if _, ok := p.deps.Fleet.Entry(id); !ok {
			delete(p.grants, id)
		}
	}
	maps.DeleteFunc(p.unreachable, func(_ string, r refusal) bool { return now.Sub(r.at) >= unreachableFor })
}
