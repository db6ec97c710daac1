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

// The phases of a connection. Only its reader sets phaseClosing: nobody else
// knows of bytes that have left the kernel, and a request among them would end
// without an answer. Others request the close and wake the reader.
const (
	phaseIdle           int32 = iota // nothing was read yet, or since the last answer
	phaseBusy                        // a request is being read, handled or answered
	phaseCloseRequested              // no request was in progress; to be closed unless a request comes first
	phaseClosing                     // being closed; nothing more is read
)

const (
	// bodyReadTimeout is how long the remainder of a body that a handler did not
	// read is awaited before the connection is closed. A caller that sends it byte
	// by byte cannot hold the connection for longer.
	bodyReadTimeout = time.Second
	// lingerTimeout is how long a connection is read from after its last answer if
	// its caller may still send: a few round trips, or 1 MB at 8 Mbit/s.
	lingerTimeout = time.Second
	// maxLingerBytes is how many bytes are read then: twice a usual limit of bodies.
	maxLingerBytes = 8 << 20
	// answerWriteTimeout is how long the HTTP server may take to write what is left
	// of an answer after its handler has returned: 4 KB at most, which the caller
	// may not read. It is longer than a usual network interruption, so that bytes
	// which wait for its end still arrive.
	answerWriteTimeout = 5 * time.Second
	// handshakeGrace is how long after its handshake a secured connection still
	// counts as one with a request. The beginning of a request may have come in the
	// same packet, which cannot be seen; its remainder follows within a round trip.
	handshakeGrace = 500 * time.Millisecond
)

// conn is a tracked connection. It detects a request at its first byte.
type conn struct {
	net.Conn
	s           *Server
	phase       atomic.Int32
	deadlineMu  sync.Mutex   // held while the read deadline changes together with the phase that it depends on
	closeReason Reason       // why the close is requested
	idleSince   atomic.Int64 // time of the last change to phaseIdle after an answer, ns since Server.startedAt; 0: no answer yet
	// mayHaveUnread is true while bytes of the last request may still come.
	mayHaveUnread atomic.Bool
	lingering     atomic.Bool
	lastRead      atomic.Int64 // time of the last read that returned bytes, ns since Server.startedAt
	handshakeDone atomic.Bool
	used          atomic.Bool // bytes came after the handshake, or a request was read
	resetOnClose  atomic.Bool // an answer that ends with the connection is not complete yet

	// Used only by the HTTP server's goroutine and the reads that it starts.
	awaitsNext  bool // the answer is written, and the next read waits for the next request
	waitBounded bool // the HTTP server has set the deadline of that wait
	bufferSize  int  // size of the HTTP server's read buffer when it is empty; used only without Secure
}

// keptAlive reports whether the connection has had an answer.
func (c *conn) keptAlive() bool { return c.idleSince.Load() > 0 }

// idleFor returns how long a connection that has had an answer has had no
// request, at the time now since Server.startedAt.
func (c *conn) idleFor(now time.Duration) time.Duration {
	if !c.keptAlive() {
		return 0
	}
	return now - time.Duration(c.idleSince.Load())
}

// past is a read deadline that ends a waiting read at once.
var past = time.Unix(1, 0)

// requestClose lets the reader of a connection without a request close it, unless
// a request comes first.
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
	c.closeReason = why // before the phase changes: the reader uses it after that
	if c.phase.CompareAndSwap(from, phaseCloseRequested) {
		_ = c.Conn.SetReadDeadline(past) // fails on a closed connection, which its reader notices by itself
	}
}

// isUnused reports whether a secured connection has completed its handshake and
// has had no request. Callers open some connections in advance; each would delay
// a shutdown until the timeout of heads.
func (c *conn) isUnused() bool {
	if !c.handshakeDone.Load() || c.used.Load() || c.phase.Load() != phaseBusy {
		return false
	}
	return time.Since(c.s.startedAt)-time.Duration(c.lastRead.Load()) > handshakeGrace
}

