package drain

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a request is interrupted by the end of a process that had counted no
// request in progress.
// Sequence: a connection is asked to close; before it has closed, a request
// comes.
// Cause: a connection that is asked to close counts as closed, or a new one is
// not asked at all.
func TestADrainStepCountsWhatItAsksToClose(t *testing.T) {
	t.Parallel()
	t.Run("after an answer", func(t *testing.T) {
		c, _ := pair(t)
		c.idleSince.Store(1)
		assert.Equal(t, c.s.DrainStep(), 1)
		assert.Equal(t, c.phase.Load(), phaseCloseRequested)
		assert.Equal(t, c.s.DrainStep(), 1)
		assert.Assert(t, !c.s.stopped)
	})
	t.Run("new", func(t *testing.T) {
		c, _ := pair(t)
		assert.Equal(t, c.s.DrainStep(), 1)
		assert.Equal(t, c.phase.Load(), phaseCloseRequested)
	})
}

// Symptom: callers who have just connected are disconnected while the host still
// answers others.
// Sequence: a new connection has sent nothing yet when a drain step or CloseIdle
// runs.
// Cause: a new connection is treated as an idle one.
func TestANewConnectionIsAskedToCloseLast(t *testing.T) {
	t.Parallel()
	c, _ := pair(t)
	other := &conn{Conn: c.Conn, s: c.s}
	other.phase.Store(phaseBusy)
	c.s.conns[other] = struct{}{}
	assert.Equal(t, c.s.DrainStep(), 1)
	assert.Equal(t, c.phase.Load(), phaseIdle)
	c.s.CloseIdle(time.Now().Add(time.Hour), time.Minute)
	assert.Equal(t, c.phase.Load(), phaseIdle)
	delete(c.s.conns, other)
}

// Symptom: a caller waits for the end of an answer that is marked as the last on
// its connection.
// Sequence: it is refused before its body is sent, and sends no more of it.
// Cause: the connection is not half closed while more of the body may come.
func TestTheEndOfTheLastAnswerIsSignalled(t *testing.T) {
	t.Parallel()
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "0")
	}, nil)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbo")
	began := time.Now()
	c.answered("")
	_, err := io.Copy(io.Discard, c.buf)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < bodyReadTimeout+lingerTimeout/2, "%v", time.Since(began))
}

// Symptom: a caller gets the beginning of an answer although the handler failed.
// Sequence: the handler sets the length of its answer and panics; the body of its
// request is not read.
// Cause: the answer that is flushed when a handler returns is also flushed after
// a panic.
func TestABrokenHandlerAnswersNothing(t *testing.T) {
	t.Parallel()
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		panic(http.ErrAbortHandler)
	}, nil)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbo")
	_, err := http.ReadResponse(c.buf, nil)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), "%v", err)
}

// Symptom: the end of an answer is late by a second.
// Sequence: the answer has no length; the body of its request is not read.
// Cause: the remainder of the body is awaited before the answer's last chunk is
// written.
func TestAnAnswerWithoutALengthDoesNotWaitForTheBody(t *testing.T) {
	t.Parallel()
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		answerOK(w, r)
		_ = http.NewResponseController(w).Flush()
	}, nil)
	c := s.dial()
	began := time.Now()
	c.send("POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbo")
	c.answered("ok")
	assert.Assert(t, time.Since(began) < bodyReadTimeout/2, "%v", time.Since(began))
}

// Symptom: a caller that waits for permission to send its body gets its refusal a
// second late.
// Sequence: it expects 100 Continue, is refused and sends nothing.
// Cause: the HTTP server does not recognize its own body in the request.
func TestARefusalBeforeTheBodyIsNotLate(t *testing.T) {
	t.Parallel()
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, nil)
	c := s.dial()
	began := time.Now()
	c.send("POST / HTTP/1.1\r\nHost: site.example\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	resp, err := http.ReadResponse(c.buf, nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Assert(t, resp.Close)
	assert.Assert(t, time.Since(began) < bodyReadTimeout/2, "%v", time.Since(began))
}

// Symptom: a shutdown takes a second longer for each idle connection.
// Sequence: a connection has had an answer; it is asked to close.
// Cause: more of a request is awaited where none has begun.
func TestAnIdleConnectionClosesAtOnce(t *testing.T) {
	t.Parallel()
	s := serve(t, answerOK, nil)
	c := s.dial()
	c.send(get)
	c.answered("ok")
	within(t, "the connection is idle", s.idle)
	began := time.Now()
	s.drain.DrainStep()
	within(t, "the connection ends", s.closed)
	assert.Assert(t, time.Since(began) < lingerTimeout/2, "%v", time.Since(began))
}

// Symptom: a caller gets a reset instead of the HTTP server's own answer.
// Sequence: the malformed head comes after an answer.
// Cause: only a connection's first request marks that bytes may still come.
func TestTheServersOwnAnswersArriveOnKeptConnections(t *testing.T) {
	t.Parallel()
	s := serve(t, answerOK, nil)
	c := s.dial()
	c.send(get)
	c.answered("ok")
	c.checkMalformedRequest()
}
