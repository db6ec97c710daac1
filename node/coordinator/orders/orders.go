// Package orders defines the orders that an acting coordinator with the lease gives to
// upstreams, as the adapter to the platform carries them out. It holds no state and locks
// nothing.
package orders

import (
	"context"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/residency"
)

// Verdict is an upstream's answer to an order.
type Verdict uint8

// The possible verdicts.
const (
	Accepted Verdict = iota // the order is being carried out
	Done                    // the order's effect was there already, or was achieved at once
	Conflict                // another order is under way, or the order's expected sequence number is outdated
	Fenced                  // the upstream has seen a higher epoch
	Invalid                 // the order is not a valid one
	Replaced                // another process listens at the upstream's address
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "invalid", "replaced"}[v]
}

// Authority names the lease holder and the epoch of the lease under which an order is
// given.
type Authority struct {
	Holder string
	Epoch  uint64
}

// Client sends orders to upstreams and fetches their reports. An error means that
// no usable answer arrived: the order may have been carried out.
type Client interface {
	Order(ctx context.Context, u *deploy.Upstream, o residency.Order, auth Authority) (Verdict, error)
	Report(ctx context.Context, u *deploy.Upstream) (residency.Report, error)
}
