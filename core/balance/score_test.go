package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scoreAt returns the score of an upstream with 64 slots and a number of requests, in
// milliseconds, for a request without a prompt.
func scoreAt(load, outputTokens int) float64 {
	e := Endpoint{Slots: 64, SameDataCentre: true, HasIdleConn: true, ModelResident: true, InFlight: load}
	return score(&e, &Request{Model: "m", OutputTokens: outputTokens}, Times{}.assumed())
}

// Guards against a request that is sent behind a long prompt although a slot elsewhere is
// free sooner, and one that waits for a slot as if that took no time: a wait in milliseconds
// was counted in steps.
func TestAWaitForASlotIsScoredByItsTime(t *testing.T) {
	const fullStepMs = stepMs + 64*perRequestMs
	for load, want := range map[int]float64{
		0: 0, 1: perRequestMs, 10: 10 * perRequestMs, 40: 40 * perRequestMs, 63: 63 * perRequestMs, // they start with the next step
		64: 64*perRequestMs + 2*fullStepMs, // one of 64 answers of 128 tokens ends every 2 steps
		65: 64*perRequestMs + 4*fullStepMs,
		79: 64*perRequestMs + 32*fullStepMs,
	} {
		got := scoreAt(load, 128)
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%d requests: %f ms, want %f", load, got, want)
	}
}

// Guards against a slot that seems to come free as soon among long answers as among short.
func TestAWaitForASlotGrowsWithTheLengthOfAnswers(t *testing.T) {
	assert.Assert(t, scoreAt(66, 500) > 5*scoreAt(66, 50))
	assert.Equal(t, scoreAt(40, 500), scoreAt(40, 50))
	assert.Assert(t, scoreAt(66, 0) > scoreAt(63, 0), "the length is not known")
}

// Guards against a request that waits behind 4,000 prompt tokens while another upstream has
// one request more than slots.
func TestAShortQueueIsPreferredToALongPrompt(t *testing.T) {
	queued := Endpoint{ID: "queued", Slots: 64, SameDataCentre: true, HasIdleConn: true, ModelResident: true, InFlight: 65}
	prefilling := queued
	prefilling.ID, prefilling.InFlight, prefilling.PendingPromptTokens = "prefilling", 30, 4000
	r := Request{Model: "m", PromptTokens: 2000, OutputTokens: 50}
	d := Pick([]Endpoint{prefilling, queued}, &r, func() float64 { return 0 })
	assert.Equal(t, d.Index, 1)
}

// Guards against traffic between data centres that nothing is gained by: an upstream of the
// own data centre that begins some milliseconds later is preferred within a share of the
// objective, and by no more than the distance suggests.
func TestADistantUpstreamIsScoredByItsRoundTripAndTheObjective(t *testing.T) {
	for _, c := range []struct {
		name        string
		remoteMs    float64
		objectiveMs int
		want        float64
	}{
		{"not measured", 0, 1000, remoteMs},
		{"far, and time to spare", 9, 2500, 90},
		{"far, and a short objective", 9, 500, 50},
		{"far, and too late already", 9, -100, 9},
		{"near", 0.4, 2500, 4},
	} {
		e := Endpoint{RemoteMs: c.remoteMs}
		got := distanceMs(&e, &Request{Model: "m", InTime: time.Duration(c.objectiveMs) * time.Millisecond})
		assert.Assert(t, got > c.want-1e-9 && got < c.want+1e-9, "%s: %f ms, want %f", c.name, got, c.want)
		e.SameDataCentre = true
		assert.Equal(t, distanceMs(&e, &Request{}), 0.0)
	}
}
