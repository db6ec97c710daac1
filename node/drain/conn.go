package drain

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The phases of a connection. The way from quiet is one change, so that a
// request that comes and a choice to close cannot both have it.
const (
	quiet   int32 = iota // nothing came, ever or since the last answer
	busy                 // a request is read, handled or answered
	closing              // it was quiet, and is being closed
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
	// aheadRead is the size of the reads by which the HTTP server notices, while
	// a handler runs, that the caller is gone. It begins them when the request is
	// whole: what they bring is of the next one.
	aheadRead = 1
)

// conn knows from the first byte on that a request is being read.
type conn struct {
	net.Conn
	s     *Server
	outer net.Conn // what the HTTP server has; under the Server's lock
	phase atomic.Int32
	since atomic.Int64 // from the Server's begin to the last change to quiet, ns; 0: no answer yet
	// unread says that bytes of the last request may still come.
	unread  atomic.Bool
	lingers atomic.Bool

	// Of the HTTP server's goroutine, and of the reads that it starts.
	waits bool // the answer is written, and the next read waits for the next request
	ahead bool // the last read brought the first byte of the next request
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

// choose takes a connection without a request for closing.
func (c *conn) choose() bool { return c.phase.CompareAndSwap(quiet, closing) }

// begin says whether a request may begin or go on.
func (c *conn) begin() bool {
	return c.phase.CompareAndSwap(quiet, busy) || c.phase.Load() == busy
}

// Read implements net.Conn. What comes out of a connection that is being closed
// is not handed on: it would be handled, and nobody be answered.
func (c *conn) Read(p []byte) (int, error) {
	c.rest()
	was := c.phase.Load()
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if !c.begin() {
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	if was == quiet && c.kept() {
		c.boundHead()
	}
	c.ahead = len(p) == aheadRead
	return n, err
}

// rest makes the connection quiet when the HTTP server reads on after an
// answer. It does so only when it has handled all that it has read.
func (c *conn) rest() {
	if !c.waits {
		return
	}
	c.waits = false
	if c.ahead {
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
		_ = c.Conn.SetReadDeadline(time.Now().Add(most))
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
	c.unread.Store(!rest.whole)
	if rest.whole {
		return
	}
	rc := http.NewResponseController(w)
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
