package coordinator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/speed"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// turns decides for all hosts where each request for a model goes, and when.
//
// Hosts that decide by themselves see what the others have sent a fraction of
// a second late, and send to the same upstream at once; its streams then pause
// while it reads all those prompts. One place that knows every send can let
// each request wait until an upstream has read what it was given, and let it
// go to the first that is done, the most urgent first.
type turns struct {
	c *Coordinator

	mu      sync.Mutex
	streams map[*turnStream]struct{}
	granted map[turnKey]*turn
	places  map[string]*place    // by upstream
	waiting []*turn              // the most urgent first, then the oldest
	dark    map[string]bool      // upstreams that several hosts leave alone, as of the last question or sweep
	absent  map[string]time.Time // upstreams at whose address nothing listened, and when
	limits  limits
	rests   rests
	wakes   map[*fleet.Entry]time.Time // when what waits for an upstream is looked at next

	endpoints []balance.Endpoint // of one pick; kept, since each names hundreds
}

// place is what was granted at one upstream.
type place struct {
	load   fleet.Load
	cache  fleet.PromptCache
	newest *turn // of those whose prompts are being read there; nil: none
}

// turnKey names a request: the stream that it came on and the host's number.
type turnKey struct {
	from *turnStream
	id   uint64
}

// turn is one request.
type turn struct {
	key      turnKey
	event    *coordpb.TurnEvent
	ask      fleet.Request
	tried    map[string]bool
	warm     map[string]bool
	rests    map[string]time.Time // until when upstreams want nothing from the host; nil: none does
	since    time.Time
	upstream string // where it was sent; "": it waits
	reading  bool   // its first event has not come
	alone    bool   // its upstream had no other prompt to read beside it
	granted  time.Time
	first    time.Time // when its first event came
	waitsFor balance.Reason
	trial    bool // its upstream had asked a host for rest
}

func newTurns(c *Coordinator) *turns {
	return &turns{c: c, streams: map[*turnStream]struct{}{}, granted: map[turnKey]*turn{}, places: map[string]*place{}, absent: map[string]time.Time{}, limits: newLimits(c), rests: rests{}, wakes: map[*fleet.Entry]time.Time{}}
}

// begin starts a term. What an earlier one counted does not hold any more.
func (t *turns) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.begin()
}

// take enters one event of a host and sends what follows from it.
func (t *turns) take(from *turnStream, e *coordpb.TurnEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := turnKey{from, e.Id}
	switch e.Kind {
	case coordpb.TurnEvent_ASK:
		t.ask(k, e)
	case coordpb.TurnEvent_FIRST:
		t.first(k)
	case coordpb.TurnEvent_END:
		t.end(k)
	case coordpb.TurnEvent_ABSENT:
		t.absentAt(k)
	case coordpb.TurnEvent_CHARGE:
		if t.within(k, e, t.c.now()) {
			from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_GRANTED})
		}
	}
}

// leave forgets all requests of a host whose stream has ended.
func (t *turns) leave(from *turnStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.streams, from)
	for k, g := range t.granted {
		if k.from == from {
			t.release(g)
		}
	}
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if w.key.from != from {
			kept = append(kept, w)
		}
	}
	t.waiting = kept
}

// within charges a request to its team's limit. It answers the host when that
// does not allow it.
func (t *turns) within(k turnKey, e *coordpb.TurnEvent, now time.Time) bool {
	if e.Team == "" {
		return true
	}
	wait, ok := t.c.accounts.ask(e.Team, float64(e.Charge), now)
	if !ok {
		k.from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_OVER, WaitMs: uint32(wait.Milliseconds()) + 1})
	}
	return ok
}

