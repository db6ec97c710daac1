package distance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/distance"
)

// Guards against a host's own delay that counts as distance: reports wait for a processor at
// both ends, so that one of ten milliseconds says little about the way.
func TestTheShortestRoundTripsCount(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := distance.NewEstimator("a")
	assert.Equal(t, e.RoundTrip("a", "b"), time.Duration(0), "nothing is known")
	for _, ms := range []int{40, 10, 25} {
		e.Add("b", time.Duration(ms)*time.Millisecond, now)
	}
	e.Add("a", time.Millisecond, now)
	e.Add("c", 21*time.Millisecond, now)
	assert.Equal(t, e.RoundTrip("a", "b"), 9*time.Millisecond)
	assert.Equal(t, e.RoundTrip("c", "a"), 20*time.Millisecond)
	assert.Equal(t, e.RoundTrip("b", "c"), 14500*time.Microsecond, "no host measures it")
	assert.Equal(t, e.RoundTrip("b", "b"), time.Duration(0))
	assert.Equal(t, e.Mean(), 14500*time.Microsecond)

	for range 3 { // a longer route
		now = now.Add(40 * time.Second)
		e.Add("b", 31*time.Millisecond, now)
	}
	assert.Equal(t, e.RoundTrip("a", "b"), 31*time.Millisecond)
}
