package attempts_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/attempts"
)

// A host asks late for the outcome of an attempt that ran; the log has dropped it
// in the meantime. If the answer were "unseen", the host would run the request a
// second time.
func TestDroppedAttemptIsNeverUnseen(t *testing.T) {
	l := attempts.New[int](2)
	l.Add("ran", 1)
	l.Add("b", 2)
	l.Add("c", 3)
	_, ok := l.FindOrAdd("ran", -1)
	assert.Assert(t, !ok)
	assert.Assert(t, l.WasDropped("ran"))
	v, ok := l.FindOrAdd("new", -1)
	assert.Assert(t, ok)
	assert.Equal(t, v, -1)
	v, known := l.Find("new")
	assert.Assert(t, known)
	assert.Equal(t, v, -1)
}
