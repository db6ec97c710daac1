package drain

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// pair returns a tracked connection, as its server has it, and its caller's end.
func pair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(Config{Listener: ln, Server: &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}})
	caller, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	nc, err := trackingListener{ln, s}.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _, _ = caller.Close(), nc.Close(), ln.Close() })
	return nc.(*conn), caller
}

// Symptom: a caller's connection is reset although its request had arrived.
// Sequence: a connection is asked to close while it has bytes to be read.
// Cause: the close destroys them unread.
func TestPendingBytesKeepAConnectionOpen(t *testing.T) {
	c, caller := pair(t)
	_, err := io.WriteString(caller, "GET")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !c.hasPending() {
			return poll.Continue("nothing came")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	c.requestClose(Shutdown)
	buf := make([]byte, 8)
	n, err := c.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "GET")
	assert.Equal(t, c.phase.Load(), phaseBusy)
	_, err = io.WriteString(caller, " /")
	assert.NilError(t, err)
	n, err = c.Read(buf)
	assert.NilError(t, err, "the remainder of the head is read too")
	assert.Equal(t, string(buf[:n]), " /")
}

// Symptom: a shutdown hangs on a connection without a request.
// Sequence: the connection is asked to close; the server then sets its own
// deadline for the wait for the next request, or has set none.
// Cause: the server's deadline replaces the one that ends that wait.
func TestARequestedCloseIsNotDelayedByTheServersDeadlines(t *testing.T) {
	c, caller := pair(t)
	done := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 8))
		done <- err
	}()
	c.requestClose(IdleTimeout)
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	select {
	case err := <-done:
		assert.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(5 * time.Second):
		t.Fatal("the read does not end")
	}
	assert.Equal(t, c.phase.Load(), phaseClosing)
	_, err := io.WriteString(caller, "GET")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 8))
	assert.Assert(t, err != nil, "nothing is read any more")
	assert.Equal(t, c.s.DrainStep(), 0)
}

// Symptom: a shutdown takes its whole grace period, and connections of callers
// that do not read stay open for ever.
// Sequence: a caller sends one request after the other and reads no answer; the
// server has handled one and writes its answer.
// Cause: a handler's own write deadline ends with it; what the server writes
// after that has none.
func TestACallerThatDoesNotReadIsNotAwaitedForLong(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 2000) // an answer that the server buffers until the handler has returned
	var s *served
	s = serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }, func() {
		select {
		case <-s.idle: // no test waits for it here
		default:
		}
	})
	c := s.dial()
	assert.NilError(t, c.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	go func() { _, _ = io.WriteString(c, strings.Repeat(get, 20000)) }()
	within(t, "the connection ends", s.closed)
}

// Symptom: a secured caller's first request ends without an answer at a shutdown.
// Sequence: a server short of processor time read its head a while ago; the
// connection counts as unused and is asked to close; then the server has parsed
// the head.
// Cause: only the reader can cancel the close, and it has nothing more to read.
func TestAHeadThatWasReadKeepsItsConnection(t *testing.T) {
	c, _ := pair(t)
	c.handshakeDone.Store(true)
	c.tryBegin()
	c.s.startedAt = time.Now().Add(-2 * handshakeGrace)
	c.requestClose(Shutdown)
	assert.Equal(t, c.phase.Load(), phaseCloseRequested)
	c.s.cfg.Server.ConnState(c, http.StateActive)
	assert.Equal(t, c.phase.Load(), phaseBusy)
	assert.Equal(t, c.s.DrainStep(), 1)
	assert.Equal(t, c.phase.Load(), phaseBusy, "the connection is used now")
}
