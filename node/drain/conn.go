package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The phases of a connection. Only its reader makes it closing: bytes that have
// left the kernel are known to nobody else, and a request among them would end
// without an answer. Who wants it closed asks, and wakes the reader.
const (
	phaseIdle           int32 = iota // nothing came, ever or since the last answer
	phaseBusy                        // a request is read, handled or answered
	phaseCloseRequested              // it was quiet, and is to be closed unless a request comes first
	phaseClosing                     // it is being closed, and nothing more is read
)

const (
	// bodyReadTimeout is how long the rest of a body that a handler left is read
	// before its connection is closed; a caller that trickles it holds no more.
	bodyReadTimeout = time.Second
	// lingerTimeout is how long a connection is read from after its last answer
	// when its caller may still send; a few round trips, or 1 MB at 8 Mbit/s.
	lingerTimeout = time.Second
	// maxLingerBytes is how much is read then: twice a usual bound of bodies.
	maxLingerBytes = 8 << 20
	// answerWriteTimeout is how long the HTTP server may take to write what a handler
	// left of its answer: 4 KB at most, whose caller may not read. Longer than a
	// way to the caller is usually cut for, so that what waits still arrives.
	answerWriteTimeout = 5 * time.Second
	// handshakeGrace is how long after its handshake a secured connection counts as
	// one without a request. The beginning of one may have come in the same packet,
	// which cannot be seen; its rest follows within a round trip.
	handshakeGrace = 500 * time.Millisecond
)

// conn knows from the first byte on that a request is being read.
type conn struct {
	net.Conn
	s           *Server
	phase       atomic.Int32
	deadlineMu  sync.Mutex   // held over a change of the deadline of reads, with the phase that it goes by
	closeReason Reason       // it is asked
	idleSince   atomic.Int64 // from the Server's begin to the last change to quiet, ns; 0: no answer yet
	// unread says that bytes of the last request may still come.
	mayHaveUnread atomic.Bool
	lingering     atomic.Bool
	lastRead      atomic.Int64 // from the Server's begin to the last bytes read, ns
	handshakeDone atomic.Bool  // the handshake is done
	used          atomic.Bool  // bytes came since, or a request was read

	// Of the HTTP server's goroutine, and of the reads that it starts.
	awaitsNext  bool // the answer is written, and the next read waits for the next request
	waitBounded bool // the wait for it has its bound
	bufferSize  int  // of the server's buffer when it is empty; plain connections only
}

// keptAlive says whether the connection had an answer.
func (c *conn) keptAlive() bool { return c.idleSince.Load() > 0 }

// idleFor is how long a kept connection had no request at the time now.
func (c *conn) idleFor(now time.Duration) time.Duration {
	if !c.keptAlive() {
		return 0
	}
	return now - time.Duration(c.idleSince.Load())
}

// past ends a wait for bytes at once.
var past = time.Unix(1, 0)

// requestClose has a connection without a request closed by its reader, unless one comes first.
func (c *conn) requestClose(why Reason) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	from := phaseIdle
	if c.isUnused() {
		from = phaseBusy
	}
	if c.phase.Load() != from {
		return
	}
	c.closeReason = why // before the phase, after which the reader goes by it
	if c.phase.CompareAndSwap(from, phaseCloseRequested) {
		_ = c.Conn.SetReadDeadline(past) // it fails on one that has ended, whose reader sees that by itself
	}
}

// isUnused says that a secured connection has had its handshake and no request.
// Callers open some in advance; each would hold a stop until the bound of heads.
func (c *conn) isUnused() bool {
	if !c.handshakeDone.Load() || c.used.Load() || c.phase.Load() != phaseBusy {
		return false
	}
	return time.Since(c.s.startedAt)-time.Duration(c.lastRead.Load()) > handshakeGrace
}

// SetReadDeadline implements net.Conn. The HTTP server's own bounds do not put
// off the end of a connection that is asked to close.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.observeDeadline(t)
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if p := c.phase.Load(); p == phaseCloseRequested || p == phaseClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// observeDeadline notes what the HTTP server's bounds tell of its next read. After an
// answer it bounds the wait, and then the head, if it has four bytes of one. It
// bounds handshakes, and lifts that when they are done.
func (c *conn) observeDeadline(t time.Time) {
	if c.awaitsNext {
		c.awaitsNext, c.waitBounded = !c.waitBounded, true
	}
	if c.s.cfg.Secure != nil && t.IsZero() {
		c.handshakeDone.Store(true)
	}
}

