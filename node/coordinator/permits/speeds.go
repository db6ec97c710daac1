package permits

import (
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/speed"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/wire"
)

// recordSlowdown records what an upstream stated on the response to a request.
func (p *Permits) recordSlowdown(g *request, e *coordpb.TurnEvent) {
	if g == nil || e.Slowdown == 0 {
		return
	}
	g.slowdown = wire.Multiple(e.Slowdown)
	g.entry.RecordSlowdown(g.slowdown, p.deps.Now())
}

// statedDecay is the weight of one answer in the mean of what the upstreams of a service
// state: about the last hundred count.
const statedDecay = 0.01

// meanStated is the mean of what the upstreams of a service state, over n answers.
type meanStated struct{ mean, n float64 }

// apartFromStated returns how long what took so long would have taken if the upstream had
// stated what those of its service state on average. So the times of a service, which its
// demand is counted in, stay what they are.
func (p *Permits) apartFromStated(g *request, took time.Duration) time.Duration {
	m := p.meanStated[g.event.Service]
	if g.slowdown == 0 && m.n == 0 {
		return took
	}
	stated := g.slowdown
	if stated == 0 { // it counts as usual, as in the pick
		stated = 1
	}
	m.n++
	m.mean += max(statedDecay, 1/m.n) * (stated - m.mean)
	p.meanStated[g.event.Service] = m
	return time.Duration(float64(took) * m.mean / stated)
}

// wayOf returns the part of the time from a grant to its report that passes between data
// centres: that of the permit and the report, and that of the request and its response.
func (p *Permits) wayOf(g *request) time.Duration {
	if p.deps.RoundTrip == nil {
		return 0
	}
	way := time.Duration(0)
	for _, other := range []string{p.deps.Fleet.DataCentre(), g.entry.DataCentre()} {
		if other != g.event.DataCentre {
			way += p.deps.RoundTrip(g.event.DataCentre, other)
		}
	}
	return way
}

// learnPrompt learns from the time of a request's first event, if its upstream had no
// other prompt to read. An upstream that fails requests at once is not a fast one.
func (p *Permits) learnPrompt(g *request, succeeded bool) {
	if !g.solePrompt || g.event.Model == "" {
		return
	}
	took, tokens := p.apartFromStated(g, max(g.firstAt.Sub(g.grantedAt)-p.wayOf(g), 0)), int(g.event.Prompt)
	var usual time.Duration
	p.deps.Speeds.WithModel(g.model(), func(m speed.Estimator) {
		usual = m.FirstEvent(tokens)
		m.Read(tokens, took)
	})
	if succeeded {
		p.learnRatio(g, took, usual)
	}
}

// noteCompletion records whether the response to a request was complete.
func (p *Permits) noteCompletion(g *request, e *coordpb.TurnEvent) {
	if g != nil {
		g.complete = e.Complete
	}
}

// learnCall learns from the time of a complete call of a plain service, if it did not have
// to wait for others at its upstream.
func (p *Permits) learnCall(g *request, e *coordpb.TurnEvent) {
	if g == nil || !e.Complete || !g.soleCall || g.event.Model != "" {
		return
	}
	took := p.apartFromStated(g, max(p.deps.Now().Sub(g.grantedAt)-p.wayOf(g), 0))
	var usual time.Duration
	p.deps.Speeds.WithModel(g.model(), func(m speed.Estimator) {
		usual = m.Call()
		m.AddCall(took)
	})
	p.learnRatio(g, took, usual)
}

// learnRatio records an observed time at a request's upstream; usual is that of its
// service, 0 if it is not known.
func (p *Permits) learnRatio(g *request, took, usual time.Duration) {
	if usual > 0 && took > 0 {
		g.entry.RecordSpeed(took.Seconds()/usual.Seconds(), p.deps.Now())
	}
}

// unlikeFor is how long a service counts as one of upstreams that differ in speed after
// one of them was seen to: as long as what made it slow may come back.
const unlikeFor = 10 * time.Second

// noteSpeed records that an upstream of a service was considered, with its slowdown.
func (p *Permits) noteSpeed(service string, slowdown float64, now time.Time) {
	if slowdown != 0 {
		p.unlikeAt[service] = now
	}
}

// usualTimes returns the times that were learnt for a request's work, if the upstreams of
// its service differ in speed.
func (p *Permits) usualTimes(w *request, now time.Time) (t balance.Times) {
	if at, ok := p.unlikeAt[w.event.Service]; !ok || now.Sub(at) > unlikeFor {
		return t
	}
	p.deps.Speeds.WithModel(demand.Key{Service: w.event.Service, Model: w.needs.Model}, func(m speed.Estimator) {
		if w.needs.Model == "" {
			t.CallMs = float64(m.Call()) / float64(time.Millisecond)
			return
		}
		t.PrefillMsPerToken, t.StepMs = m.PrefillMsPerToken(), m.GenerationMsPerToken()
	})
	return t
}
