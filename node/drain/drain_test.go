package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gate stops the first goroutine that passes it after it was set, until it is
// released.
type gate struct {
	set              atomic.Bool
	reached, release chan struct{}
}

func newGate() *gate { return &gate{reached: make(chan struct{}), release: make(chan struct{})} }

func (h *gate) pass() {
	if h.set.CompareAndSwap(true, false) {
		close(h.reached)
		<-h.release
	}
}

// gatedListener accepts connections that a test can stop within their calls.
type gatedListener struct {
	net.Listener
	wasRead, write *gate // passed after bytes were read from the kernel, and before they are written to it
	reads, bytes   atomic.Int64
}

func (l *gatedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{nc.(*net.TCPConn), l}, nil
}

type gatedConn struct {
	*net.TCPConn
	l *gatedListener
}

func (c *gatedConn) Read(p []byte) (int, error) {
	c.l.reads.Add(1)
	n, err := c.TCPConn.Read(p)
	c.l.bytes.Add(int64(n))
	if n > 0 {
		c.l.wasRead.pass()
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.l.write.pass()
	return c.TCPConn.Write(p)
}

// headerTimeout is how long the tests' callers may take to send a head.
const headerTimeout = 2 * time.Second

// served is a Server under a test's control, with its connections.
type served struct {
	t      *testing.T
	ln     *gatedListener
	drain  *Server
	idle   chan struct{} // a connection waits for its next request
	closed chan struct{} // the server has closed a connection
	ran    atomic.Int64  // number of handlers that were called
}

// serve serves h; inIdle, if not nil, is called after a connection became idle
// and before the server reads on.
func serve(t *testing.T, h http.HandlerFunc, inIdle func()) *served {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &served{t: t, ln: &gatedListener{Listener: ln, wasRead: newGate(), write: newGate()},
		idle: make(chan struct{}, 10), closed: make(chan struct{}, 10)}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ran.Add(1)
		h(w, r)
	})
	server := &http.Server{Handler: counted, ReadHeaderTimeout: headerTimeout}
	s.drain = New(Config{Listener: s.ln, Server: server})
	state := server.ConnState
	server.ConnState = func(nc net.Conn, to http.ConnState) {
		state(nc, to)
		switch to {
		case http.StateIdle:
			if inIdle != nil {
				inIdle()
			}
			s.idle <- struct{}{}
		case http.StateClosed:
			s.closed <- struct{}{}
		}
	}
	done := make(chan error, 1)
	go func() { done <- s.drain.Serve() }()
	t.Cleanup(func() {
		s.drain.CloseListener()
		s.drain.Close()
		assert.NilError(t, <-done)
	})
	return s
}

// caller is a caller's end of a connection.
type caller struct {
	net.Conn
	t   *testing.T
	buf *bufio.Reader
}

func (s *served) dial() *caller {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.ln.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{nc, s.t, bufio.NewReader(nc)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// answer reads a complete answer and returns its body.
func (c *caller) answer() (string, error) {
	resp, err := http.ReadResponse(c.buf, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// answered checks the body of the next answer.
func (c *caller) answered(want string) {
	c.t.Helper()
	got, err := c.answer()
	assert.NilError(c.t, err)
	assert.Equal(c.t, got, want)
}

// stop makes drain steps, as a shutdown does, until no request is in progress,
// and then closes what is left.
func (s *served) stop() {
	s.t.Helper()
	for end := time.Now().Add(8 * time.Second); s.drain.DrainStep() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(end), "the stop does not end")
	}
	s.drain.Close()
}

// within waits for c.
func within(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(8 * time.Second):
		t.Fatalf("not within 8 s: %s", what)
	}
}

const get = "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n"

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// answerOKIfCallerWaits answers after a while, unless the server considers the
// caller disconnected.
func answerOKIfCallerWaits(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(50 * time.Millisecond):
		answerOK(w, r)
	}
}