func (t *turns) ask(k turnKey, e *coordpb.TurnEvent) {
	now := t.c.now()
	if !t.within(k, e, now) {
		return
	}
	t.dark = t.c.sums.suspects(now)
	w := &turn{key: k, event: e, ask: fleet.Request{Model: e.Model, Adapter: e.Adapter}, since: now, tried: setOf(e.Tried), warm: setOf(e.Warm)}
	t.rests.enter(w, now)
	for _, p := range e.Parts {
		w.ask.PromptParts = append(w.ask.PromptParts, fleet.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	w.waitsFor = t.try(w, now)
	if !waits(w.waitsFor) || w.waitsFor == balance.AllBackoff && t.inVain(w, now) {
		return
	}
	at := sort.Search(len(t.waiting), func(i int) bool { return t.waiting[i].event.Priority > e.Priority })
	t.waiting = append(t.waiting, nil)
	copy(t.waiting[at+1:], t.waiting[at:])
	t.waiting[at] = w
	k.from.send(&coordpb.TurnAnswer{Id: k.id, Kind: coordpb.TurnAnswer_QUEUED, Reason: uint32(w.waitsFor)})
}

// waits says whether a request that was not granted for a reason waits here
// until that has passed.
func waits(r balance.Reason) bool {
	return r == balance.AllPrefilling || r == balance.AllFull || r == balance.AllBackoff
}

// try looks for an upstream among all of the request's service. It answers the
// host unless the request waits.
func (t *turns) try(w *turn, now time.Time) balance.Reason {
	entries := t.c.deps.Fleet.EntriesWithModel(w.event.Service, w.ask.Model)
	d := t.pick(w, entries, now)
	if d.Reason == balance.NoUpstream && t.c.deps.Fleet.HasUsableWithoutModel(w.event.Service, w.ask.Model, func(e *fleet.Entry) bool { return t.leftAlone(e, w, now) }) {
		d.Reason = balance.NoModel
	}
	if d.Index < 0 && !waits(d.Reason) {
		a := &coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_NONE, Reason: uint32(d.Reason)}
		if d.AdapterTarget >= 0 {
			a.Home = entries[d.AdapterTarget].ID()
		}
		w.key.from.send(a)
	}
	return d.Reason
}

// pick grants the request the best of some upstreams, if one can take it now.
func (t *turns) pick(w *turn, entries []*fleet.Entry, now time.Time) balance.Decision {
	endpoints := t.endpoints[:0]
	for _, e := range entries {
		endpoints = append(endpoints, t.endpoint(e, w, now))
	}
	t.endpoints = endpoints
	r := balance.Request{Model: w.ask.Model, Adapter: w.ask.Adapter, PromptTokens: int(w.event.Prompt), OutputTokens: int(w.event.Output), MaxPendingPromptTokens: int(w.event.Reading)}
	if e := t.c.engine(w.event.Service); e != nil {
		r.CacheTokens = e.CacheTokens
	}
	d := balance.Pick(endpoints, &r, rand.Float64)
	if d.Index >= 0 {
		t.grant(w, entries[d.Index], &endpoints[d.Index], d, now)
	}
	return d
}

// endpoint is the upstream with what was granted there, in place of what hosts
// report. A host that has no stream here counts by its report.
func (t *turns) endpoint(e *fleet.Entry, w *turn, now time.Time) balance.Endpoint {
	out := e.Endpoint(&w.ask, now)
	out.SameDataCentre, out.Tried, out.HasIdleConn = e.DataCentre() == w.event.DataCentre, w.tried[e.ID()], w.warm[e.ID()]
	out.Down = out.Down || t.leftAlone(e, w, now)
	out.Backoff = max(t.limits.wait(e, now), t.rests.wait(e.ID()), w.rests[e.ID()].Sub(now))
	p := t.places[e.ID()]
	if p == nil {
		out.PendingPromptTokens = 0
		return out
	}
	out.InFlight, out.InFlightTokens, out.PendingPromptTokens = max(p.load.Requests, out.InFlight), max(p.load.Tokens, out.InFlightTokens), p.load.PendingPromptTokens
	if out.ModelResident {
		out.CachedTokens = max(out.CachedTokens, p.cache.CachedTokens(&w.ask, now))
	}
	return out
}

// leftAlone says whether an upstream is passed over for what hosts found there, or
// for having had an attempt of the request.
func (t *turns) leftAlone(e *fleet.Entry, w *turn, now time.Time) bool {
	return w.tried[e.ID()] || t.dark[e.ID()] || now.Sub(t.absent[e.ID()]) < absentFor
}

func (t *turns) grant(w *turn, e *fleet.Entry, at *balance.Endpoint, d balance.Decision, now time.Time) {
	w.upstream, w.reading = e.ID(), true
	prompt := w.event.Prompt
	w.event.Prompt -= min(w.event.Prompt, uint32(at.CachedTokens)) // the rest is what there is to read
	if w.event.Model != "" {
		t.c.speeds.with(w.model(), func(m speed.Estimator) { m.AddPrompt(int(prompt), int(w.event.Prompt)) })
	}
	w.granted, w.alone = now, at.PendingPromptTokens == 0
	t.granted[w.key] = w
	p := t.places[w.upstream]
	if p == nil {
		p = &place{}
		t.places[w.upstream] = p
	}
	if p.newest != nil {
		p.newest.alone = false
	}
	p.newest = w
	within := t.limits.take(e, now)
	trial := t.rests.granted(w)
	p.cache.Record(&w.ask, now)
	p.load.Requests++
	p.load.Tokens += int(w.event.Prompt + w.event.Output)
	p.load.PendingPromptTokens += int(w.event.Prompt)
	w.key.from.send(&coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_GRANTED, Upstream: w.upstream,
		PredictedMs: uint32(d.PredictedWait.Milliseconds()), Load: uint32(at.InFlight), Waiting: uint32(at.PendingPromptTokens), Cached: uint32(at.CachedTokens), WithinLimit: within, Trial: trial})
}

