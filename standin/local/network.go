package local

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var errIsolated = errors.New("data centre is isolated from the network")

// network carries the connections that nodes dial. It counts their bytes and can
// isolate one data centre.
type network struct {
	bytes       atomic.Int64 // read and written by the dialling sides
	mu          sync.Mutex
	isolated    string            // data centre that no connection enters or leaves; "": none
	dataCentres map[string]string // data centre by peer address
	conns       map[*netConn]struct{}
}

func newNetwork() *network {
	return &network{dataCentres: map[string]string{}, conns: map[*netConn]struct{}{}}
}

func (n *network) setDataCentre(address, dataCentre string) {
	n.mu.Lock()
	n.dataCentres[address] = dataCentre
	n.mu.Unlock()
}

// Isolate closes the connections into and out of a data centre and refuses new ones;
// "" ends the isolation.
func (n *network) Isolate(dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = dataCentre
	for c := range n.conns {
		if n.crossesLocked(c.from, c.to) {
			_ = c.Conn.Close()
		}
	}
}

func (n *network) crossesLocked(from, to string) bool {
	return n.isolated != "" && (from == n.isolated) != (to == n.isolated)
}

// IsIsolated reports whether a data centre is isolated, and so cannot reach the
// platform either.
func (n *network) IsIsolated(dataCentre string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated != "" && n.isolated == dataCentre
}

// dialerFrom returns the dialer for the nodes of a data centre.
func (n *network) dialerFrom(dataCentre string) *netDialer { return &netDialer{n: n, from: dataCentre} }

type netDialer struct {
	n    *network
	from string
	base net.Dialer
}

// DialContext implements conn.Dialer.
func (d *netDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.n.mu.Lock()
	to := d.n.dataCentres[address]
	crosses := d.n.crossesLocked(d.from, to)
	d.n.mu.Unlock()
	if crosses {
		return nil, errIsolated
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

// netConn counts the bytes of both directions at the dialling side.
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
