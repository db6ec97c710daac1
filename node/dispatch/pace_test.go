package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/route"
)

func TestPaceMeterDividesByTheTokensThatPassed(t *testing.T) {
	var p paceMeter
	t0 := time.Unix(1000, 0)
	_, ok := p.sample(1, t0)
	assert.Assert(t, !ok)
	_, ok = p.sample(1+paceSampleTokens/2, t0.Add(time.Second))
	assert.Assert(t, !ok, "too few tokens for a sample")
	step, ok := p.sample(1+2*paceSampleTokens, t0.Add(2*paceSampleTokens*30*time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, step, 30*time.Millisecond)
}

// Symptom: requests are refused as too long for their deadline though their
// answers are short.
// Sequence: callers allow thousands of tokens; answers have a few dozen.
// Cause: the allowed number of tokens is used as the predicted length.
func TestLengthsAreObservedAndNotTakenFromTheBound(t *testing.T) {
	l, key := newAnswerLengths(), route.ModelKey{Model: "m"}
	assert.Equal(t, l.predict(key, 4000), 0, "no answer observed: no prediction")
	for range 20 {
		l.observe(key, 40)
	}
	assert.Equal(t, l.predict(key, 4000), 60)
	assert.Equal(t, l.predict(key, 10), 10)
	assert.Equal(t, completionTokens([]byte(`{"usage":{"prompt_tokens":9,"completion_tokens": 17,"total_tokens":26}}`)), 17)
	assert.Equal(t, completionTokens([]byte(`{"completion_tokens":null}`)), 0)
}
