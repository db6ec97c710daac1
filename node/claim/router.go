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
	Read(ctx context.Context, rangeID int, key string) (VersionedRow, error)
	Swap(ctx context.Context, rangeID int, key string, version uint64, row *claim.Row) (VersionedRow, error)
}

// RangeRouter splits claims by ranges of groups, so that few hosts write the
// changes of many claims in few commits, whatever the number of hosts.
type RangeRouter struct {
	rangeCount int
	forwarder  Forwarder
	mu         sync.RWMutex
	local      map[int]Records
}

// NewRangeRouter splits the groups into ranges; forward reaches those that this
// host does not serve.
func NewRangeRouter(rangeCount int, forwarder Forwarder) *RangeRouter {
	return &RangeRouter{rangeCount: rangeCount, forwarder: forwarder, local: map[int]Records{}}
}

// RangeOf is the range of a key.
func (router *RangeRouter) RangeOf(key string) int {
	return int(xxhash.Sum64String(key)%HashSlots) * router.rangeCount / HashSlots
}

// Serve makes this host answer for a range itself, with a Range that it opened
// or with Rows over a Batcher; nil ends it.
func (router *RangeRouter) Serve(rangeID int, r Records) {
	router.mu.Lock()
	defer router.mu.Unlock()
	if r == nil {
		delete(router.local, rangeID)
		return
	}
	router.local[rangeID] = r
}

// Local is the range if this host serves it. The peer layer answers forwarded
// calls with it.
func (router *RangeRouter) Local(rangeID int) (Records, bool) {
	router.mu.RLock()
	defer router.mu.RUnlock()
	r, ok := router.local[rangeID]
	return r, ok
}

// Read implements Records.
func (router *RangeRouter) Read(ctx context.Context, key string) (VersionedRow, error) {
	rangeID := router.RangeOf(key)
	if r, ok := router.Local(rangeID); ok {
		return r.Read(ctx, key)
	}
	return router.forwarder.Read(ctx, rangeID, key)
}

// Swap implements Records. A change in doubt is asked for again, of whoever
// owns the range by then; an owner knows a change that took effect by its Op.
func (router *RangeRouter) Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = 20*time.Millisecond, 500*time.Millisecond
	inDoubt := false
	for {
		seen, err := router.swapOnce(ctx, key, version, row)
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

func (router *RangeRouter) swapOnce(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	rangeID := router.RangeOf(key)
	if r, ok := router.Local(rangeID); ok {
		return r.Swap(ctx, key, version, row)
	}
	return router.forwarder.Swap(ctx, rangeID, key, version, row)
}
