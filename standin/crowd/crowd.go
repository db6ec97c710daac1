// Package crowd imitates many clients at once that send a server heads over its limit, or
// bodies within it that never end, and stay connected. Everything that it does is bounded
// in number and time.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Target is what a crowd is sent to.
type Target struct {
	Address string // IP:port
	Head    string // request line and headers, without the end of the head; "" for a listener that speaks another protocol
	// HeadLimit and BodyLimit are the server's limits, in bytes.
	HeadLimit, BodyLimit int
}

const (
	// maxTries is how often a member connects: it returns when the server closes its
	// connection.
	maxTries = 3
	// dialTimeout and sendTimeout bound one connection and what is sent over it.
	dialTimeout = 5 * time.Second
	sendTimeout = 10 * time.Second
	// returnDelay is how long a member waits before it connects again.
	returnDelay = 100 * time.Millisecond
)

// Crowd is a number of members that are connected, or were refused.
type Crowd struct {
	leave   context.CancelFunc
	members sync.WaitGroup
}

// Gather sends a crowd to a target, whose members are of the kinds by turns. It returns once
// each member has sent what it sends, or was refused for good; the members stay until Leave.
func Gather(to Target, kinds []Kind, members int) *Crowd {
	ctx, leave := context.WithCancel(context.Background())
	c := &Crowd{leave: leave}
	var arrived sync.WaitGroup
	for i := range members {
		kind := kinds[i%len(kinds)]
		arrived.Add(1)
		c.members.Go(func() {
			var once sync.Once
			settled := func() { once.Do(arrived.Done) }
			defer settled()
			visit(ctx, to, kind, settled)
		})
	}
	arrived.Wait()
	return c
}

// Leave closes all connections, and returns when they are closed.
func (c *Crowd) Leave() {
	c.leave()
	c.members.Wait()
}

// visit is one member: it connects, sends and stays, and comes back if it is sent away.
func visit(ctx context.Context, to Target, kind Kind, settled func()) {
	for range maxTries {
		d := net.Dialer{Timeout: dialTimeout}
		nc, err := d.DialContext(ctx, "tcp", to.Address)
		if err == nil {
			stay(ctx, nc, to, kind, settled)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnDelay):
		}
	}
}

// stay sends over a connection and keeps it until the server closes it, or ctx ends.
func stay(ctx context.Context, nc net.Conn, to Target, kind Kind, settled func()) {
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))
	if kind.Send(nc, to) != nil {
		return // the server closed it, or does not read
	}
	settled()
	_, _ = io.Copy(io.Discard, nc) // until the server closes it
}
