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

// traps dial a node's connections to upstreams, and act at two moments in the
// life of an attempt of a request that may not be repeated: its claim stands
// and no byte of it is out, or all of it is out and no byte of the answer is
// read. The connection to the upstream is made only after the first act.
type traps struct {
	net.Dialer
	mu             sync.Mutex
	before, behind func()
}

// set arms the traps for one attempt; nil leaves one as it is.
func (d *traps) set(before, behind func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before != nil {
		d.before = before
	}
	if behind != nil {
		d.behind = behind
	}
}

func (d *traps) take(f *func()) func() {
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
func (d *traps) DialContext(_ context.Context, network, address string) (net.Conn, error) {
	return &trapped{traps: d, network: network, address: address, ended: make(chan struct{})}, nil
}

// trapped is one connection, dialled at its first write.
type trapped struct {
	net.Conn
	traps            *traps
	network, address string
	claimed          bool
	mu               sync.Mutex // guards Conn until it is dialled, and closed
	closed           bool
	ended            chan struct{}
}

// Write implements net.Conn.
func (c *trapped) Write(p []byte) (int, error) {
	if c.Conn == nil {
		if bytes.Contains(p, []byte(engineapi.HeaderForIncarnation)) {
			c.claimed = true
			c.traps.take(&c.traps.before)()
		}
		if err := c.dial(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

func (c *trapped) dial() error {
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
func (c *trapped) Read(p []byte) (int, error) {
	if c.claimed {
		act := c.traps.take(&c.traps.behind)
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
func (c *trapped) Close() error {
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

// trappedPath is a path whose node n1 has traps; other nodes have none.
func trappedPath(t testing.TB, change ...func(*local.NodeConfig)) (*path, *traps) {
	t.Helper()
	return trappedPathOf(t, &path{answerBytes: 1 << 20, services: 1}, change...)
}

func trappedPathOf(t testing.TB, p *path, change ...func(*local.NodeConfig)) (*path, *traps) {
	t.Helper()
	d := &traps{}
	change = append(change, func(c *local.NodeConfig) {
		if c.Settings.Host == "n1" {
			c.Dialer = d
		}
	})
	return newPathOf(t, p, slow, change...), d
}
