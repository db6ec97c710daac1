package drain

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a request is cut by the end of a process that had nothing under way.
// Sequence: a connection is asked to close; before it has, its request comes.
// Cause: one that is asked counts as closed, or a new one is not asked at all.
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

// Symptom: callers who have just connected are sent away while the host still answers others.
// Sequence: a new connection has sent nothing yet; a stop looks, or the idle bound does.
// Cause: a new connection is taken for one that rests.
func TestANewConnectionIsAskedLast(t *testing.T) {
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

// Symptom: a caller waits for the end of an answer that says it is the last.
// Sequence: it is refused before its body is sent, and sends no more of it.
// Cause: the connection is not half closed while the rest may still come.
func TestTheEndOfTheLastAnswerIsTold(t *testing.T) {
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

// Symptom: a caller gets the beginning of an answer whose handler gave none.
// Sequence: the handler says how long its answer is, and breaks off; the body of
// its request is not read.
// Cause: what is written on return is written on a panic, too.
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
// Cause: the rest of the body is awaited before the answer's last chunk is written.
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

// Symptom: a caller who asks before it sends a body has its refusal a second late.
// Sequence: it expects 100 Continue, is refused and sends nothing.
// Cause: the server does not recognize the body of the request that it made.
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

// Symptom: a stop lasts a second longer for each connection that rests.
// Sequence: a connection had an answer; it is asked to close.
// Cause: more of a request is awaited where none has begun.
func TestARestingConnectionClosesAtOnce(t *testing.T) {
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

// Symptom: a caller sees a reset in place of the server's own answer.
// Sequence: the head that is none comes after an answer.
// Cause: what may still come counts of a connection's first request only.
func TestTheServersOwnAnswersArriveOnKeptConnections(t *testing.T) {
	t.Parallel()
	s := serve(t, answerOK, nil)
	c := s.dial()
	c.send(get)
	c.answered("ok")
	c.checkMalformedRequest()
}
