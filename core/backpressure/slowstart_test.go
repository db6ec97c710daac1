package backpressure_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/backpressure"
)

// Guards against an upstream that is flooded again as soon as its backoff is over.
func TestAfterABackoffRequestsIncreaseGradually(t *testing.T) {
	var s backpressure.SlowStart
	assert.Assert(t, !s.Active() && !s.AtLimit() && !s.Sent())
	s.Start()
	send := func(want int) {
		t.Helper()
		n := 0
		for ; !s.AtLimit() && n < 100; n++ {
			assert.Assert(t, s.Sent())
		}
		assert.Equal(t, n, want)
	}
	send(1)
	s.Answered(8)
	s.Ended()
	send(2)
	s.Answered(8)
	s.Answered(8)
	assert.Assert(t, s.Active())
	send(6) // eight, two of which have not ended
	s.Start()
	assert.Assert(t, s.AtLimit(), "it has refused a request again")
	for range 8 {
		s.Ended()
	}
	send(1)
	for range 3 {
		s.Answered(0)
	}
	assert.Assert(t, s.Active())
	s.Answered(0)
	assert.Assert(t, !s.Active() && !s.AtLimit())
}
