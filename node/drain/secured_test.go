package drain

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gatedTLSListener stops a secured connection's reader once it has bytes.
type gatedTLSListener struct {
	net.Listener
	wasRead *gate
}

func (l gatedTLSListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedTLSConn{nc.(*tls.Conn), l.wasRead}, nil
}

type gatedTLSConn struct {
	*tls.Conn
	wasRead *gate
}

// NetConn is the connection below.
func (c gatedTLSConn) NetConn() net.Conn { return c.Conn }

func (c gatedTLSConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.wasRead.pass()
	}
	return n, err
}

// Symptom: a whole request was read, and its connection ends without an answer.
// Sequence: the first request of a secured connection is read, in one packet with
// the end of the handshake; the process stands still for a while before it says
// so; a stop looks.
// Cause: that nothing came for a while is taken for a handshake that is done.
func TestAStallIsNoUnusedConnection(t *testing.T) {
	for range 400 { // the read ahead and the handler begin side by side
		h := newGate()
		s := runWrapped(t, answerOK, func(ln net.Listener) net.Listener { return gatedTLSListener{ln, h} })
		c, err := s.dial()
		assert.NilError(t, err)
		_ = c.SetDeadline(time.Now().Add(8 * time.Second))
		h.set.Store(true)
		_, err = io.WriteString(c, get)
		assert.NilError(t, err)
		within(t, "the request is read", h.reached)
		s.backdateReads()
		s.DrainStep()
		assert.Equal(t, s.phases()[phaseCloseRequested], 1)
		close(h.release)
		answered(t, bufio.NewReader(c))
		_ = c.Close()
	}
}

// backdateReads has what was heard last on each connection, with the end of its
// handshake, lie in the past.
func (s *running) backdateReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.handshakeDone.Store(true)
		c.used.Store(false)
		c.lastRead.Store(-int64(2 * handshakeGrace))
	}
}

// Symptom: the end of a process is late by a second.
// Sequence: the rest of a refused body is awaited on a secured connection; the
// server is closed.
// Cause: what is secured is closed once, and is already.
func TestCloseEndsWhatIsAwaitedOnASecuredConnection(t *testing.T) {
	t.Parallel()
	s := run(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "no")
	}, true)
	c, err := s.dial()
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\n\r\nbo")
	assert.NilError(t, err)
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			return c.lingering.Load()
		}
		return false
	})
	began := time.Now()
	s.Close()
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
	assert.Assert(t, time.Since(began) < lingerTimeout/2, "%v", time.Since(began))
}
