package local

import (
	"context"
	"net"
	"sync"
	"time"

	"peridotpier.example/node/server"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/conn"
)

// killSwitch separates a node from its peers, its upstreams and the platform services
// that it writes to. Once triggered, the node appears dead to them, whatever its
// goroutines still do.
type killSwitch struct {
	mu     sync.Mutex
	killed bool
	conns  map[net.Conn]struct{}
}

// killableDialer opens connections that its kill switch closes; once triggered, it opens
// no more.
type killableDialer struct {
	conn.Dialer
	killSwitch *killSwitch
}

func newKillSwitch() *killSwitch { return &killSwitch{conns: map[net.Conn]struct{}{}} }

// wrapDialer returns a dialer like d whose connections the kill switch closes; nil is
// a plain dialer.
func (k *killSwitch) wrapDialer(d conn.Dialer) killableDialer {
	if d == nil {
		d = &net.Dialer{}
	}
	return killableDialer{d, k}
}

func (k *killSwitch) trigger() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.killed = true
	for c := range k.conns {
		_ = c.Close()
	}
}

func (k *killSwitch) err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.killed {
		return store.ErrUnavailable
	}
	return nil
}

// DialContext implements conn.Dialer.
func (d killableDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	k := d.killSwitch
	if err := k.err(); err != nil {
		return nil, err
	}
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.killed {
		_ = c.Close()
		return nil, store.ErrUnavailable
	}
	kc := &killableConn{Conn: c, killSwitch: k}
	k.conns[c] = struct{}{}
	return kc, nil
}

type killableConn struct {
	net.Conn
	killSwitch *killSwitch
}

// Close implements net.Conn.
func (c *killableConn) Close() error {
	c.killSwitch.mu.Lock()
	delete(c.killSwitch.conns, c.Conn)
	c.killSwitch.mu.Unlock()
	return c.Conn.Close()
}

func (k *killSwitch) wrapPlatform(p server.Platform) server.Platform {
	out := server.Platform{Objects: p.Objects, Hosts: p.Hosts}
	if p.Table != nil {
		out.Table = killableTable{p.Table, k}
	}
	if p.Weights != nil {
		out.Weights = killableWeights{p.Weights, k}
	}
	return out
}

type killableTable struct {
	store.Table
	killSwitch *killSwitch
}

// Commit implements store.Table.
func (t killableTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if err := t.killSwitch.err(); err != nil {
		return 0, err
	}
	return t.Table.Commit(ctx, txn)
}

type killableWeights struct {
	store.Weights
	killSwitch *killSwitch
}

// AcquireLoad implements store.Weights.
func (w killableWeights) AcquireLoad(ctx context.Context, load string) (time.Duration, error) {
	if err := w.killSwitch.err(); err != nil {
		return 0, err
	}
	return w.Weights.AcquireLoad(ctx, load)
}
