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
	quiet   int32 = iota // nothing came, ever or since the last answer
	busy                 // a request is read, handled or answered
	asked                // it was quiet, and is to be closed unless a request comes first
	closing              // it is being closed, and nothing more is read
)

const (
	// restBound is how long the rest of a body that a handler left is read
	// before its connection is closed; a caller that trickles it holds no more.
	restBound = time.Second
	// lingerBound is how long a connection is read from after its last answer
	// when its caller may still send; a few round trips, or 1 MB at 8 Mbit/s.
	lingerBound = time.Second
	// lingerBytes is how much is read then: twice a usual bound of bodies.
	lingerBytes = 8 << 20
	// answerBound is how long the HTTP server may take to write what a handler
	// left of its answer: 4 KB at most, whose caller may not read. Longer than a
	// way to the caller is usually cut for, so that what waits still arrives.
	answerBound = 5 * time.Second
	// handshakeRest is how long after its handshake a secured connection counts as
	// one without a request. The beginning of one may have come in the same packet,
	// which cannot be seen; its rest follows within a round trip.
	handshakeRest = 500 * time.Millisecond
)

// conn knows from the first byte on that a request is being read.
type conn struct {
	net.Conn
	s     *Server
	phase atomic.Int32
	limit sync.Mutex   // held over a change of the deadline of reads, with the phase that it goes by
	why   Reason       // it is asked
	since atomic.Int64 // from the Server's begin to the last change to quiet, ns; 0: no answer yet
	// unread says that bytes of the last request may still come.
	unread  atomic.Bool
	lingers atomic.Bool
	heard   atomic.Int64 // from the Server's begin to the last bytes read, ns
	shaken  atomic.Bool  // the handshake is done
	used    atomic.Bool  // bytes came since, or a request was read

	// Of the HTTP server's goroutine, and of the reads that it starts.
	waits   bool // the answer is written, and the next read waits for the next request
	bounded bool // the wait for it has its bound
	room    int  // of the server's buffer when it is empty; plain connections only
}

// kept says whether the connection had an answer.
func (c *conn) kept() bool { return c.since.Load() > 0 }

// rested is how long a kept connection had no request at the time now.
func (c *conn) rested(now time.Duration) time.Duration {
	if !c.kept() {
		return 0
	}
	return now - time.Duration(c.since.Load())
}

// past ends a wait for bytes at once.
var past = time.Unix(1, 0)

// ask has a connection without a request closed by its reader, unless one comes first.
func (c *conn) ask(why Reason) {
	c.limit.Lock()
	defer c.limit.Unlock()
	from := quiet
	if c.unused() {
		from = busy
	}
	if c.phase.Load() != from {
		return
	}
	c.why = why // before the phase, after which the reader goes by it
	if c.phase.CompareAndSwap(from, asked) {
		_ = c.Conn.SetReadDeadline(past) // it fails on one that has ended, whose reader sees that by itself
	}
}

// unused says that a secured connection has had its handshake and no request.
// Callers open some in advance; each would hold a stop until the bound of heads.
func (c *conn) unused() bool {
	if !c.shaken.Load() || c.used.Load() || c.phase.Load() != busy {
		return false
	}
	return time.Since(c.s.began)-time.Duration(c.heard.Load()) > handshakeRest
}

// SetReadDeadline implements net.Conn. The HTTP server's own bounds do not put
// off the end of a connection that is asked to close.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.told(t)
	c.limit.Lock()
	defer c.limit.Unlock()
	if p := c.phase.Load(); p == asked || p == closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// told notes what the HTTP server's bounds tell of its next read. After an
// answer it bounds the wait, and then the head, if it has four bytes of one. It
// bounds handshakes, and lifts that when they are done.
func (c *conn) told(t time.Time) {
	if c.waits {
		c.waits, c.bounded = !c.bounded, true
	}
	if c.s.cfg.Secure != nil && t.IsZero() {
		c.shaken.Store(true)
	}
}

