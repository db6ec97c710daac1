package coordinator

import (
	"context"
	"errors"
	"sort"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/residency"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
)

// The reasons why no adapter is loaded.
var (
	errNotHolding = errors.New("this host does not hold the lease")
	errNoUpstream = errors.New("no upstream can take the adapter now")
)

const (
	// adapterTries is how many orders one adapter may take: one that makes
	// room, its load, and one more when the upstream's number has moved on.
	adapterTries = 5
	// adapterOrderBound is how long an order for an adapter may take to be
	// answered before another upstream is asked. A caller waits for it, and
	// upstreams answer within a few milliseconds, or not at all.
	adapterOrderBound = 150 * time.Millisecond
	// adapterPoll is how often a load that is on its way is looked at.
	adapterPoll = 4 * time.Millisecond
)

// LoadAdapter has an adapter loaded, at the upstream asked for if that may be, and
// returns where it is ready.
func (c *Coordinator) LoadAdapter(ctx context.Context, upstream, model, adapter string) (string, error) {
	if !c.HoldsLease() {
		return "", errNotHolding
	}
	for _, u := range c.adapterPlaces(upstream, model) {
		err := u.loadAdapter(ctx, model, adapter)
		if err == nil {
			return u.entry.ID(), nil
		}
		if ctx.Err() != nil || c.mayOrder(0) != nil {
			return "", err
		}
	}
	return "", errNoUpstream
}

// adapterPlaces are the upstreams that could take an adapter of a model: the
// one asked for first, then those with the fewest adapters. All places of one
// may be in use.
func (c *Coordinator) adapterPlaces(first, model string) []*unit {
	var out []*unit
	now := c.now()
	for _, u := range c.allUnits() {
		if u.usable() && u.holds(model, "") && !c.quietFor(u.entry.ID(), now) {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].entry.ID() == first, out[j].entry.ID() == first; a != b {
			return a
		}
		return out[i].adapters() < out[j].adapters()
	})
	return out
}

func (u *unit) adapters() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.book.UsedAdapterSlots()
}

// loadAdapter gives the orders that bring the adapter to the upstream.
func (u *unit) loadAdapter(ctx context.Context, model, adapter string) error {
	for range adapterTries {
		done, err := u.adapterStep(ctx, model, adapter)
		if done {
			return u.awaitAdapter(ctx, model, adapter)
		}
		if err != nil && !errors.Is(err, errRefused) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errNoUpstream
}

// adapterStep gives one order; done says that the adapter is there or coming.
func (u *unit) adapterStep(ctx context.Context, model, adapter string) (done bool, err error) {
	if !u.lockOrders(ctx) {
		return false, ctx.Err()
	}
	defer u.unlockOrders()
	u.mu.Lock()
	coming := u.book.HasAdapter(model, adapter)
	doubtful := u.book.NeedsReport()
	o, ok := u.book.NextAdapterOrder(model, adapter, u.c.now())
	u.mu.Unlock()
	switch {
	case coming:
		return true, nil
	case doubtful:
		return false, u.settle(ctx)
	case !ok:
		return false, errNoUpstream
	}
	why := "asked for"
	if o.Op == residency.Unload {
		why = "makes way for " + model + "/" + adapter
	}
	if err := u.send(ctx, o, why, adapterOrderBound); err != nil {
		return false, err
	}
	if o.Op == residency.Load {
		u.readyLater(o)
		return true, nil
	}
	return false, nil
}

// readyLater takes an adapter's load for done after its time: the upstream
// does not tell, and its report would show it some hundred milliseconds late.
func (u *unit) readyLater(o residency.Order) {
	time.AfterFunc(u.c.cfg.AdapterLoadTime, func() {
		u.mu.Lock()
		u.book.MarkAdapterReady(o.Model, o.Adapter, u.c.now())
		u.mu.Unlock()
		u.c.changed(u)
		u.c.deps.Log.Emit(event.OrderCompleted, u.fields(o, zap.Duration("took", u.c.cfg.AdapterLoadTime))...)
	})
}

func (u *unit) awaitAdapter(ctx context.Context, model, adapter string) error {
	for !u.holds(model, adapter) {
		if !pace.Sleep(ctx, adapterPoll) {
			return ctx.Err()
		}
	}
	return nil
}
