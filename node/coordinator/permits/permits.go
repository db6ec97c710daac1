// Package permits decides for all hosts, while its host is the acting coordinator, where
// and when each request for a model is dispatched. The part of every host is the link.
//
// Memory grows with the requests that wait or are under way and with the upstreams that
// have some. A decision grows with the upstreams that have the model, and what an event
// sets off is bounded by maxWaitingScan; neither grows with the hosts or models.
//
// The mutex of Permits guards everything here, with the limits, rooms and backoffs of
// the upstreams, since each decision depends on all of them. The mutexes of the reports,
// the accounts and the speeds are taken under it, one at a time, and none of those parts
// calls back.
package permits

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/speed"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/reports"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
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
	// RoundTrip returns the round trip between two data centres; 0: not known. nil: it is
	// known for none.
	RoundTrip func(from, to string) time.Duration
	Now       func() time.Time
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
	waiting     []*request                 // ordered by priority, then by age
	suspects    map[string]bool            // upstreams that several hosts exclude, as of the last request or maintenance
	unreachable map[string]refusal         // upstreams at whose address nothing listened
	limits      upstreamLimits
	rooms       rooms
	backoffs    backoffs
	wakeAt      map[*fleet.Entry]time.Time // when the requests that wait for an upstream are tried again

	endpoints []balance.Endpoint // buffer of one pick; reused, since a pick may cover hundreds
}

// upstreamGrants is the load that was granted at one upstream.
type upstreamGrants struct {
	load          fleet.Load
	cache         fleet.PromptCache
	newestReading *request // the newest request whose prompt is being read there; nil: none
}

// requestKey identifies a request by its stream and the number that its host gave it.
type requestKey struct {
	from *Stream
	id   uint64
}

// request is a request for a permit, granted or waiting.
type request struct {
	key           requestKey
	event         *coordpb.TurnEvent
	needs         fleet.Request
	excluded      map[string]bool      // upstreams that its host has tried for it or excludes
	withIdleConn  map[string]bool      // upstreams to which its host has an idle connection
	hostBackoffs  map[string]time.Time // until when upstreams asked the request's host to back off; nil: none did
	askedAt       time.Time
	upstream      string // where the request was granted; "": it waits
	readingPrompt bool   // whether the first event of its response is still to come
	solePrompt    bool   // whether the upstream read no other prompt at the same time
	grantedAt     time.Time
	firstAt       time.Time // when the first event of its response arrived
	waitReason    balance.Reason
	room          *backpressure.Room // account of the brittle upstream that it counts in; nil: none
	fragility     backpressure.Fragility
	send          backpressure.Send
	isProbe       bool // whether it was granted in the slow start after a backoff, so that its response is awaited
}

// New returns Permits without hosts.
func New(d Deps) *Permits {
	p := &Permits{deps: d, streams: map[*Stream]struct{}{}, granted: map[requestKey]*request{}, grants: map[string]*upstreamGrants{}, unreachable: map[string]refusal{}, backoffs: backoffs{}, wakeAt: map[*fleet.Entry]time.Time{}}
	p.limits = newUpstreamLimits(&p.deps)
	p.rooms = newRooms(&p.deps, &p.limits)
	return p
}

// Reset begins a term: counts of an earlier one are outdated.
func (p *Permits) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.reset()
	p.rooms.reset()
}

// Handle processes one event of a host and sends the answers that result.
func (p *Permits) Handle(from *Stream, e *coordpb.TurnEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := requestKey{from, e.Id}
	switch e.Kind {
	case coordpb.TurnEvent_ASK:
		p.request(k, e)
	case coordpb.TurnEvent_FIRST:
		p.promptRead(k)
	case coordpb.TurnEvent_END:
		p.endInRoom(p.granted[k], e)
		p.end(k)
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
	for k, g := range p.granted {
		if k.from == from {
			p.rooms.abandoned(g, p.deps.Now())
			p.release(g)
		}
	}
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if w.key.from != from {
			kept = append(kept, w)
		}
	}
	p.waiting = kept
}

// chargeTeam charges a request to its team's limit and reports whether the limit allows
// it. If not, it answers the host.
func (p *Permits) chargeTeam(k requestKey, e *coordpb.TurnEvent, now time.Time) bool {
	if e.Team == "" {
		return true
	}
	wait, ok := p.deps.Accounts.Charge(e.Team, float64(e.Charge), now)
	if !ok {
		k.from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_OVER, WaitMs: uint32(wait.Milliseconds()) + 1})
	}
	return ok
}

func (p *Permits) request(k requestKey, e *coordpb.TurnEvent) {
	now := p.deps.Now()
	if !p.chargeTeam(k, e, now) {
		return
	}
	p.suspects = p.deps.Reports.Suspects(now)
	w := &request{key: k, event: e, needs: fleet.Request{Model: e.Model, Adapter: e.Adapter}, askedAt: now, excluded: upstreamSet(e.Tried), withIdleConn: upstreamSet(e.Warm)}
	p.backoffs.record(w, now)
	for _, part := range e.Parts {
		w.needs.PromptParts = append(w.needs.PromptParts, fleet.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	w.waitReason = p.tryAll(w, now)
	if !mayQueue(w.waitReason) || w.waitReason == balance.AllBackoff && p.refuseUnservable(w, now) {
		return
	}
	at := sort.Search(len(p.waiting), func(i int) bool { return p.waiting[i].event.Priority > e.Priority })
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[at+1:], p.waiting[at:])
	p.waiting[at] = w
	k.from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_QUEUED, Reason: uint32(w.waitReason)})
}

