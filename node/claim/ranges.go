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

// Groups is the fixed number of groups that keys are hashed to. A range is a
// run of groups; its number can change with the size of a site without any
// key changing its group.
const Groups = 1024

// Forwarder reaches the host that writes a range's claims: the owner of a
// Range, or any host that batches rows. A lost answer is store.ErrInDoubt;
// no such host is store.ErrUnavailable.
type Forwarder interface {
	Read(ctx context.Context, rng int, key string) (Seen, error)
	Swap(ctx context.Context, rng int, key string, version uint64, row *claim.Row) (Seen, error)
}

// Grouped splits claims by ranges of groups, so that few hosts write the
// changes of many claims in few commits, whatever the number of hosts.
type Grouped struct {
	ranges  int
	forward Forwarder
	mu      sync.RWMutex
	own     map[int]Records
}

// NewGrouped splits the groups into ranges; forward reaches those that this
// host does not serve.
func NewGrouped(ranges int, forward Forwarder) *Grouped {
	return &Grouped{ranges: ranges, forward: forward, own: map[int]Records{}}
}

// RangeOf is the range of a key.
func (g *Grouped) RangeOf(key string) int {
	return int(xxhash.Sum64String(key)%Groups) * g.ranges / Groups
}

// Serve makes this host answer for a range itself, with a Range that it opened
// or with Rows over a Batcher; nil ends it.
func (g *Grouped) Serve(rng int, r Records) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r == nil {
		delete(g.own, rng)
		return
	}
	g.own[rng] = r
}

// Own is the range if this host serves it. The peer layer answers forwarded
// calls with it.
func (g *Grouped) Own(rng int) (Records, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r, ok := g.own[rng]
	return r, ok
}

// Read implements Records.
func (g *Grouped) Read(ctx context.Context, key string) (Seen, error) {
	rng := g.RangeOf(key)
	if r, ok := g.Own(rng); ok {
		return r.Read(ctx, key)
	}
	return g.forward.Read(ctx, rng, key)
}

// Swap implements Records. A change in doubt is asked for again, of whoever
// owns the range by then; an owner knows a change that took effect by its Op.
func (g *Grouped) Swap(ctx context.Context, key string, version uint64, row *claim.Row) (Seen, error) {
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
			return Seen{}, store.ErrInDoubt
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (g *Grouped) swapOnce(ctx context.Context, key string, version uint64, row *claim.Row) (Seen, error) {
	rng := g.RangeOf(key)
	if r, ok := g.Own(rng); ok {
		return r.Swap(ctx, key, version, row)
	}
	return g.forward.Swap(ctx, rng, key, version, row)
}
