package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/settings"
)

// countedListener counts the reads of its only connection.
type countedListener struct {
	net.Listener
	begun, ended atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{nc, l}, nil
}

type countedConn struct {
	net.Conn
	l *countedListener
}

// NetConn returns the underlying connection.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

func (c *countedConn) Read(p []byte) (int, error) {
	c.l.begun.Add(1)
	defer c.l.ended.Add(1)
	return c.Conn.Read(p)
}

// stoppableListener is a listener that a test drains.
type stoppableListener struct {
	t     *testing.T
	reads *countedListener
	l     *listener
	dial  func(address string) (net.Conn, error)
	idle  chan struct{}
}

func newStoppableListener(t *testing.T, secured bool) *stoppableListener {
	t.Helper()
	s := &stoppableListener{t: t, reads: &countedListener{}, idle: make(chan struct{}, 10),
		dial: func(address string) (net.Conn, error) { return net.Dial("tcp", address) }}
	secure := func(ln net.Listener) net.Listener {
		s.reads.Listener = ln
		return s.reads
	}
	if secured {
		donor := httptest.NewTLSServer(nil)
		t.Cleanup(donor.Close)
		plain := secure
		secure = func(ln net.Listener) net.Listener {
			return tls.NewListener(plain(ln), &tls.Config{Certificates: donor.TLS.Certificates})
		}
		s.dial = func(address string) (net.Conn, error) {
			return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
		}
	}
	owner := &Server{cfg: Config{Settings: &settings.Settings{}}, log: event.NewLog(nil), metrics: metrics.New()}
	owner.limitClients()
	var err error
	s.l, err = owner.newListener("callers", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}), secure)
	assert.NilError(t, err)
	state := s.l.server.ConnState
	s.l.server.ConnState = func(nc net.Conn, to http.ConnState) {
		if state != nil {
			state(nc, to)
		}
		if to == http.StateIdle {
			s.idle <- struct{}{}
		}
	}
	done := make(chan error, 1)
	go func() { done <- s.l.serve() }()
	t.Cleanup(func() {
		s.l.close()
		assert.NilError(t, <-done)
	})
	return s
}

// sendRead sends text and waits until the server has read it and reads again.
func (s *stoppableListener) sendRead(c net.Conn, text string) {
	s.t.Helper()
	before := s.reads.ended.Load()
	_, err := io.WriteString(c, text)
	assert.NilError(s.t, err)
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if ended := s.reads.ended.Load(); ended == before || s.reads.begun.Load() == ended {
			return poll.Continue("not read")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

func answered(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "ok")
}

// Guards against a caller's connection that ends without an answer although its
// entire request was read: the listener is drained while the head of a request is
// being read, on a new connection or on one that has had an answer. The HTTP
// server's Shutdown treats a connection that has had an answer as idle until the
// next head is complete, and closes it; it also drops a request whose head it has
// just read.
func TestAShutdownServesARequestThatIsBeingRead(t *testing.T) {
	t.Parallel()
	const request = "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n"
	for _, secured := range []bool{false, true} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("secured %v, kept %v", secured, reused), func(t *testing.T) {
				s := newStoppableListener(t, secured)
				c, err := s.dial(s.l.address())
				assert.NilError(t, err)
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				answers := bufio.NewReader(c)
				if reused {
					_, err = io.WriteString(c, request)
					assert.NilError(t, err)
					answered(t, answers)
					<-s.idle
				}
				s.sendRead(c, request[:20])
				drained := make(chan error, 1)
				go func() { drained <- s.l.drain(t.Context()) }()
				s.waitClosed()
				_, err = io.WriteString(c, request[20:])
				assert.NilError(t, err)
				answered(t, answers)
				assert.NilError(t, <-drained)
			})
		}
	}
}

// waitClosed waits until the listener accepts no more connections, and long enough
// for the drain to check the open ones once.
func (s *stoppableListener) waitClosed() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		defer cancel()
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.l.address())
		if err != nil {
			return poll.Success()
		}
		_ = nc.Close()
		return poll.Continue("taken")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
	time.Sleep(100 * time.Millisecond)
}
