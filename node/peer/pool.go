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

// callTimeout bounds one call to a peer.
const callTimeout = 2 * time.Second

// Dial opens a connection to a peer's listener, with TLS where it is set up.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// pool keeps one connection a peer for calls beside the links.
type pool struct {
	dial Dial
	mu   sync.Mutex
	open map[string]*drpcconn.Conn
	shut bool
}

func newPool(d Dial) *pool { return &pool{dial: d, open: map[string]*drpcconn.Conn{}} }

// fresh opens a connection that its caller closes.
func (p *pool) fresh(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(nc), nil
}

func (p *pool) get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	c := p.open[address]
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.Closed():
		default:
			return c, nil
		}
	}
	c, err := p.fresh(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	if old := p.open[address]; old != nil {
		_ = old.Close()
	}
	p.open[address] = c
	return c, nil
}

// call makes one call; a connection on which one failed is not used again.
func (p *pool) call(ctx context.Context, address string, f func(peerpb.DRPCPeerClient) error) error {
	c, err := p.get(ctx, address)
	if err == nil {
		if err = f(peerpb.NewDRPCPeerClient(c)); err != nil {
			p.drop(address, c)
		}
	}
	if err != nil {
		return fault.Unknown(fault.StepPeer, address, fault.CodeInternal, "%w", err)
	}
	return nil
}

func (p *pool) drop(address string, c *drpcconn.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] == c {
		delete(p.open, address)
	}
}

// probe always uses a new connection: an open one may have gone silent.
func (p *pool) probe(ctx context.Context, h member.Host) (*peerpb.HostRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := p.fresh(ctx, h.Address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	return peerpb.NewDRPCPeerClient(c).Probe(ctx, &peerpb.ProbeRequest{Known: hostToWire(h)})
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for _, c := range p.open {
		_ = c.Close()
	}
}
