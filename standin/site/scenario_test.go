package site_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/site"
)

// A run with a misspelt scenario would pass because no fault is injected.
func TestScenarioIsFoundByNameOrRefused(t *testing.T) {
	_, err := site.FindScenario("orders+restrat")
	assert.ErrorContains(t, err, "restrat")
}

// Every scenario must carry out its steps on the upstreams, in their order.
func TestScenariosTakeTheirSteps(t *testing.T) {
	u, err := builtIn(t, "kathmandu").Start(site.StartOptions{Seed: 1})
	assert.NilError(t, err)
	defer u.Close()
	before := u.Engines[0].ActualState().Incarnation
	for _, name := range site.Scenarios() {
		s, err := site.FindScenario(name)
		assert.NilError(t, err)
		for i, f := range s.Run(t.Context(), site.Targets{Upstreams: u}, time.Millisecond) {
			assert.NilError(t, f.Err, "%s: step %d: %s", name, i, f.Description)
		}
	}
	after := u.Engines[0].ActualState()
	assert.Assert(t, after.Incarnation != before)
	assert.Equal(t, len(after.Residents), 0)
	assert.Assert(t, !after.Draining) // "restart" runs after "leave", and the new process is not draining
	assert.Assert(t, u.Engines[2].ActualState().Incarnation != "")
}
