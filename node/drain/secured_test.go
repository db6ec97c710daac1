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

// gatedTLSListener accepts secured connections whose reader a test can stop once
// it has bytes.
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

// NetConn returns the connection below the secured one.
func (c gatedTLSConn) NetConn() net.Conn { return c.Conn }

func (c gatedTLSConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.wasRead.pass()
	}
	return n, err
}

// Symptom: a complete request was read, and its connection ends without an answer.
// Sequence: the first request of a secured connection is read, in one packet with
// the end of the handshake; the process is stalled for a while before it reports
// the request; a drain step runs.
// Cause: a connection without reads for a while is treated as unused after its
// handshake.
func TestAStallIsNoUnusedConnection(t *testing.T) {
	for range 400 { // the read ahead and the handler begin concurrently
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

// backdateReads moves the last read of each connection, which completed its
// handshake, into the past.
func (s *running) backdateReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.handshakeDone.Store(true)
		c.used.Store(false)
		c.lastRead.Store(-int64(2 * handshakeGrace))
	}
}

// Symptom: a process ends a second late.
// Sequence: the remainder of a refused body is awaited on a secured connection;
// the server is closed.
// Cause: a TLS connection can be closed only once, and already is.
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
