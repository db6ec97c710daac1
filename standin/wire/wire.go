// Package wire adds faults and delays to the connections of stand-ins: a listener
// whose accepted connections can become unresponsive for good, as when a device
// between the two ends has lost its record of them, and a dialer that adds the
// delay of a distance.
package wire

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a listener whose connections can be made unresponsive or closed.
type Listener struct {
	net.Listener

	mu        sync.Mutex
	conns     map[*conn]struct{}
	freezeNew bool // connections accepted from now on are unresponsive
}

// NewListener wraps ln.
func NewListener(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &conn{Conn: c, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	fc.frozen.Store(l.freezeNew)
	l.conns[fc] = struct{}{}
	return fc, nil
}

// Freeze makes every accepted connection unresponsive for good: what arrives on it
// is lost, and so is what is written to it. New connections work unless newToo is
// set; Thaw lets new ones work again.
func (l *Listener) Freeze(newToo bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freezeNew = newToo
	for c := range l.conns {
		c.frozen.Store(true)
	}
}

// Thaw lets connections accepted from now on work.
func (l *Listener) Thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freezeNew = false
}

// CloseConnections closes every accepted connection, as when the process
// terminates.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

type conn struct {
	net.Conn
	listener  *Listener
	frozen    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.frozen.Load() {
		<-c.closed // the bytes are lost; the other end receives nothing
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
