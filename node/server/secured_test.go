package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a stop lasts for seconds though no request is under way, and hands
// over requests that had time enough.
// Sequence: a caller opens a connection in advance, as HTTP clients do; its
// handshake is done; it sends nothing; the listener is drained.
// Cause: the handshake's bytes count as a request's.
func TestAnUnusedTLSConnectionDoesNotDelayAShutdown(t *testing.T) {
	t.Parallel()
	s := newStoppableListener(t, true)
	c, err := s.dial(s.l.address())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	assert.NilError(t, s.l.drain(t.Context()))
	assert.Assert(t, time.Since(start) < time.Second, "the stop took %v", time.Since(start))
}
