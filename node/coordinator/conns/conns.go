// Package conns keeps a host's connections to other hosts and makes their calls.
//
// The connections grow with the hosts that are called, of which a host that is not acting
// calls a few, and are bounded for each by maxIdleConns.
//
// The mutex of Conns guards the idle connections. It is held while nothing is awaited, and
// no other is taken under it.
package conns

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// Dial opens a connection to another host.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// dialTimeout is how long a connection to another host may take to open.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns is how many idle connections to one host are kept. Each carries one
	// call at a time.
	maxIdleConns = 4
)

// Conns keeps connections to other hosts.
type Conns struct {
	dial Dial
	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn
}

// New returns Conns without connections.
func New(d Dial) *Conns { return &Conns{dial: d, idle: map[string][]*drpcconn.Conn{}} }

// Call makes one call. A connection on which a call failed is closed.
func (c *Conns) Call(ctx context.Context, address string, f func(context.Context, coordpb.DRPCCoordinatorClient) error) error {
	conn, err := c.Get(ctx, address)
	if err != nil {
		return err
	}
	if err := f(ctx, coordpb.NewDRPCCoordinatorClient(conn)); err != nil {
		_ = conn.Close()
		return err
	}
	c.put(address, conn)
	return nil
}

// callOnce makes one call that is answered at once, within wire.ReportTimeout.
func callOnce[A any](ctx context.Context, c *Conns, address string, f func(context.Context, coordpb.DRPCCoordinatorClient) (A, error)) (answer A, err error) {
	ctx, cancel := context.WithTimeout(ctx, wire.ReportTimeout)
	defer cancel()
	err = c.Call(ctx, address, func(ctx context.Context, peer coordpb.DRPCCoordinatorClient) (err error) {
		answer, err = f(ctx, peer)
		return err
	})
	return answer, err
}

// Report sends a host's report to the host at an address.
func (c *Conns) Report(ctx context.Context, address string, r *coordpb.HostReport) (*coordpb.SiteState, error) {
	return callOnce(ctx, c, address, func(ctx context.Context, peer coordpb.DRPCCoordinatorClient) (*coordpb.SiteState, error) {
		return peer.Report(ctx, r)
	})
}

// State asks the host at an address for its state.
func (c *Conns) State(ctx context.Context, address string, q *coordpb.StateCall) (*coordpb.StateAnswer, error) {
	return callOnce(ctx, c, address, func(ctx context.Context, peer coordpb.DRPCCoordinatorClient) (*coordpb.StateAnswer, error) {
		return peer.State(ctx, q)
	})
}

// List asks the host at an address for the list of upstreams.
func (c *Conns) List(ctx context.Context, address string) (*coordpb.ListAnswer, error) {
	return callOnce(ctx, c, address, func(ctx context.Context, peer coordpb.DRPCCoordinatorClient) (*coordpb.ListAnswer, error) {
		return peer.List(ctx, &coordpb.ListCall{})
	})
}

// Repeat asks the host at an address whether a request may be sent once more.
func (c *Conns) Repeat(ctx context.Context, address string, q *coordpb.RepeatCall) (*coordpb.RepeatAnswer, error) {
	return callOnce(ctx, c, address, func(ctx context.Context, peer coordpb.DRPCCoordinatorClient) (*coordpb.RepeatAnswer, error) {
		return peer.Repeat(ctx, q)
	})
}

// KeepOrigins hands records of streams to the host at an address.
func (c *Conns) KeepOrigins(ctx context.Context, address string, b *coordpb.OriginBatch) (*coordpb.OriginKept, error) {
	return callOnce(ctx, c, address, func(ctx context.Context, peer coordpb.DRPCCoordinatorClient) (*coordpb.OriginKept, error) {
		return peer.KeepOrigins(ctx, b)
	})
}

// FindOrigin asks the host at an address which version began a stream.
func (c *Conns) FindOrigin(ctx context.Context, address string, q *coordpb.OriginCall) (*coordpb.OriginAnswer, error) {
	return callOnce(ctx, c, address, func(ctx context.Context, peer coordpb.DRPCCoordinatorClient) (*coordpb.OriginAnswer, error) {
		return peer.FindOrigin(ctx, q)
	})
}

// Get returns a connection to the host at an address, which the caller closes.
func (c *Conns) Get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c.mu.Lock()
	for len(c.idle[address]) > 0 {
		all := c.idle[address]
		conn := all[len(all)-1]
		c.idle[address] = all[:len(all)-1]
		select {
		case <-conn.Closed():
			continue
		default:
		}
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(nc), nil
}

func (c *Conns) put(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// CloseIdle closes the idle connections to a host.
func (c *Conns) CloseIdle(address string) {
	c.mu.Lock()
	all := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range all {
		_ = conn.Close()
	}
}
