package drain

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	quiet   phase = iota // nothing came, ever or since the last answer
	busy                 // a request is read, handled or answered
	closing              // it was quiet and is to be closed, unless a request is read first
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
	s *Server

	// mu makes a change of phase one step with the deadline that belongs to it.
	// It is taken after the Server's.
	mu    sync.Mutex
	phase phase
	why   Reason        // of closing
	since time.Duration // from the Server's begin to the last change to quiet; 0: no answer yet

	// unread says that bytes of the last request may still come.
	unread  atomic.Bool
	lingers atomic.Bool

	// Of the HTTP server's goroutine, and of the reads that it starts.
	waits bool // the answer is written, and the next read waits for the next request
	ahead bool // the last read brought the first byte of the next request
}

// past ends a read that waits.
var past = time.Unix(1, 0)

// choose takes a quiet connection for closing. What it waits for ends: when
// that has brought a request, it is served, else the HTTP server closes the
// connection. Only the read knows; a close from here could come after it has
// taken a request, and the request would have no answer.
func (c *conn) choose(why Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != quiet {
		return
	}
	c.phase, c.why = closing, why
	_ = c.Conn.SetReadDeadline(past)
}

// doing returns the phase and, of a quiet connection that had an answer, since when.
func (c *conn) doing() (phase, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.rest()
	if err := c.chosen(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begin()
		c.ahead = len(p) == aheadRead
		return n, err
	}
	if err := c.chosen(); err != nil {
		return 0, err
	}
	return n, err
}

// chosen is the error of a connection that is being closed.
func (c *conn) chosen() error {
	c.mu.Lock()
	phase, why := c.phase, c.why
	c.mu.Unlock()
	if phase != closing {
		return nil
	}
	if f := c.s.cfg.Closing; f != nil {
		f(c.Conn, why)
	}
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// begin notes that bytes of a request were read. The HTTP server bounds a head
// from its fourth byte on; a connection with one to three would stay for ever.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == busy {
		return
	}
	c.phase = busy
	c.boundHead()
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = quiet, time.Since(c.s.began)
}

func (c *conn) boundHead() {
	until := time.Time{}
	if most := c.s.cfg.Server.ReadHeaderTimeout; most > 0 {
		until = time.Now().Add(most)
	}
	_ = c.Conn.SetReadDeadline(until)
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
	if p, _ := c.doing(); p == busy && c.unread.Load() && c.lingers.CompareAndSwap(false, true) {
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
