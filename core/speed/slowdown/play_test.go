package slowdown_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/speed"
	"peridotpier.example/core/speed/slowdown"
)

// prefillMs is the time that an engine of usual speed takes for a token of a prompt.
const prefillMs = 0.04

// playedEngine is one engine of a play: it reads prompts one after the other.
type playedEngine struct {
	factor  func(at time.Duration) float64 // of the usual time that its work takes
	learnt  slowdown.Learnt
	free    time.Duration // when it has read all prompts that it was sent
	pending int           // tokens of these prompts
	served  int
}

// reading is a prompt that an engine reads.
type reading struct {
	engine *playedEngine
	tokens int
	sentAt time.Duration
	doneAt time.Duration
	sole   bool
}

type readings []reading

func (r readings) Len() int           { return len(r) }
func (r readings) Less(i, j int) bool { return r[i].doneAt < r[j].doneAt }
func (r readings) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *readings) Push(x any)        { *r = append(*r, x.(reading)) }
func (r *readings) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// How the sender of a play knows the engines' speeds.
type knowledge int

const (
	unknown knowledge = iota // the way is off
	learnt
	known
)

// play is a service whose requests one sender spreads over its engines.
type play struct {
	engines []*playedEngine
	know    knowledge
	rnd     *rand.Rand
	model   speed.Estimator
	reading readings
	epoch   time.Time
	sum     time.Duration
	n       int
}

func newPlay(know knowledge, factors ...func(time.Duration) float64) *play {
	p := &play{know: know, rnd: rand.New(rand.NewPCG(7, 7)), epoch: time.Unix(1_700_000_000, 0)}
	p.model = speed.Estimator{Own: &speed.Observations{}, Service: &speed.Observations{}}
	for _, f := range factors {
		p.engines = append(p.engines, &playedEngine{factor: f})
	}
	return p
}

