package drain

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
	for name, choose := range map[string]func(*Server){
		"at a stop":         func(s *Server) { s.Look() },
		"at the idle bound": func(s *Server) { s.Sweep(time.Now().Add(time.Hour), time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, sayOK, nil)
			c := s.dial()
			c.send(get)
			c.answered("ok")
			within(t, "the connection is idle", s.idle)
			s.ln.wasRead.set.Store(true)
			c.send(get)
			within(t, "the next request is read", s.ln.wasRead.reached)
			choose(s.drain)
			close(s.ln.wasRead.release)
			c.answered("ok")
		})
	}
}
