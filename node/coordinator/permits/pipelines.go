package permits

import (
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/prefill"
	"peridotpier.example/core/speed"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// pipelines keeps what is learnt of the engines' prompts and streams, by service. The
// pipeline of an engine is part of its upstreamGrants. It is guarded by the mutex of
// permits.
type pipelines struct {
	deps     *Deps
	services map[string]*prefill.Service
	lastID   uint64
}

func newPipelines(d *Deps) pipelines { return pipelines{d, map[string]*prefill.Service{}, 0} }

// service returns what was learnt of a service's engines.
func (l *pipelines) service(name string) *prefill.Service {
	s := l.services[name]
	if s == nil {
		s = &prefill.Service{}
		l.services[name] = s
	}
	s.EventTokens = 1
	if e := l.deps.Engine(name); e != nil {
		s.EventTokens = e.EventTokens
	}
	return s
}

// perToken returns the learnt time of the prefill of one token of the request's prompt.
func (l *pipelines) perToken(w *request) (out time.Duration) {
	if w.event.Model == "" {
		return 0
	}
	l.deps.Speeds.WithModel(w.model(), func(m speed.Estimator) {
		out = time.Duration(m.PrefillMsPerToken() * float64(time.Millisecond))
	})
	return out
}

// readTime predicts the prefill of so many of the request's tokens at an upstream.
func readTime(w *request, tokens int, at *balance.Endpoint) time.Duration {
	return time.Duration(float64(tokens) * float64(w.perToken) * prefill.Multiple(at.Slowdown))
}

// pauseBound returns the longest pause of the request's response; 0: it has no bound.
func (w *request) pauseBound() time.Duration { return wire.Milliseconds(w.event.PauseBoundMs) }

// describe adds to an endpoint what the request's prompt costs the streams there, and
// leaves out prompts that will have been read when the request arrives.
func (l *pipelines) describe(out *balance.Endpoint, u *upstreamGrants, w *request, now time.Time) {
	if w.event.Model == "" {
		return
	}
	s := l.service(w.event.Service)
	read := readTime(w, max(int(w.event.Prompt)-out.CachedTokens, 0), out)
	late := u.pipeline.Late(read, s, out.Slowdown, now)
	answer := time.Duration(w.event.Output) * s.Step()
	out.LateStreams = late + u.pipeline.Exposure(answer, w.pauseBound(), now)
	if w.mayPrecede() && out.PendingPromptTokens > 0 {
		out.PendingPromptTokens -= u.pipeline.Ahead(read, s, out.Slowdown, now).Tokens
	}
}

// mayPrecede reports whether the request may be granted before an earlier prompt's first
// event is reported: its host bounds the prompts that wait at an upstream, by the bound of
// its response's pauses.
func (w *request) mayPrecede() bool { return w.event.Reading > 0 && w.pauseBound() > 0 }

// promptCost is what a granted prompt was expected to do.
type promptCost struct{ latePermille, advanceMs uint32 }

// grant records a granted prompt, of which w.event.Prompt tokens need prefill.
func (l *pipelines) grant(u *upstreamGrants, w *request, at *balance.Endpoint, now time.Time) (c promptCost) {
	if w.event.Model == "" {
		return c
	}
	s := l.service(w.event.Service)
	read := readTime(w, int(w.event.Prompt), at)
	c.latePermille = uint32(1000 * u.pipeline.Late(read, s, at.Slowdown, now))
	if w.mayPrecede() {
		c.advanceMs = uint32(u.pipeline.Ahead(read, s, at.Slowdown, now).Advance.Milliseconds())
	}
	l.deps.Metrics.Count(metrics.LateStreamsExpected, int64(c.latePermille))
	if c.advanceMs > 0 {
		l.deps.Metrics.Count(metrics.PermitsAhead, 1)
	}
	l.lastID++
	w.promptID = l.lastID
	u.pipeline.Grant(prefill.Prompt{
		ID: w.promptID, Tokens: int(w.event.Prompt), Read: read, Bound: w.pauseBound(),
		Answer: time.Duration(w.event.Output) * s.Step(), LateAt: w.askedAt.Add(wire.Milliseconds(w.event.InTimeMs)),
	}, s, now)
	return c
}

// firstEvent records the first event of a granted request's answer.
func (l *pipelines) firstEvent(u *upstreamGrants, g *request) {
	if u != nil && g.event.Model != "" {
		u.pipeline.FirstEvent(g.promptID, l.service(g.event.Service), g.firstAt)
	}
}

// end records the end of a granted request.
func (l *pipelines) end(u *upstreamGrants, g *request, now time.Time) {
	if g.event.Model != "" {
		tokens := int(g.event.Output)
		if !g.complete { // a part of an answer says nothing of the time of a step
			tokens = 0
		}
		u.pipeline.End(g.promptID, tokens, l.service(g.event.Service), now)
	}
}

// wakeAhead tries the waiting requests again when one may be granted ahead at an upstream
// that has the request's model.
func (p *Permits) wakeAhead(w *request, now time.Time) {
	if !w.mayPrecede() {
		return
	}
	for _, e := range p.deps.Fleet.EntriesWithModel(w.event.Service, w.needs.Model) {
		p.wakeAheadAt(e, now)
	}
}

// wakeAheadAt tries the waiting requests again when one may be granted ahead at an upstream.
func (p *Permits) wakeAheadAt(e *fleet.Entry, now time.Time) {
	u := p.grants[e.ID()]
	if u == nil {
		return
	}
	if at, ok := u.pipeline.NextAhead(p.pipelines.service(e.Service()), now); ok {
		p.wakeAfter(e, now, at.Sub(now))
	}
}