func upstreamSet(ids []string) map[string]bool {
	out := make(map[string]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// mayQueue reports whether a request that was not granted for this reason waits here
// until the reason has passed.
func mayQueue(r balance.Reason) bool {
	return r == balance.AllPrefilling || r == balance.AllFull || r == balance.AllBackoff
}

// tryAll tries to grant a request at any upstream of its service. It answers the host
// unless the request has to wait.
func (p *Permits) tryAll(w *request, now time.Time) balance.Reason {
	entries := p.deps.Fleet.EntriesWithModel(w.event.Service, w.needs.Model)
	d := p.pick(w, entries, now)
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
	endpoints := p.endpoints[:0]
	for _, e := range entries {
		endpoints = append(endpoints, p.endpoint(e, w, now))
	}
	p.endpoints = endpoints
	r := balance.Request{Model: w.needs.Model, Adapter: w.needs.Adapter, PromptTokens: int(w.event.Prompt), OutputTokens: int(w.event.Output), MaxPendingPromptTokens: int(w.event.Reading), ObjectiveLeft: wire.Milliseconds(w.event.InTimeMs)}
	if e := p.deps.Engine(w.event.Service); e != nil {
		r.CacheTokens = e.CacheTokens
	}
	d := balance.Pick(endpoints, &r, rand.Float64)
	if d.Index >= 0 {
		p.grant(w, entries[d.Index], &endpoints[d.Index], d, now)
	}
	return d
}

// endpoint describes an upstream by what was granted there, in place of what hosts
// report. The load of a host that has no stream here counts as reported.
func (p *Permits) endpoint(e *fleet.Entry, w *request, now time.Time) balance.Endpoint {
	out := e.Endpoint(&w.needs, now)
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
	return out
}

// isExcluded reports whether an upstream is passed over because of what hosts observed
// there, or because it had an attempt of this request.
func (p *Permits) isExcluded(e *fleet.Entry, w *request, now time.Time) bool {
	return w.excluded[e.ID()] || p.suspects[e.ID()] || now.Sub(p.unreachable[e.ID()].at) < unreachableFor
}

func (p *Permits) grant(w *request, e *fleet.Entry, at *balance.Endpoint, d balance.Decision, now time.Time) {
	w.upstream, w.readingPrompt = e.ID(), true
	prompt := w.event.Prompt
	w.event.Prompt -= min(w.event.Prompt, uint32(at.CachedTokens)) // what is not cached is left to be read
	if w.event.Model != "" {
		p.deps.Speeds.WithModel(w.model(), func(m speed.Estimator) { m.AddPrompt(int(prompt), int(w.event.Prompt)) })
	}
	w.grantedAt, w.solePrompt = now, at.PendingPromptTokens == 0
	p.granted[w.key] = w
	u := p.grants[w.upstream]
	if u == nil {
		u = &upstreamGrants{}
		p.grants[w.upstream] = u
	}
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
	w.key.from.send(&coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_GRANTED, Upstream: w.upstream,
		PredictedMs: uint32(d.PredictedWait.Milliseconds()), Load: uint32(at.InFlight), Waiting: uint32(at.PendingPromptTokens), Cached: uint32(at.CachedTokens), WithinLimit: within, WithinRoom: inRoom, Trial: probe})
}

// promptRead records that an upstream has read a request's prompt.
func (p *Permits) promptRead(k requestKey) {
	if g := p.granted[k]; g != nil && g.readingPrompt {
		g.firstAt = p.deps.Now()
		p.rooms.answered(g)
		p.backoffs.recordResponse(g, p.slotCount(g.upstream))
		if g.solePrompt && g.event.Model != "" {
			p.deps.Speeds.WithModel(g.model(), func(m speed.Estimator) { m.Read(int(g.event.Prompt), g.firstAt.Sub(g.grantedAt)) })
		}
		p.finishPrompt(g)
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
	for i, w := range p.waiting {
		if w.key == k {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
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

// maxWaitingScan bounds how many waiting requests are tried for one event.
const maxWaitingScan = 48

// grantWaitingAt grants waiting requests at one upstream, whose state has changed. The
// other upstreams are as they were when the requests were tried there.
func (p *Permits) grantWaitingAt(upstream string) {
	e, ok := p.deps.Fleet.Entry(upstream)
	if !ok {
		return
	}
	now := p.deps.Now()
	p.grantWaiting(now, func(w *request) bool {
		return w.event.Service == e.Service() && p.pick(w, []*fleet.Entry{e}, now).Index >= 0
	})
	if len(p.waiting) > 0 {
		p.wakeAfter(e, now, p.limits.wait(e, now))
	}
}

// grantWaiting removes those waiting requests for which try returns true. Overdue
// requests are tried after those that can still be answered in time.
func (p *Permits) grantWaiting(now time.Time, try func(*request) (done bool)) {
	tried := 0
	for _, overdue := range []bool{false, true} {
		for i, w := range p.waiting {
			if tried >= maxWaitingScan || w == nil || w.isOverdue(now) != overdue {
				continue
			}
			tried++
			if try(w) {
				p.waiting[i] = nil
			}
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *request) bool { return w == nil })
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
	p.grantWaiting(now, func(w *request) bool {
		w.waitReason = p.tryAll(w, now)
		return !mayQueue(w.waitReason)
	})
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
