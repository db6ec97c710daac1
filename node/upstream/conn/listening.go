package conn

import (
	"context"
	"errors"
	"syscall"
)

// NotListening says whether nothing listens at address: the process there has ended.
// One that is silent, or that cannot be reached, does not refuse.
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
