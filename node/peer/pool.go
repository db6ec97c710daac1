package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/member"
	"peridotpier.example/node/peer/peerpb"
)

// callTimeout bounds one call to a peer, and the dialling of one.
const callTimeout = 2 * time.Second

// Dial opens a connection to a peer's listener, with TLS where it is configured.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// connPool keeps one connection per peer address, for calls outside the links.
type connPool struct {
	dial      Dial
	mu        sync.Mutex
	byAddress map[string]*drpcconn.Conn
	closed    bool
}

func newConnPool(d Dial) *connPool { return &connPool{dial: d, byAddress: map[string]*drpcconn.Conn{}} }

// dialNew opens a connection that is not in the pool. The caller must close it.
func (p *connPool) dialNew(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(nc), nil
}

// get returns the pool's connection to an address, and opens one if there is none
// or it is closed.
func (p *connPool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	c := p.byAddress[address]
	p.mu.Unlock()
	if c != nil && !isClosed(c) {
		return c, nil
	}
	c, err := p.dialNew(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	if other := p.byAddress[address]; other != nil && !isClosed(other) { // another call has dialled meanwhile and uses it
		_ = c.Close()
		return other, nil
	}
	p.byAddress[address] = c
	return c, nil
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// call makes one call. A connection on which a call failed is not used again. The
// error is a *fault.Error with an unknown outcome.
func (p *connPool) call(ctx context.Context, address string, f func(peerpb.DRPCPeerClient) error) error {
	c, err := p.get(ctx, address)
	if err == nil {
		if err = f(peerpb.NewDRPCPeerClient(c)); err != nil {
			p.discard(address, c)
		}
	}
	if err != nil {
		return fault.Unknown(fault.StepPeer, address, fault.CodeInternal, "%w", err)
	}
	return nil
}

// discard closes a connection and removes it from the pool.
func (p *connPool) discard(address string, c *drpcconn.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress[address] == c {
		delete(p.byAddress, address)
	}
}

// probe asks a host for its record. It always uses a new connection, since an open
// one may have become unresponsive.
func (p *connPool) probe(ctx context.Context, h member.Host) (*peerpb.HostRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := p.dialNew(ctx, h.Address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	return peerpb.NewDRPCPeerClient(c).Probe(ctx, &peerpb.ProbeRequest{Known: hostToWire(h)})
}

// close closes all connections. Later calls of get fail.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.byAddress {
		_ = c.Close()
	}
}
