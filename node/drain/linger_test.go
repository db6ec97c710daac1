package drain

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a caller who is refused gets a reset instead of the refusal.
// Sequence: the refusal is written after the head; the caller still sends the
// body. The process ends, or the server closes the connection.
// Cause: the connection is closed with bytes unread. This sends a reset, which
// overtakes the refusal on its way or ends the caller's write. It shows in the
// error at the caller, and in the result of the last drain step.
func TestARefusalReachesACallerWhoStillSends(t *testing.T) {
	t.Parallel()
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no\n")
	}
	for name, of := range map[string]struct {
		size int
		head string
	}{
		"small body":                {size: 100 << 10},
		"large body":                {size: 2 << 20},
		"the caller's last request": {size: 100 << 10, head: "Connection: close\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, refuse, nil)
			c := s.dial()
			c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: site.example\r\n%sContent-Length: %d\r\n\r\n", of.head, of.size))
			c.send(strings.Repeat("x", of.size/2))
			c.answered("no\n") // before the whole body has arrived
			stopped := make(chan struct{})
			assert.Equal(t, s.drain.DrainStep(), 1)
			go func() { defer close(stopped); s.stop() }()
			c.send(strings.Repeat("x", of.size/2))
			_, err := io.Copy(io.Discard, c.buf)
			assert.NilError(t, err, "the connection does not end properly")
			_ = c.Close()
			within(t, "the stop ends", stopped)
		})
	}
}

// Symptom: connections pile up, or a shutdown takes its whole grace period.
// Sequence: callers are refused after the head and never send the remainder of
// the body.
// Cause: the remainder is awaited without a bound.
func TestARefusedCallerIsNotAwaitedForLong(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{"kept": "", "closed": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, nil)
			c := s.dial()
			c.send("POST / HTTP/1.1\r\nHost: site.example\r\n" + head + "Content-Length: 100\r\n\r\nx")
			began := time.Now()
			within(t, "the connection ends", s.closed)
			assert.Assert(t, time.Since(began) < 4*time.Second)
			_, err := c.answer()
			assert.Assert(t, err == nil || errors.Is(err, io.EOF), "%v", err)
		})
	}
}

// Symptom: connections pile up that no idle timeout closes.
// Sequence: a caller sends one to three bytes after an answer, or one while the
// answer is written, and nothing more.
// Cause: the HTTP server sets a deadline for a head from its fourth byte on, and
// a connection counts as idle only if no byte came.
func TestAFewBytesAreNotAwaitedForEver(t *testing.T) {
	t.Parallel()
	t.Run("after the answer", func(t *testing.T) {
		t.Parallel()
		s := serve(t, answerOK, nil)
		c := s.dial()
		c.send(get)
		c.answered("ok")
		within(t, "the connection is idle", s.idle)
		c.send("GE")
		within(t, "the connection ends", s.closed)
	})
	t.Run("before the answer", func(t *testing.T) {
		t.Parallel()
		answer := make(chan struct{})
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			<-answer
			answerOK(w, r)
		}, nil)
		c := s.dial()
		c.send(get)
		eventually(t, func() bool { return s.ran.Load() == 1 })
		c.send("G")
		eventually(t, func() bool { return s.ln.bytes.Load() == int64(len(get)+1) })
		before := s.ln.reads.Load()
		close(answer)
		c.answered("ok")
		eventually(t, func() bool { return s.ln.reads.Load() > before })
		s.drain.DrainStep()
		assert.Equal(t, s.drain.Active(), 1, "a request has begun")
		within(t, "the connection ends", s.closed)
	})
}

// Symptom: a shutdown takes longer for callers who were refused and have sent
// everything.
// Sequence: a request is refused after its head; the body arrives; the caller
// keeps its end of the connection open.
// Cause: more is awaited although the request is complete.
func TestNothingIsAwaitedAfterACompleteRequest(t *testing.T) {
	t.Parallel()
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "0")
	}, nil)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbo")
	c.answered("")
	began := time.Now()
	c.send("dy")
	within(t, "the connection ends", s.closed)
	assert.Assert(t, time.Since(began) < lingerTimeout/2)
}

// Symptom: a request counts as abandoned although its caller waits for it.
// Sequence: the request before it was answered without its body being read, or
// its answer took long to be written.
// Cause: the deadline for the remainder of a body outlives it, or is set without
// a body: it ends the read that detects a disconnected caller.
func TestTheNextRequestHasItsOwnTime(t *testing.T) {
	t.Parallel()
	t.Run("after a body", func(t *testing.T) {
		t.Parallel()
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(bodyReadTimeout + 200*time.Millisecond):
				answerOK(w, r)
			}
		}, nil)
		c := s.dial()
		for range 2 {
			c.send("POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbody")
			c.answered("ok")
		}
	})
	t.Run("after a slow write", func(t *testing.T) {
		t.Parallel()
		var s *served
		s = serve(t, func(w http.ResponseWriter, r *http.Request) {
			if s.ran.Load() == 1 {
				s.ln.write.set.Store(true)
			} else if r.Context().Err() != nil {
				return
			}
			answerOK(w, r)
		}, nil)
		c := s.dial()
		c.send(get)
		within(t, "the answer is written", s.ln.write.reached)
		time.Sleep(bodyReadTimeout + 200*time.Millisecond)
		close(s.ln.write.release)
		c.answered("ok")
		c.send(get)
		c.answered("ok")
	})
}

// Symptom: a request is accepted by a process that ends.
// Sequence: a shutdown has found no request in progress; a connection that was
// opened before is accepted.
// Cause: connections are accepted until the end, after the decision to end.
func TestNothingIsAcceptedAfterTheLastDrainStep(t *testing.T) {
	t.Parallel()
	s := serve(t, answerOK, nil)
	assert.Equal(t, s.drain.DrainStep(), 0)
	c := s.dial()
	c.send(get)
	_, err := c.answer()
	assert.Assert(t, err != nil)
	assert.Equal(t, s.ran.Load(), int64(0))
}

// Symptom: a caller gets a reset instead of the HTTP server's own answer to a
// malformed head.
// Sequence: the answer is written while the caller still sends.
// Cause: only answers of handlers are tracked.
func TestTheServersOwnAnswersArrive(t *testing.T) {
	t.Parallel()
	s := serve(t, answerOK, nil)
	c := s.dial()
	c.checkMalformedRequest()
}

// checkMalformedRequest sends a malformed request in pieces and expects the
// answer 400.
func (c *caller) checkMalformedRequest() {
	c.t.Helper()
	c.send("no request\r\n\r\n")
	for range 10 {
		c.send(strings.Repeat("x", 1<<10))
		time.Sleep(20 * time.Millisecond)
	}
	resp, err := http.ReadResponse(c.buf, nil)
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(c.t, resp.StatusCode, http.StatusBadRequest)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
}