func constantly(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// run sends so many requests a second from a time until another, and counts those of the
// last three quarters.
func (p *play) run(from, until time.Duration, rate float64) {
	p.serve(from, from+(until-from)/4, rate, false)
	p.serve(from+(until-from)/4, until, rate, true)
	p.finish(until + time.Hour)
}

// serve is run without the end of what is under way; counts says whether requests count.
func (p *play) serve(from, until time.Duration, rate float64, counts bool) {
	for at := from; at < until; at += time.Duration(p.rnd.ExpFloat64() / rate * float64(time.Second)) {
		p.finish(at)
		p.send(at, counts)
	}
}

// finish ends the prompts that are read by a time, and learns from them.
func (p *play) finish(until time.Duration) {
	for len(p.reading) > 0 && p.reading[0].doneAt <= until {
		r := heap.Pop(&p.reading).(reading)
		r.engine.pending -= r.tokens
		if !r.sole {
			continue
		}
		took := r.doneAt - r.sentAt
		if usual := p.model.FirstEvent(r.tokens); usual > 0 {
			r.engine.learnt.Observe(took.Seconds()/usual.Seconds(), p.epoch.Add(r.doneAt))
		}
		p.model.Read(r.tokens, took)
	}
}

func (p *play) slowdownOf(e *playedEngine, at time.Duration) float64 {
	switch p.know {
	case known:
		return e.factor(at)
	case learnt:
		return slowdown.Material(e.learnt.At(p.epoch.Add(at)))
	}
	return 0
}

func (p *play) send(at time.Duration, counts bool) {
	tokens := 500 + p.rnd.IntN(4000)
	endpoints := make([]balance.Endpoint, len(p.engines))
	for i, e := range p.engines {
		endpoints[i] = balance.Endpoint{ID: fmt.Sprint(i), Slots: 48, SameDataCentre: true, HasIdleConn: true, ModelResident: true, AdapterResident: true, PendingPromptTokens: e.pending, Slowdown: p.slowdownOf(e, at)}
	}
	r := balance.Request{Model: "m", PromptTokens: tokens, OutputTokens: 20, Usual: balance.Times{PrefillMsPerToken: p.model.PrefillMsPerToken()}}
	e := p.engines[balance.Pick(endpoints, &r, p.rnd.Float64).Index]
	next := reading{engine: e, tokens: tokens, sentAt: at, sole: e.pending == 0}
	for i := range p.reading {
		p.reading[i].sole = p.reading[i].sole && p.reading[i].engine != e
	}
	took := float64(tokens) * prefillMs * e.factor(at) * (0.9 + 0.2*p.rnd.Float64())
	next.doneAt = max(at, e.free) + time.Duration(took*float64(time.Millisecond))
	e.free, e.pending = next.doneAt, e.pending+tokens
	heap.Push(&p.reading, next)
	if counts {
		e.served++
		p.sum, p.n = p.sum+next.doneAt-at, p.n+1
	}
}

// meanFirst returns the mean time until the first event.
func (p *play) meanFirst() time.Duration { return p.sum / time.Duration(p.n) }

// fleetOf returns engines of each of the factors.
func fleetOf(each int, factors ...float64) (out []func(time.Duration) float64) {
	for range each {
		for _, f := range factors {
			out = append(out, constantly(f))
		}
	}
	return out
}

// rateFor returns the requests a second that use a share of what engines of such factors
// read.
func rateFor(share float64, each int, factors ...float64) float64 {
	engines := 0.0
	for _, f := range factors {
		engines += float64(each) / f
	}
	return share * engines / (2500 * prefillMs / 1000)
}

// Guards against callers who wait at a slow engine while fast ones are idle: engines of
// 0.8, 1.2 and 2.2 times the time. First events come within 1.1 of the time that known
// speeds would give.
func TestEnginesOfUnlikeSpeedsAreLearnt(t *testing.T) {
	factors := []float64{0.8, 1.2, 2.2}
	for _, share := range []float64{0.4, 0.6, 0.8} {
		first := map[knowledge]time.Duration{}
		for _, know := range []knowledge{unknown, learnt, known} {
			p := newPlay(know, fleetOf(3, factors...)...)
			p.run(0, 120*time.Second, rateFor(share, 3, factors...))
			first[know] = p.meanFirst()
		}
		t.Logf("share %.1f of what they read: first events after %v unknown, %v learnt, %v known", share, first[unknown], first[learnt], first[known])
		assert.Assert(t, first[learnt].Seconds() <= 1.1*first[known].Seconds(), "share %.1f: %v learnt, %v known", share, first[learnt], first[known])
		assert.Assert(t, first[learnt] < first[unknown], "share %.1f: %v learnt, %v unknown", share, first[learnt], first[unknown])
	}
}

// Guards against a slow engine that is treated as a dead one, or as a fast one: where the
// engines are needed, half of the speed is about half of the share.
func TestHalfOfTheSpeedIsHalfOfTheShare(t *testing.T) {
	p := newPlay(learnt, constantly(1), constantly(1), constantly(1), constantly(2))
	p.run(0, 120*time.Second, 0.85*rateFor(1, 1, 1, 1, 1, 2))
	of := func(i int) float64 { return float64(p.engines[i].served) }
	share := of(3) / ((of(0) + of(1) + of(2)) / 3)
	assert.Assert(t, share > 0.35 && share < 0.65, "%.2f", share)
}

// Guards against an engine that stays out of use after it was slow for some seconds: it is
// found slow, and found recovered by ordinary requests.
func TestAnEngineThatWasSlowForSecondsIsUsedAgain(t *testing.T) {
	slowFor := func(at time.Duration) float64 {
		if at > 20*time.Second && at < 30*time.Second {
			return 4
		}
		return 1
	}
	p := newPlay(learnt, constantly(1), constantly(1), constantly(1), slowFor)
	rate := rateFor(0.6, 4, 1)
	for _, part := range []struct {
		from, until time.Duration
		low, high   float64 // requests there, as a multiple of the others' mean
	}{{0, 20, 0.8, 1.2}, {22, 30, 0, 0.5}, {40, 60, 0.7, 1.2}} {
		for _, e := range p.engines {
			e.served = 0
		}
		p.serve(part.from*time.Second, part.until*time.Second, rate, true)
		others := float64(p.engines[0].served+p.engines[1].served+p.engines[2].served) / 3
		share := float64(p.engines[3].served) / others
		assert.Assert(t, share >= part.low && share <= part.high, "from %d s: %.2f", part.from, share)
		p.serve(part.until*time.Second, (part.until+2)*time.Second, rate, false)
	}
}
