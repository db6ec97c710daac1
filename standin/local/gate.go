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

// gate stands between a node and everything around it. Once shut, the node is
// as good as dead to the others, whatever its goroutines still do.
type gate struct {
	mu    sync.Mutex
	dead  bool
	conns map[net.Conn]struct{}
}

// dialer opens connections through a gate.
type dialer struct {
	conn.Dialer
	gate *gate
}

func newGate() *gate { return &gate{conns: map[net.Conn]struct{}{}} }

// through makes what d dials go through the gate.
func (g *gate) through(d conn.Dialer) dialer {
	if d == nil {
		d = &net.Dialer{}
	}
	return dialer{d, g}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
	for c := range g.conns {
		_ = c.Close()
	}
}

func (g *gate) err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return store.ErrUnavailable
	}
	return nil
}

// DialContext implements conn.Dialer.
func (d dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	g := d.gate
	if err := g.err(); err != nil {
		return nil, err
	}
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		_ = c.Close()
		return nil, store.ErrUnavailable
	}
	gc := &gatedConn{Conn: c, gate: g}
	g.conns[c] = struct{}{}
	return gc, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c.Conn)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

func (g *gate) platform(p server.Platform) server.Platform {
	out := server.Platform{Objects: p.Objects, Hosts: p.Hosts}
	if p.Table != nil {
		out.Table = gatedTable{p.Table, g}
	}
	if p.Weights != nil {
		out.Weights = gatedWeights{p.Weights, g}
	}
	return out
}

type gatedTable struct {
	store.Table
	gate *gate
}

// Commit implements store.Table.
func (t gatedTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if err := t.gate.err(); err != nil {
		return 0, err
	}
	return t.Table.Commit(ctx, txn)
}

type gatedWeights struct {
	store.Weights
	gate *gate
}

// AcquireLoad implements store.Weights.
func (w gatedWeights) AcquireLoad(ctx context.Context, load string) (time.Duration, error) {
	if err := w.gate.err(); err != nil {
		return 0, err
	}
	return w.Weights.AcquireLoad(ctx, load)
}
