package host

import (
	"testing"
	"time"
)

// Symptom: a caller's whole request was read, and its connection ends with
// neither an answer nor a refusal.
// Sequence: a kept connection is chosen to be closed, at a stop or for being
// idle, while a read has the next request's bytes and has not said so. The
// request is not handled, but nobody reads it from anywhere else either.
// Cause: the one who closes decides what the reader alone knows. The evidence:
// in ten plays of restarts nine requests came out of connections that the stop
// had chosen (`late_read`), and seven of their callers, far enough away to have
// sent them 200 ms before, got nothing.
func TestARequestThatWasReadIsAnswered(t *testing.T) {
	t.Parallel()
	for name, choose := range map[string]func(*callers){
		"at a stop":         func(c *callers) { c.closeIdle() },
		"at the idle bound": func(c *callers) { c.sweep(time.Now().Add(time.Hour)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveCallers(t, sayOK, nil)
			c := s.dial()
			c.send(plainGet)
			c.answered("ok")
			within(t, "the connection is idle", s.idle)
			s.ln.wasRead.set.Store(true)
			c.send(plainGet)
			within(t, "the next request is read", s.ln.wasRead.reached)
			choose(s.callers)
			close(s.ln.wasRead.release)
			c.answered("ok")
		})
	}
}
