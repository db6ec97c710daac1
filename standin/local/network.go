package local

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var errCut = errors.New("network is cut")

// network carries the connections between nodes: it counts their bytes, and
// can be cut around a data centre.
type network struct {
	bytes atomic.Int64 // sent, by either side
	mu    sync.Mutex
	cut   string            // data centre that nothing enters or leaves; "": none
	place map[string]string // data centre by peer address
	conns map[*netConn]struct{}
}

func newNetwork() *network {
	return &network{place: map[string]string{}, conns: map[*netConn]struct{}{}}
}

func (n *network) locate(address, dataCentre string) {
	n.mu.Lock()
	n.place[address] = dataCentre
	n.mu.Unlock()
}

// Cut separates a data centre; "" heals.
func (n *network) Cut(dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = dataCentre
	for c := range n.conns {
		if n.crossesLocked(c.from, c.to) {
			_ = c.Conn.Close()
		}
	}
}

func (n *network) crossesLocked(from, to string) bool {
	return n.cut != "" && (from == n.cut) != (to == n.cut)
}

// Cuts says whether a data centre is cut off from the platform too.
func (n *network) Cuts(dataCentre string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != "" && n.cut == dataCentre
}

// from returns the dialer of a node in a data centre.
func (n *network) from(dataCentre string) *netDialer { return &netDialer{n: n, from: dataCentre} }

type netDialer struct {
	n    *network
	from string
	base net.Dialer
}

// DialContext implements conn.Dialer.
func (d *netDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.n.mu.Lock()
	to := d.n.place[address]
	crosses := d.n.crossesLocked(d.from, to)
	d.n.mu.Unlock()
	if crosses {
		return nil, errCut
	}
	c, err := d.base.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	nc := &netConn{Conn: c, n: d.n, from: d.from, to: to}
	d.n.mu.Lock()
	d.n.conns[nc] = struct{}{}
	d.n.mu.Unlock()
	return nc, nil
}

// netConn counts both directions at the side that dialled.
type netConn struct {
	net.Conn
	n        *network
	from, to string
}

// Read implements net.Conn.
func (c *netConn) Read(p []byte) (int, error) {
	k, err := c.Conn.Read(p)
	c.n.bytes.Add(int64(k))
	return k, err
}

// Write implements net.Conn.
func (c *netConn) Write(p []byte) (int, error) {
	k, err := c.Conn.Write(p)
	c.n.bytes.Add(int64(k))
	return k, err
}

// Close implements net.Conn.
func (c *netConn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}