// first notes that an upstream has read a request's prompt.
func (t *turns) first(k turnKey) {
	if g := t.granted[k]; g != nil && g.reading {
		g.first = t.c.now()
		t.rests.answered(g, t.slots(g.upstream))
		if g.alone && g.event.Model != "" {
			t.c.speeds.with(g.model(), func(m speed.Estimator) { m.Read(int(g.event.Prompt), g.first.Sub(g.granted)) })
		}
		t.read(g)
		t.nextAt(g.upstream)
	}
}

// slots is how many requests an upstream runs at a time; 0: not known.
func (t *turns) slots(upstream string) int {
	e, ok := t.c.deps.Fleet.Entry(upstream)
	if !ok {
		return 0
	}
	described, _ := e.Description()
	return described.Slots
}

// read takes a request's prompt out of what its upstream has to read.
func (t *turns) read(g *turn) {
	if p := t.places[g.upstream]; p != nil && g.reading {
		p.load.PendingPromptTokens -= int(g.event.Prompt)
		if p.newest == g {
			p.newest = nil
		}
	}
	g.reading = false
}

// release takes a request out of its upstream's load.
func (t *turns) release(g *turn) {
	t.read(g)
	t.rests.ended(g)
	if p := t.places[g.upstream]; p != nil {
		p.load.Requests--
		p.load.Tokens -= int(g.event.Prompt + g.event.Output)
	}
	delete(t.granted, g.key)
}

func (t *turns) end(k turnKey) {
	if g := t.granted[k]; g != nil {
		if !g.first.IsZero() && g.event.Output > 0 {
			took := t.c.now().Sub(g.first)
			t.c.speeds.with(g.model(), func(m speed.Estimator) { m.AddGeneration(int(g.event.Output), took) })
		}
		t.release(g)
		t.nextAt(g.upstream)
		return
	}
	for i, w := range t.waiting {
		if w.key == k {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
}

// absentFor is how long an upstream gets no turns after one host found nothing
// listening at its address. By then that host and others tell in their reports
// that they leave it alone. A refused connection is the word of the upstream's
// own machine: unlike silence, it does not depend on the way there.
const absentFor = 600 * time.Millisecond

// absentAt ends a request whose upstream is not there. Without it each of the
// hosts would be sent there until it has found out by itself.
func (t *turns) absentAt(k turnKey) {
	if g := t.granted[k]; g != nil {
		t.absent[g.upstream] = t.c.now()
		t.release(g)
	}
}

// nextMost bounds how many waiting requests are looked at for one event.
const nextMost = 48

// nextAt lets go what can go to one upstream, where something has ended. The
// others are as they were when what waits was tried there.
func (t *turns) nextAt(upstream string) {
	e, ok := t.c.deps.Fleet.Entry(upstream)
	if !ok {
		return
	}
	now := t.c.now()
	t.next(now, func(w *turn) bool {
		return w.event.Service == e.Service() && t.pick(w, []*fleet.Entry{e}, now).Index >= 0
	})
	if len(t.waiting) > 0 {
		t.wake(e, now, t.limits.wait(e, now))
	}
}

// next lets go what goes by the word of try. Requests whose answers would come
// late in any case let those pass that can still be in time.
func (t *turns) next(now time.Time, try func(*turn) (gone bool)) {
	looked := 0
	for _, late := range []bool{false, true} {
		for i, w := range t.waiting {
			if looked >= nextMost || w == nil || w.late(now) != late {
				continue
			}
			looked++
			if try(w) {
				t.waiting[i] = nil
			}
		}
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(w *turn) bool { return w == nil })
}

func (w *turn) model() modelKey { return modelKey{w.event.Service, w.event.Model} }

// late says that an answer to the request would not begin in time any more.
func (w *turn) late(now time.Time) bool {
	inTime := milliseconds(w.event.InTimeMs)
	if w.event.Model == "" {
		return now.Sub(w.since) > time.Duration(float64(inTime)*callShare)
	}
	return now.Sub(w.since) > inTime-startTime
}

// startTime is about how long a prompt takes to be read on an upstream that
// reads nothing else.
const startTime = 120 * time.Millisecond

// callShare is the part of its objective for which a call of a plain service may
// wait and be answered in time: the rest is for the call and its way.
const callShare = 0.6

// sweep tries what waits again: upstreams come, recover, and gain models
// without a word here. It forgets upstreams that are gone.
func (t *turns) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.c.now()
	t.dark = t.c.sums.suspects(now)
	t.next(now, func(w *turn) bool {
		w.waitsFor = t.try(w, now)
		return !waits(w.waitsFor)
	})
	t.limits.forget()
	t.rests.forget(now)
	for id := range t.places {
		if _, ok := t.c.deps.Fleet.Entry(id); !ok {
			delete(t.places, id)
		}
	}
	maps.DeleteFunc(t.absent, func(_ string, at time.Time) bool { return now.Sub(at) >= absentFor })
}
