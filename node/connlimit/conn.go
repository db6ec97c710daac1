package connlimit

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// phase is what a connection does.
type phase uint8

// The phases.
const (
	incomplete phase = iota // no request has come yet, or one has begun and is not complete
	serving                 // a complete request is being served, or one that was refused is answered
	idle                    // the last request was answered
)

// Conn is a connection that a Limiter bounds.
type Conn struct {
	net.Conn
	listener *listener

	mu       sync.Mutex
	phase    phase
	since    time.Time // when the phase began
	held     int64     // memory of the request that is not finished
	inBody   bool      // its head has been read, and its handler reads the body
	refused  bool      // its body is not read any more
	answered bool      // an earlier request was answered
	closed   bool
}

// connState is the state of a connection at a time.
type connState struct {
	phase    phase
	since    time.Time
	held     int64
	answered bool
}

func (c *Conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func (c *Conn) snapshot() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connState{c.phase, c.since, c.held, c.answered}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.hold(int64(n)) {
		c.listener.limiter.enforceBytes()
	}
	return n, err
}

// hold adds bytes that were read. It returns false if the connection is closed.
func (c *Conn) hold(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.refused { // what comes of a refused request is read and dropped
		return false
	}
	if c.phase == idle {
		c.enterLocked(incomplete)
	}
	n *= c.weightLocked()
	c.held += n
	c.listener.limiter.held.Add(n)
	return true
}

// weightLocked returns how much memory a byte takes that is read now.
func (c *Conn) weightLocked() int64 {
	switch {
	case c.listener.writesFinish:
		return messageWeight
	case c.inBody:
		return bodyWeight
	}
	return headWeight
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.writesFinish {
		c.finished()
	}
	return c.Conn.Write(p)
}

// begun records that the head of a request was read, which may have come with the request
// before, and that its handler reads the body.
func (c *Conn) begun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.enterLocked(incomplete)
	}
	c.inBody = true
}

// complete records that the request was read completely: from now on it is being served,
// and the connection is not closed for others. It returns false if the request was refused.
func (c *Conn) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return false
	}
	c.enterLocked(serving)
	return true
}

// finished records that the request was answered: nothing of it is held.
func (c *Conn) finished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
	c.inBody, c.refused, c.answered = false, false, true
	c.enterLocked(idle)
}

// past is a read deadline that ends a waiting read at once.
var past = time.Unix(1, 0)

// refuse ends a request that holds too much. If a handler reads its body, the read fails, and
// the handler can still answer; else the connection is closed.
func (c *Conn) refuse() {
	c.mu.Lock()
	if c.phase != incomplete || c.closed { // since it was chosen
		c.mu.Unlock()
		return
	}
	if !c.inBody {
		c.mu.Unlock()
		c.closeFor(ByBytes)
		return
	}
	closed := c.describeLocked(ByBytes)
	c.refused = true
	c.releaseLocked()
	c.enterLocked(serving)
	c.mu.Unlock()
	c.listener.limiter.cfg.OnClosed(closed)
	_ = c.Conn.SetReadDeadline(past) // fails on a closed connection, which the handler notices by itself
}

func (c *Conn) enterLocked(p phase) { c.phase, c.since = p, time.Now() }

// releaseLocked takes what the connection holds from the sum.
func (c *Conn) releaseLocked() {
	c.listener.limiter.held.Add(-c.held)
	c.held = 0
}

// closeFor closes the connection with a reset, so that what its client goes on sending is not
// received.
func (c *Conn) closeFor(why Reason) {
	c.mu.Lock()
	closed := c.describeLocked(why)
	c.mu.Unlock()
	c.listener.limiter.cfg.OnClosed(closed)
	_ = c.SetLinger(0) // fails for a connection that has ended
	_ = c.Close()
}

func (c *Conn) describeLocked(why Reason) Closed {
	return Closed{Listener: c.listener.name, Client: c.RemoteAddr().String(), Reason: why, Held: c.held, Age: time.Since(c.since)}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	if first {
		c.releaseLocked()
	}
	c.mu.Unlock()
	if first {
		c.listener.limiter.remove(c)
	}
	return c.Conn.Close()
}

// SetLinger sets what becomes of unsent bytes at a close, if the connection supports it;
// see net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the sending direction, if the connection supports it.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
