package conn

import (
	"context"
	"errors"
	"os"
	"time"
)

// trialHold is how long a trial connection must stay open: what lies between may accept
// it and reset it at once. Several round trips between data centres.
const trialHold = 20 * time.Millisecond

// Accepts reports whether an upstream accepts a connection until ctx ends, and keeps it
// open for a moment. Nothing is sent.
func (c *Client) Accepts(ctx context.Context, address string) bool {
	nc, err := c.cfg.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = nc.Close() }() // nothing was sent on it
	if nc.SetReadDeadline(time.Now().Add(trialHold)) != nil {
		return false
	}
	n, err := nc.Read(make([]byte, 1))
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

// Answers reports whether the request is answered, whatever the answer says, until ctx
// ends. A new connection is used, and closed.
func (c *Client) Answers(ctx context.Context, r *Request) bool {
	r.NewConnection = true
	resp, err := c.Do(ctx, r)
	if err != nil {
		return false
	}
	resp.Abort()
	return true
}
