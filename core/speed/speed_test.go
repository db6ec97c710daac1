package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/speed"
)

// engine simulates an engine whose speed is to be estimated.
type engine struct {
	prefillMs    float64 // for an uncached token of a prompt
	generationMs float64 // for a token of an answer
	firstMs      float64 // for every first event
	cachedShare  float64 // cached share of each prompt
	rnd          *rand.Rand
}

// run records n requests. One in ten is delayed by up to two seconds for another reason.
func (e *engine) run(m speed.Estimator, n int) {
	for range n {
		prompt := 200 + e.rnd.IntN(6000)
		uncached := int(float64(prompt) * (1 - e.cachedShare))
		m.AddPrompt(prompt, uncached)
		took := e.firstMs + float64(uncached)*e.prefillMs*(1+0.2*e.rnd.Float64())
		if e.rnd.IntN(10) == 0 {
			took += 2000 * e.rnd.Float64()
		}
		m.Read(uncached, time.Duration(took*float64(time.Millisecond)))
		m.AddGeneration(100, time.Duration(100*e.generationMs*(0.5+e.rnd.Float64())*float64(time.Millisecond)))
	}
}

// expected returns the time in milliseconds that an engine with 64 slots takes for a request.
func (e *engine) expected(prompt, output float64) float64 {
	return prompt*(1-e.cachedShare)*e.prefillMs*1.1 + output*e.generationMs/64
}

func assertNear(t *rapid.T, m speed.Estimator, e *engine, when string) {
	got := m.EngineTime(3000, 100, 64).Seconds() * 1000
	want := e.expected(3000, 100)
	assert.Assert(t, got > 0.5*want-10 && got < 2*want+10, "%s: %.1f ms, not %.1f", when, got, want)
}

// Property: whatever the engines, the estimate of their time for a request is within a factor
// of two and 10 ms after 70 requests of a model, and again after 100 more when their speed
// has changed.
func TestEngineTimesAreEstimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{prefillMs: 0.05 * rapid.Float64Range(0.2, 5).Draw(t, "read"), generationMs: 10 * rapid.Float64Range(0.2, 5).Draw(t, "make"),
			firstMs: rapid.Float64Range(1, 20).Draw(t, "first"), cachedShare: rapid.Float64Range(0, 0.7).Draw(t, "kept"),
			rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "noise"), 1))}
		service := &speed.Observations{}
		m := speed.Estimator{Own: &speed.Observations{}, Service: service}
		e.run(m, 70)
		assertNear(t, m, e, "at first")
		e.prefillMs *= rapid.SampledFrom([]float64{0.4, 2.5}).Draw(t, "change")
		e.run(m, 100)
		assertNear(t, m, e, "after the change")
	})
}

// Guards against a rarely used model that seems to take several times its engine time. The
// engines prefill five times as fast as the prior; one model is busy, and another gets its
// first request. If each model were estimated alone, it would start from the prior.
func TestARareModelIsEstimatedFromItsService(t *testing.T) {
	e := &engine{prefillMs: 0.01, generationMs: 3, rnd: rand.New(rand.NewPCG(1, 1))}
	service := &speed.Observations{}
	e.run(speed.Estimator{Own: &speed.Observations{}, Service: service}, 100)
	rare := speed.Estimator{Own: &speed.Observations{}, Service: service}
	got, want := rare.EngineTime(3000, 100, 64).Seconds()*1000, e.expected(3000, 100)
	assert.Assert(t, got > 0.6*want && got < 1.7*want, "%.1f ms, not %.1f", got, want)
}

// Guards against a model whose estimated demand drops to nothing while it is in use. All its
// prompts have the same size and varying times, and noise would make the slope 0 or negative.
func TestPromptsOfOneSizeDoNotMakeAnEngineInfinitelyFast(t *testing.T) {
	m := speed.Estimator{Own: &speed.Observations{}, Service: &speed.Observations{}}
	for i := range 200 {
		m.AddPrompt(2000, 2000+i%2)
		m.Read(2000+i%2, time.Duration(200-100*(i%2))*time.Millisecond)
	}
	assert.Assert(t, m.PrefillMsPerToken() > 0.01, "%.4f", m.PrefillMsPerToken())
}
