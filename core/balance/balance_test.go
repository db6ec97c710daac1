package balance_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/balance"
)

func still() float64 { return 0 }

func engine(id string, change ...func(*balance.Endpoint)) balance.Endpoint {
	e := balance.Endpoint{ID: id, Slots: 64, SameDataCentre: true, ModelResident: true, AdapterResident: true}
	for _, c := range change {
		c(&e)
	}
	return e
}

var ask = balance.Request{Model: "m", PromptTokens: 2000, OutputTokens: 50, CacheTokens: 100_000}

func TestTheReasonNamesWhatWouldHelpMost(t *testing.T) {
	leaving := engine("leaving", func(e *balance.Endpoint) { e.Draining = true })
	without := engine("without", func(e *balance.Endpoint) { e.ModelResident = false })
	bare := engine("bare", func(e *balance.Endpoint) { e.AdapterResident = false })
	full := engine("full", func(e *balance.Endpoint) { e.InFlight = 100 })
	asked := ask
	asked.Adapter = "a1"
	for _, c := range []struct {
		name string
		in   []balance.Endpoint
		want balance.Reason
	}{
		{"none", nil, balance.NoUpstream},
		{"leaving", []balance.Endpoint{leaving}, balance.NoUpstream},
		{"no holder", []balance.Endpoint{leaving, without}, balance.NoModel},
		{"no adapter", []balance.Endpoint{without, bare}, balance.NoAdapter},
		{"full", []balance.Endpoint{bare, full, without}, balance.AllFull},
		{"found", []balance.Endpoint{bare, full, engine("ok")}, balance.Found},
	} {
		d := balance.Pick(c.in, &asked, still)
		assert.Equal(t, d.Reason, c.want, c.name)
		assert.Equal(t, d.Index >= 0, c.want == balance.Found, c.name)
	}
}

// Symptom: streams pause for longer than their bound while other engines idle.
// Sequence: prompts arrive together; all go to the engine with fewest requests.
// Cause: prompts that are still to be read hold up every step of a batch, and
// counting requests does not show them.
func TestPromptsNotYetReadCountMoreThanRequests(t *testing.T) {
	reading := engine("reading", func(e *balance.Endpoint) { e.InFlight, e.PendingPromptTokens = 3, 9000 })
	running := engine("running", func(e *balance.Endpoint) { e.InFlight = 30 })
	d := balance.Pick([]balance.Endpoint{reading, running}, &ask, still)
	assert.Equal(t, d.Index, 1)
}

// Symptom: an upstream that was found dark swallows a burst as soon as its
// pause is over. Sequence: it goes dark; the pause ends; many requests are due.
// Cause: it is let back with all its share at once.
func TestAnUpstreamOnTrialGetsOneRequestAtATime(t *testing.T) {
	trial := engine("trial", func(e *balance.Endpoint) { e.HalfOpen = true })
	assert.Equal(t, balance.Pick([]balance.Endpoint{trial}, &ask, still).Reason, balance.Found)
	trial.InFlight = 30 // stuck there since before
	assert.Equal(t, balance.Pick([]balance.Endpoint{trial}, &ask, still).Reason, balance.Found)
	trial.ProbeInFlight = true
	assert.Equal(t, balance.Pick([]balance.Endpoint{trial}, &ask, still).Reason, balance.NoUpstream)
}

// Property: whatever the snapshot, a pick never breaks a filter.
func TestAPickKeepsEveryFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		es := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) balance.Endpoint {
			return balance.Endpoint{Slots: rapid.IntRange(0, 64).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "leaving"),
				Down: rapid.Bool().Draw(t, "down"), Tried: rapid.Bool().Draw(t, "tried"), ModelResident: rapid.Bool().Draw(t, "model"),
				AdapterResident: rapid.Bool().Draw(t, "adapter"), InFlight: rapid.IntRange(0, 200).Draw(t, "requests"),
				PendingPromptTokens: rapid.IntRange(0, 1<<17).Draw(t, "waiting"), InFlightTokens: rapid.IntRange(0, 1<<18).Draw(t, "tokens")}
		}), 0, 12).Draw(t, "endpoints")
		r := ask
		r.Adapter = rapid.SampledFrom([]string{"", "a1"}).Draw(t, "adapter")
		d := balance.Pick(es, &r, still)
		if d.Index < 0 {
			return
		}
		e := es[d.Index]
		assert.Assert(t, !e.Draining && !e.Down && !e.Tried && e.ModelResident && (r.Adapter == "" || e.AdapterResident))
		assert.Assert(t, e.InFlight == 0 || e.InFlightTokens+r.PromptTokens+r.OutputTokens <= r.CacheTokens)
	})
}

// Guards against a handler that ends on what a host of a later release tells.
func TestAReasonOfALaterReleaseCountsAsNoRoom(t *testing.T) {
	assert.Equal(t, balance.ReasonFromCode(uint32(balance.NoModel)), balance.NoModel)
	assert.Equal(t, balance.ReasonFromCode(uint32(balance.AllBackoff)), balance.AllBackoff)
	assert.Equal(t, balance.ReasonFromCode(200).String(), "all_full")
}