// tryBegin says whether a request may begin or go on.
func (c *conn) tryBegin() bool {
	if c.phase.CompareAndSwap(phaseIdle, phaseBusy) || c.phase.Load() == phaseBusy {
		return true
	}
	return c.cancelClose()
}

// cancelClose makes a connection busy that was asked to close.
func (c *conn) cancelClose() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.phase.CompareAndSwap(phaseCloseRequested, phaseBusy) {
		return c.phase.Load() == phaseBusy
	}
	deadline := time.Time{}
	if timeout := c.s.cfg.Server.ReadHeaderTimeout; timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.Conn.SetReadDeadline(deadline)
	return true
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.bufferSize == 0 {
		c.bufferSize = len(p)
	}
	c.markIdle(len(p))
	firstBytes := c.phase.Load() != phaseBusy && c.keptAlive()
	n, err := c.Conn.Read(p)
	if n <= 0 && c.phase.Load() == phaseCloseRequested {
		n, err = c.closeOrRead(p, err)
	}
	if n <= 0 {
		return n, err
	}
	c.lastRead.Store(int64(time.Since(c.s.startedAt)))
	if c.handshakeDone.Load() {
		c.used.Store(true)
	}
	if !c.tryBegin() {
		return 0, c.closedError() // this process has ended it by force
	}
	if firstBytes {
		c.boundHeader()
	}
	return n, err
}

// closeOrRead closes a connection that was asked to close, after a read that brought
// nothing but err. Bytes that came before the read was woken are a request that
// a close would destroy; they are read.
func (c *conn) closeOrRead(p []byte, err error) (int, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasPending() && c.cancelClose() {
		return c.Conn.Read(p)
	}
	if !c.phase.CompareAndSwap(phaseCloseRequested, phaseClosing) {
		return 0, err
	}
	if c.s.cfg.BeforeClose != nil {
		c.s.cfg.BeforeClose(c.Conn, c.closeReason)
	}
	return 0, c.closedError()
}

// closedError is the error of a read from a connection that is being closed. The HTTP
// server takes it for the end of the connection, and answers nothing.
func (c *conn) closedError() error {
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// hasPending says whether bytes wait to be read.
func (c *conn) hasPending() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { // not Read, which heeds the deadline
		var buf [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// markIdle makes the connection quiet when the HTTP server reads on after an
// answer, up to size bytes. It does so only when it has handled all that it has
// read; what waits in its buffer takes of the room for the next read.
func (c *conn) markIdle(size int) {
	if !c.awaitsNext {
		return
	}
	c.awaitsNext = false
	if c.s.cfg.Secure == nil && size < c.bufferSize {
		c.boundHeader()
		return
	}
	c.idleSince.Store(int64(time.Since(c.s.startedAt)))
	c.phase.Store(phaseIdle)
}

// boundHeader bounds the rest of a head: the HTTP server does so from the fourth
// byte on, and a connection with one to three would stay for ever.
func (c *conn) boundHeader() {
	if timeout := c.s.cfg.Server.ReadHeaderTimeout; timeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(timeout))
	}
}

// handlerReturned bounds how long the rest of a body is read that a handler left. It
// must not when nothing is left: the deadline would end the read that tells
// whether the caller is gone.
//
// An answer whose length is known is whole now. It leaves at once, and the rest
// is read before the HTTP server closes the connection; without a length, the
// answer's last chunk would wait for that.
func (c *conn) handlerReturned(w http.ResponseWriter, body *trackedBody, returned bool) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(answerWriteTimeout)) // the HTTP server lifts it before the next request
	c.mayHaveUnread.Store(!body.complete)
	if body.complete {
		return
	}
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if !returned || w.Header().Get("Content-Length") == "" {
		return
	}
	_ = rc.Flush()
	_, _ = io.CopyN(io.Discard, body, maxLingerBytes)
	c.mayHaveUnread.Store(!body.complete)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.mayHaveUnread.Load() && c.phase.Load() == phaseBusy && c.lingering.CompareAndSwap(false, true) {
		c.linger()
	}
	err := c.Conn.Close()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	delete(c.s.conns, c)
	return err
}

// linger reads what the caller still sends after its answer. A connection that
// is closed with bytes unread is reset, and the reset overtakes the answer.
func (c *conn) linger() {
	c.s.mu.Lock()
	over := c.s.stopped
	c.s.mu.Unlock()
	if over {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// trackedBody notes whether a handler has read all of it.
type trackedBody struct {
	io.ReadCloser
	complete bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}
