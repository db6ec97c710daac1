package coordinator

import (
	"errors"
	"time"

	"peridotpier.example/node/coordinator/orders"
)

// errQuietPeriod means that the lease is new, and orders of the former holder may still
// arrive.
var errQuietPeriod = errors.New("the quiet time of a new lease is not over")

// MayOrder returns nil if an order that ends within need may be sent now. It must be
// called right before each send: a process that was paused may resume in the middle of
// its work, when its successor already gives orders.
func (c *Coordinator) MayOrder(need time.Duration) error {
	c.mu.Lock()
	epoch, quiet := c.term.Epoch, c.quietUntil
	c.mu.Unlock()
	if err := c.deps.Lease.Check(epoch, need); err != nil {
		return err
	}
	if c.now().Before(quiet) {
		return errQuietPeriod
	}
	return nil
}

// MayOrderTo is MayOrder for one upstream, whose own quiet period is checked as well.
func (c *Coordinator) MayOrderTo(upstream string, need time.Duration) error {
	if err := c.MayOrder(need); err != nil {
		return err
	}
	if c.InQuietPeriod(upstream, c.now()) {
		return errQuietPeriod
	}
	return nil
}

// Authority returns the authority under which this host gives orders.
func (c *Coordinator) Authority() orders.Authority {
	c.mu.Lock()
	defer c.mu.Unlock()
	return orders.Authority{Holder: c.cfg.Host, Epoch: c.term.Epoch}
}
