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

// HashSlots is the fixed number of slots that keys are hashed to. A range is a run of
// slots; the number of ranges can change with the size of a site without moving a key
// to another slot.
const HashSlots = 1024

// Forwarder forwards calls to the host that writes a range's claims: the owner of a
// Range, or any host with Rows over a Batcher. After a lost answer the error is
// store.ErrUnconfirmed; if there is no such host it is store.ErrUnavailable.
type Forwarder interface {
	Read(ctx context.Context, rangeID int, key string) (VersionedRow, error)
	Swap(ctx context.Context, rangeID int, key string, version uint64, row *claim.Row) (VersionedRow, error)
}

// RangeRouter is a Records that sends each claim to the host that serves its range, so
// that few hosts write the changes of many claims in few commits, whatever the number
// of hosts.
type RangeRouter struct {
	rangeCount int
	forwarder  Forwarder
	mu         sync.RWMutex
	local      map[int]Records
}

// NewRangeRouter returns a router with a number of ranges; forwarder reaches those that
// this host does not serve.
func NewRangeRouter(rangeCount int, forwarder Forwarder) *RangeRouter {
	return &RangeRouter{rangeCount: rangeCount, forwarder: forwarder, local: map[int]Records{}}
}

// RangeOf returns the range of a key.
func (router *RangeRouter) RangeOf(key string) int {
	return int(xxhash.Sum64String(key)%HashSlots) * router.rangeCount / HashSlots
}

// Serve makes this host serve a range itself, with a Range that it opened or with Rows
// over a Batcher; nil ends that.
func (router *RangeRouter) Serve(rangeID int, r Records) {
	router.mu.Lock()
	defer router.mu.Unlock()
	if r == nil {
		delete(router.local, rangeID)
		return
	}
	router.local[rangeID] = r
}

// Local returns the records of a range if this host serves it, for example to answer
// calls that other hosts forward.
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

// Swap implements Records. An unconfirmed change is sent again, to the host that serves
// the range by then; that host recognises a change that took effect by the row's Op.
func (router *RangeRouter) Swap(ctx context.Context, key string, version uint64, row *claim.Row) (VersionedRow, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = 20*time.Millisecond, 500*time.Millisecond
	unconfirmed := false
	for {
		seen, err := router.swapOnce(ctx, key, version, row)
		unconfirmed = unconfirmed || errors.Is(err, store.ErrUnconfirmed)
		if err == nil || errors.Is(err, store.ErrConflict) || !unconfirmed {
			return seen, err
		}
		select {
		case <-ctx.Done():
			return VersionedRow{}, store.ErrUnconfirmed
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
