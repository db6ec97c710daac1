package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a stop lasts for seconds though no request is under way.
// Sequence: a caller opens a connection in advance, as HTTP clients do; its
// handshake is done; it sends nothing; the server is drained.
// Cause: the handshake's bytes count as a request's.
func TestAnUnusedSecuredConnectionHoldsNoStop(t *testing.T) {
	t.Parallel()
	s := run(t, ok, true)
	c, err := s.dial()
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	assert.NilError(t, s.Drain(t.Context()))
	assert.Assert(t, time.Since(began) < time.Second, "the stop took %v", time.Since(began))
}
