package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a shutdown that takes seconds although no request is in progress,
// and hands over requests that had enough time to finish: a caller opens a TLS
// connection in advance, as HTTP clients do, and sends nothing, and the bytes of
// the handshake are counted as those of a request.
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