// begin says whether a request may begin or go on.
func (c *conn) begin() bool {
	if c.phase.CompareAndSwap(quiet, busy) || c.phase.Load() == busy {
		return true
	}
	return c.stay()
}

// stay makes a connection busy that was asked to close.
func (c *conn) stay() bool {
	c.limit.Lock()
	defer c.limit.Unlock()
	if !c.phase.CompareAndSwap(asked, busy) {
		return c.phase.Load() == busy
	}
	until := time.Time{}
	if most := c.s.cfg.Server.ReadHeaderTimeout; most > 0 {
		until = time.Now().Add(most)
	}
	_ = c.Conn.SetReadDeadline(until)
	return true
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.room == 0 {
		c.room = len(p)
	}
	c.rest(len(p))
	next := c.phase.Load() != busy && c.kept()
	n, err := c.Conn.Read(p)
	if n <= 0 && c.phase.Load() == asked {
		n, err = c.part(p, err)
	}
	if n <= 0 {
		return n, err
	}
	c.heard.Store(int64(time.Since(c.s.began)))
	if c.shaken.Load() {
		c.used.Store(true)
	}
	if !c.begin() {
		return 0, c.ended() // this process has ended it by force
	}
	if next {
		c.boundHead()
	}
	return n, err
}

// part closes a connection that was asked to close, after a read that brought
// nothing but err. Bytes that came before the read was woken are a request that
// a close would destroy; they are read.
func (c *conn) part(p []byte, err error) (int, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.pending() && c.stay() {
		return c.Conn.Read(p)
	}
	if !c.phase.CompareAndSwap(asked, closing) {
		return 0, err
	}
	if c.s.cfg.BeforeClose != nil {
		c.s.cfg.BeforeClose(c.Conn, c.why)
	}
	return 0, c.ended()
}

// ended is the error of a read from a connection that is being closed. The HTTP
// server takes it for the end of the connection, and answers nothing.
func (c *conn) ended() error {
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// pending says whether bytes wait to be read.
func (c *conn) pending() bool {
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
		var one [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// rest makes the connection quiet when the HTTP server reads on after an
// answer, up to size bytes. It does so only when it has handled all that it has
// read; what waits in its buffer takes of the room for the next read.
func (c *conn) rest(size int) {
	if !c.waits {
		return
	}
	c.waits = false
	if c.s.cfg.Secure == nil && size < c.room {
		c.boundHead()
		return
	}
	c.since.Store(int64(time.Since(c.s.began)))
	c.phase.Store(quiet)
}

// boundHead bounds the rest of a head: the HTTP server does so from the fourth
// byte on, and a connection with one to three would stay for ever.
func (c *conn) boundHead() {
	if most := c.s.cfg.Server.ReadHeaderTimeout; most > 0 {
		_ = c.SetReadDeadline(time.Now().Add(most))
	}
}

// handled bounds how long the rest of a body is read that a handler left. It
// must not when nothing is left: the deadline would end the read that tells
// whether the caller is gone.
//
// An answer whose length is known is whole now. It leaves at once, and the rest
// is read before the HTTP server closes the connection; without a length, the
// answer's last chunk would wait for that.
func (c *conn) handled(w http.ResponseWriter, rest *body, returned bool) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(answerBound)) // the HTTP server lifts it before the next request
	c.unread.Store(!rest.whole)
	if rest.whole {
		return
	}
	_ = rc.SetReadDeadline(time.Now().Add(restBound))
	if !returned || w.Header().Get("Content-Length") == "" {
		return
	}
	_ = rc.Flush()
	_, _ = io.CopyN(io.Discard, rest, lingerBytes)
	c.unread.Store(!rest.whole)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.unread.Load() && c.phase.Load() == busy && c.lingers.CompareAndSwap(false, true) {
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
	over := c.s.over
	c.s.mu.Unlock()
	if over {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerBound))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// body notes whether a handler has read all of it.
type body struct {
	io.ReadCloser
	whole bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}