// SetReadDeadline implements net.Conn. The HTTP server's own deadlines do not
// delay the end of a connection whose close is requested.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.observeDeadline(t)
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if p := c.phase.Load(); p == phaseCloseRequested || p == phaseClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// observeDeadline records what the HTTP server's deadlines imply for its next
// read. After an answer the HTTP server sets a deadline for the wait for the next
// request, and then, once it has four bytes of a head, one for the head. It sets
// a deadline for the handshake and clears it when the handshake is done.
func (c *conn) observeDeadline(t time.Time) {
	if c.awaitsNext {
		c.awaitsNext, c.waitBounded = !c.waitBounded, true
	}
	if c.s.cfg.Secure != nil && t.IsZero() {
		c.handshakeDone.Store(true)
	}
}

// tryBegin reports whether a request may begin or continue.
func (c *conn) tryBegin() bool {
	if c.phase.CompareAndSwap(phaseIdle, phaseBusy) || c.phase.Load() == phaseBusy {
		return true
	}
	return c.cancelClose()
}

// cancelClose makes a connection busy whose close was requested, and reports
// whether it is busy now.
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
		return 0, c.closedError() // the connection is being closed
	}
	if firstBytes {
		c.boundHeader()
	}
	return n, err
}

// closeOrRead closes a connection whose close was requested, after a read that
// returned only err. If bytes arrived before the read was woken, they are the
// beginning of a request that a close would destroy; then it reads them instead.
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

// closedError returns the error of a read from a connection that is being closed.
// The HTTP server takes it as the end of the connection and answers nothing.
func (c *conn) closedError() error {
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// hasPending reports whether the kernel has bytes for the connection.
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
	err = raw.Control(func(fd uintptr) { // not Read, which the deadline would end
		var buf [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// markIdle makes the connection idle when the HTTP server, after an answer, reads
// up to size bytes more. The server does so only when it has handled all that it
// has read. Bytes that wait in its buffer reduce the size of the next read.
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

// boundHeader sets the deadline for the remainder of a head. The HTTP server does
// so only from the fourth byte on; a connection with one to three bytes of a head
// would stay open for ever.
func (c *conn) boundHeader() {
	if timeout := c.s.cfg.Server.ReadHeaderTimeout; timeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(timeout))
	}
}

// handlerReturned bounds how long the remainder of a body that a handler did not
// read is awaited. It sets no read deadline if nothing remains: the deadline would
// end the read that detects a disconnected caller.
//
// An answer with a Content-Length is complete now. It is written at once, and the
// remainder of the body is read before the HTTP server closes the connection.
// Without a Content-Length, the answer's last chunk would wait for that.
//
// An answer that broke off resets its connection here: the HTTP server closes a TLS
// connection with a message that its end is in order.
func (c *conn) handlerReturned(w http.ResponseWriter, body *trackedBody, returned bool) {
	if c.resetOnClose.Load() {
		_ = c.Conn.Close()
		return
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(answerWriteTimeout)) // the HTTP server clears it before the next request
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

// Write implements net.Conn. An answer that its caller did not read in time is broken: a close
// then drops what waits to be sent, which the kernel would send on for as long as it is read.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setResetOnClose(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.resetOnClose.Load() && c.mayHaveUnread.Load() && c.phase.Load() == phaseBusy && c.lingering.CompareAndSwap(false, true) {
		c.linger()
	}
	err := c.Conn.Close()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	delete(c.s.conns, c)
	return err
}

// linger reads what the caller still sends after its answer. If a connection is
// closed with bytes unread, it is reset, and the reset overtakes the answer.
func (c *conn) linger() {
	c.s.mu.Lock()
	stopped := c.s.stopped
	c.s.mu.Unlock()
	if stopped {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// trackedBody is a request body that records whether all of it was read.
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
