package site

import "context"

// Nodes are the entry hosts under test, however they are run.
type Nodes interface {
	// Start starts all entry hosts and returns when each is ready.
	Start(ctx context.Context) error
	// Addresses are the callers' listeners of the hosts that the balancer
	// sends callers to, by host number; "" for one that it does not.
	Addresses() []string
	// Kill ends one host without a word.
	Kill(host int) error
	// Stop shuts one host down gracefully and returns when it has ended.
	Stop(ctx context.Context, host int) error
}