// Symptom: a caller's connection ends without an answer although its whole
// request was read and was forwarded, or refused.
// Sequence: the handler has returned and the server has not written the answer
// yet, or a stream's last chunk; or the request is read and its handler has not
// begun. The shutdown finds no request in progress and closes every connection.
// Cause: only running handlers are counted as requests in progress. It shows in
// the result of the last drain step: 0 while a request is read or answered.
func TestRequestsInProgressAreCounted(t *testing.T) {
	t.Parallel()
	t.Run("short answer", func(t *testing.T) {
		var s *served
		s = serve(t, func(w http.ResponseWriter, r *http.Request) {
			answerOK(w, r)
			s.ln.write.set.Store(true)
		}, nil)
		c := s.dial()
		c.send(get)
		within(t, "the answer is written", s.ln.write.reached)
		assert.Equal(t, s.drain.DrainStep(), 1)
		close(s.ln.write.release)
		s.stop()
		c.answered("ok")
	})
	t.Run("end of a stream", func(t *testing.T) {
		var s *served
		s = serve(t, func(w http.ResponseWriter, r *http.Request) {
			answerOK(w, r)
			_ = http.NewResponseController(w).Flush()
			s.ln.write.set.Store(true)
		}, nil)
		c := s.dial()
		c.send(get)
		within(t, "the last chunk is written", s.ln.write.reached)
		assert.Equal(t, s.drain.DrainStep(), 1)
		close(s.ln.write.release)
		s.stop()
		c.answered("ok")
	})
	t.Run("head of the first request", func(t *testing.T) {
		s := serve(t, answerOK, nil)
		c := s.dial()
		readInHalves(s, c, 0)
	})
	t.Run("head of the next request", func(t *testing.T) {
		s := serve(t, answerOK, nil)
		c := s.dial()
		c.send(get)
		c.answered("ok")
		within(t, "the connection is idle", s.idle)
		eventually(t, func() bool { return s.ln.reads.Load() >= 3 }) // the request, the read ahead for the next, the next
		readInHalves(s, c, s.ln.reads.Load()-1)
	})
}

// readInHalves sends a request of which the server has read half at the first
// drain step. The connection was read from before times before it.
func readInHalves(s *served, c *caller, before int64) {
	s.t.Helper()
	half := len(get) / 2
	c.send(get[:half])
	eventually(s.t, func() bool { return s.ln.reads.Load() == before+2 }) // the server waits for the other half
	assert.Equal(s.t, s.drain.DrainStep(), 1)
	c.send(get[half:])
	s.stop()
	c.answered("ok")
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

// Symptom: a request runs at an upstream, and its caller gets neither an answer
// nor a refusal.
// Sequence: a kept-alive connection is selected to be closed, at a shutdown or
// because it is idle; the server's read has the next request already and has not
// reported it; or the request came together with the one before. The connection
// is closed and the request is handled, or what was read of it is dropped.
// Cause: whoever closes the connection decides on what only its reader knows. In
// 1366 shutdowns with 12,316 connections closed for being idle, 74 requests were
// handled on a connection that had been closed; in ten runs of restarts with
// callers 150 ms away seven callers got nothing, and each of their requests that
// was traced had come from a connection that the shutdown had just closed.
func TestARequestThatWasReadIsAnswered(t *testing.T) {
	t.Parallel()
	for name, choose := range map[string]func(*Server){
		"at a shutdown":     func(s *Server) { s.DrainStep() },
		"at the idle bound": func(s *Server) { s.CloseIdle(time.Now().Add(time.Hour), time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, answerOKIfCallerWaits, nil)
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
			assert.Equal(t, s.ran.Load(), int64(2))
			s.stop()
		})
		t.Run("pipelined, "+name, func(t *testing.T) {
			chosen := atomic.Bool{}
			var s *served
			s = serve(t, answerOKIfCallerWaits, func() {
				if chosen.CompareAndSwap(false, true) {
					choose(s.drain)
				}
			})
			c := s.dial()
			c.send(get + get)
			c.answered("ok")
			c.answered("ok")
			assert.Equal(t, s.ran.Load(), int64(2))
			s.stop()
		})
	}
}
