package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"peridotpier.example/core/claim"
	"peridotpier.example/node/store"
)

// HashSlots is the fixed number of groups that keys are hashed to. A range is a
// run of groups; its number can change with the size of a site without any
// key changing its group.
const HashSlots = 1024

// Forwarder reaches the host that writes a range's claims: the owner of a
// Range, or any host that batches rows. A lost answer is store.ErrInDoubt;
// no such host is store.ErrUnavailable.
type Forwarder interface {
	Read(ctx context.Context, rng int, key string) (VersionedRow, error)
	Swap(ctx context.Context, rng int, key string, version uint64, row *claim.Row) (VersionedRow, error)
}

// RangeRouter splits claims by ranges of groups, so that few hosts write the
// changes of many claims in few commits, whatever the number of hosts.
type RangeRouter struct {
	ranges    int
	forwarder Forwarder
	mu        sync.RWMutex
	local     map[int]Records
}

// NewRangeRouter splits the groups into ranges; forward reaches those that this
// host does not serve.
func NewRangeRouter(ranges int, forward Forwarder) *RangeRouter {
	return &RangeRouter{ranges: ranges, forwarder: forward, local: map[int]Records{}}
}

// RangeOf is the range of a key.
func (g *RangeRouter) RangeOf(key string) int {
	return int(xxhash.Sum64String(key)%HashSlots) * g.ranges / HashSlots
}

// Serve makes this host answer for a range itself, with a Range that it opened
// or with Rows over a Batcher; nil ends it.
func (g *RangeRouter) Serve(rng int, r Records) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r == nil {
		delete(g.local, rng)
		return
	}
	g.local[rng] = r
}

// Local is the range if this host serves it. The peer layer answers forwarded
// calls with it.
func (g *RangeRouter) Local(rng int) (Records, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r, ok := g.local[rng]
	return r, ok
}

// Read implements Records.
func (g *RangeRouter) Read(ctx context.Context, key string) (VersionedRow, error) {
	rng := g.RangeOf(key)
	if r, ok := g.Local(rng); ok {
		return r.Read(ctx, key)
	}
	return g.forwarder.Read(ctx, rng, key)
}

// Swap implements Records. A change in doubt is asked for again, of whoever
// owns the range by then; an owner knows a change that took effect by its Op.
func (g *RangeRouter) Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = 20*time.Millisecond, 500*time.Millisecond
	inDoubt := false
	for {
		seen, err := g.swapOnce(ctx, key, version, row)
		inDoubt = inDoubt || errors.Is(err, store.ErrInDoubt)
		if err == nil || errors.Is(err, store.ErrConflict) || !inDoubt {
			return seen, err
		}
		select {
		case <-ctx.Done():
			return VersionedRow{}, store.ErrInDoubt
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (g *RangeRouter) swapOnce(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	rng := g.RangeOf(key)
	if r, ok := g.Local(rng); ok {
		return r.Swap(ctx, key, version, row)
	}
	return g.forwarder.Swap(ctx, rng, key, version, row)
}
