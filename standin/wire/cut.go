package wire

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// CutWay is what happens to a host's connections while it is cut off.
type CutWay int

// The ways of a cut.
const (
	NotCut        CutWay = iota
	CutHangs             // connections hang, and dials last until their deadline
	CutResets            // connections are reset, and dials refused
	CutRefusesNew        // dials are refused, open connections go on
)

// errRefused is the error of a dial that is refused.
var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// CutDialer dials one host's connections to all upstreams and can cut them off, while the
// host's other connections go on.
type CutDialer struct {
	Dialer
	mu      sync.Mutex
	way     CutWay
	changed chan struct{} // closed when way changes; nil: no cut so far
	conns   map[*cutConn]struct{}
}

// Cut cuts the host off in a way, or ends the cut. Connections that hung go on.
func (d *CutDialer) Cut(way CutWay) {
	d.mu.Lock()
	if d.changed != nil {
		close(d.changed)
	}
	d.way, d.changed = way, make(chan struct{})
	var reset []*cutConn
	for c := range d.conns {
		if way == CutResets {
			reset = append(reset, c)
		}
	}
	d.mu.Unlock()
	for _, c := range reset {
		_ = c.Close()
	}
}

// current returns the way and a channel that is closed when it changes.
func (d *CutDialer) current() (CutWay, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.way, d.changed
}

// DialContext implements conn.Dialer.
func (d *CutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for way, changed := d.current(); way != NotCut; way, changed = d.current() {
		if way != CutHangs {
			return nil, errRefused
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
	nc, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: nc, dialer: d, closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = map[*cutConn]struct{}{}
	}
	d.conns[c] = struct{}{}
	return c, nil
}

// cutConn is a connection that hangs or ends while its host is cut off.
type cutConn struct {
	net.Conn
	dialer    *CutDialer
	closed    chan struct{}
	closeOnce sync.Once
}

// Read implements net.Conn. What arrives during a cut is held until its end.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	return n, c.awaitPath()
}

// Write implements net.Conn. Bytes written during a cut are held until its end.
func (c *cutConn) Write(p []byte) (int, error) {
	if err := c.awaitPath(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// awaitPath returns once the connection does not hang.
func (c *cutConn) awaitPath() error {
	for way, changed := c.dialer.current(); way == CutHangs; way, changed = c.dialer.current() {
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return nil
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}
