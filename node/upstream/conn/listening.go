package conn

import (
	"context"
	"errors"
	"syscall"
)

// NotListening reports whether a dial to address is refused, which means that the
// process there has terminated. It is false for a process that is unresponsive or
// cannot be reached.
func (c *Client) NotListening(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	nc, err := c.cfg.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close() // nothing was sent on it
	return false
}
