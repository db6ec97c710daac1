package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawEndpoint draws an endpoint that may take requests, unless it is full.
func drawEndpoint(t *rapid.T) Endpoint {
	return Endpoint{Slots: rapid.IntRange(0, 48).Draw(t, "slots"), SameDataCentre: rapid.Bool().Draw(t, "near"), HasIdleConn: rapid.Bool().Draw(t, "idle"),
		ModelResident: true, AdapterResident: true, InFlight: rapid.IntRange(0, 150).Draw(t, "in flight"), PendingPromptTokens: rapid.IntRange(0, 9000).Draw(t, "pending"),
		InFlightTokens: rapid.IntRange(0, 100_000).Draw(t, "tokens"), CachedTokens: rapid.IntRange(0, 3000).Draw(t, "cached"),
		WarmupRemaining: time.Duration(rapid.IntRange(0, 2000).Draw(t, "cold")) * time.Millisecond}
}

// equalSpeedScore is the score of an endpoint of usual speed, written out.
func equalSpeedScore(e *Endpoint, r *Request) float64 {
	s := 0.0
	if !e.SameDataCentre {
		s += 3
	}
	if !e.HasIdleConn {
		s += 8
	}
	s += 200 * min(1, e.WarmupRemaining.Seconds())
	if r.Model == "" {
		return s + 15*float64(e.InFlight)/float64(max(e.Slots, 1))
	}
	s += float64(e.PendingPromptTokens+max(r.PromptTokens-e.CachedTokens, 0)) / 20
	if e.Slots == 0 || e.InFlight < e.Slots {
		return s + 0.33*float64(e.InFlight)
	}
	slots := float64(e.Slots)
	return s + 0.33*slots + float64(e.InFlight-e.Slots+1)*float64(max(r.OutputTokens, 1))/slots*(10+0.33*slots)
}

// Guards against decisions that change where no upstream is known to differ: the pick is
// that of equal upstreams, and so is what counts as full and as busy with prompts.
func TestEqualUpstreamsArePickedAsWithoutSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{Model: rapid.SampledFrom([]string{"", "m"}).Draw(t, "model"), PromptTokens: rapid.IntRange(0, 9000).Draw(t, "prompt"), OutputTokens: rapid.IntRange(0, 500).Draw(t, "output"),
			CacheTokens: 100_000, MaxPendingPromptTokens: rapid.IntRange(0, 9000).Draw(t, "bound")}
		unknown, stated := make([]Endpoint, 4), make([]Endpoint, 4)
		for i := range unknown {
			unknown[i] = drawEndpoint(t)
			stated[i] = unknown[i]
			stated[i].Slowdown = 1
		}
		want := Pick(unknown, &r, func() float64 { return 0.5 })
		assert.DeepEqual(t, Pick(stated, &r, func() float64 { return 0.5 }), want)
		if want.Index >= 0 {
			ms := equalSpeedScore(&unknown[want.Index], &r) + 0.5*tieBreakMs
			assert.Assert(t, (want.PredictedWait-time.Duration(ms*float64(time.Millisecond))).Abs() < time.Microsecond)
		}
	})
}

// Guards against a slow upstream that counts as a whole one: at most so many prompt tokens
// and calls may wait there as are done in the same time.
func TestASlowUpstreamIsASmallerOne(t *testing.T) {
	prompt := Request{Model: "m", PromptTokens: 500, MaxPendingPromptTokens: 3000}
	call := Request{}
	for _, c := range []struct {
		slowdown       float64
		pending, calls int // at most
	}{{0, 2500, 18}, {1, 2500, 18}, {2, 1000, 12}, {0.5, 2500, 30}} {
		e := Endpoint{Slots: 6, ModelResident: true, AdapterResident: true, Slowdown: c.slowdown, PendingPromptTokens: c.pending}
		assert.Equal(t, Check(&e, &prompt), Found, "%v", c)
		e.PendingPromptTokens++
		assert.Equal(t, Check(&e, &prompt), AllPrefilling, "%v", c)
		e.InFlight = c.calls - 1
		assert.Equal(t, Check(&e, &call), Found, "%v", c)
		e.InFlight++
		assert.Equal(t, Check(&e, &call), AllFull, "%v", c)
	}
	idle := Endpoint{Slots: 6, ModelResident: true, AdapterResident: true, Slowdown: 10}
	assert.Equal(t, Check(&idle, &prompt), Found, "a slow one is not a dead one")
}
