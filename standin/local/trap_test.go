package local_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/local"
)

// trapDialer dials a node's connections to upstreams and calls functions at two moments
// of an attempt of a request that may not be repeated: beforeWrite after its claim is
// written and before its first byte is sent, and beforeRead after all of it is sent and
// before the first byte of the answer is read. The connection to the upstream is made
// only after beforeWrite.
type trapDialer struct {
	net.Dialer
	mu                      sync.Mutex
	beforeWrite, beforeRead func()
}

// set sets the functions, each of which is called for one attempt; nil leaves a function
// as it is.
func (d *trapDialer) set(beforeWrite, beforeRead func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if beforeWrite != nil {
		d.beforeWrite = beforeWrite
	}
	if beforeRead != nil {
		d.beforeRead = beforeRead
	}
}

func (d *trapDialer) take(f *func()) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	act := *f
	*f = nil
	if act == nil {
		act = func() {}
	}
	return act
}

// DialContext implements conn.Dialer.
func (d *trapDialer) DialContext(_ context.Context, network, address string) (net.Conn, error) {
	return &trapConn{traps: d, network: network, address: address, ended: make(chan struct{})}, nil
}

// trapConn is a connection that is dialled at its first write.
type trapConn struct {
	net.Conn
	traps            *trapDialer
	network, address string
	claimed          bool
	mu               sync.Mutex // guards closed, and Conn until it is dialled
	closed           bool
	ended            chan struct{}
}

// Write implements net.Conn.
func (c *trapConn) Write(p []byte) (int, error) {
	if c.Conn == nil {
		if bytes.Contains(p, []byte(engineapi.HeaderForIncarnation)) {
			c.claimed = true
			c.traps.take(&c.traps.beforeWrite)()
		}
		if err := c.dial(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

func (c *trapConn) dial() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	var err error
	c.Conn, err = c.traps.Dial(c.network, c.address)
	return err
}

// Read implements net.Conn.
func (c *trapConn) Read(p []byte) (int, error) {
	if c.claimed {
		act := c.traps.take(&c.traps.beforeRead)
		done := make(chan struct{})
		go func() { defer close(done); act() }()
		select {
		case <-done:
		case <-c.ended:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *trapConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	close(c.ended)
	if c.Conn == nil {
		return nil
	}
	return c.Conn.Close()
}

// newTrappedFixture returns a fixture with slowEngine whose node n1 has the returned
// trapDialer; other nodes have none.
func newTrappedFixture(t testing.TB, change ...func(*local.NodeConfig)) (*fixture, *trapDialer) {
	t.Helper()
	return newTrappedFixtureWith(t, &fixture{answerBytes: 1 << 20, serviceCount: 1}, change...)
}

func newTrappedFixtureWith(t testing.TB, p *fixture, change ...func(*local.NodeConfig)) (*fixture, *trapDialer) {
	t.Helper()
	d := &trapDialer{}
	change = append(change, func(c *local.NodeConfig) {
		if c.Settings.Host == "n1" {
			c.Dialer = d
		}
	})
	return newFixtureWith(t, p, slowEngine, change...), d
}
