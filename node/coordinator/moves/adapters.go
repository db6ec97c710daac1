package moves

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

// errNoUpstream means that no adapter is loaded.
var errNoUpstream = errors.New("no upstream can take the adapter now")

// errNoOrder means that an upstream takes no such order now: it is draining, or what is
// known of it rules the order out.
var errNoOrder = errors.New("the upstream takes no such order now")

const (
	// maxOrderAttempts is how many orders one adapter may take: an unload for another
	// adapter, its load, and more when the upstream's sequence number has changed
	// meanwhile. It also bounds the attempts to give an order for a model.
	maxOrderAttempts = 5
	// adapterOrderTimeout is how long an order for an adapter may take to be answered
	// before another upstream is asked. A caller waits for it, and upstreams answer
	// within a few milliseconds or not at all.
	adapterOrderTimeout = 150 * time.Millisecond
	// adapterPollInterval is how often a running load is checked.
	adapterPollInterval = 4 * time.Millisecond
)

// LoadAdapter has an adapter loaded, at the given upstream if possible, and returns the
// upstream where it is ready.
func (p *Planner) LoadAdapter(ctx context.Context, upstream, model, adapter string) (string, error) {
	for _, u := range p.adapterTargets(upstream, model) {
		err := u.loadAdapter(ctx, model, adapter)
		if err == nil {
			return u.entry.ID(), nil
		}
		if ctx.Err() != nil || p.deps.Term.MayOrder(0) != nil {
			return "", err
		}
	}
	return "", errNoUpstream
}

// adapterTargets returns the upstreams that could load an adapter of a model: the given
// one first, then those with the fewest adapters. All adapter slots of an upstream may
// be in use.
func (p *Planner) adapterTargets(first, model string) []*managedUpstream {
	var out []*managedUpstream
	now := p.deps.Now()
	for _, u := range p.allUpstreams() {
		if u.isUsable() && u.serves(model, "") && !p.deps.Term.InQuietPeriod(u.entry.ID(), now) {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].entry.ID() == first, out[j].entry.ID() == first; a != b {
			return a
		}
		return out[i].adapterCount() < out[j].adapterCount()
	})
	return out
}

func (u *managedUpstream) adapterCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.record.UsedAdapterSlots()
}

// LoadAdapter gives the orders to load the adapter at the upstream, and waits until it
// is loaded.
func (u *managedUpstream) loadAdapter(ctx context.Context, model, adapter string) error {
	for range maxOrderAttempts {
		done, err := u.adapterOrder(ctx, model, adapter)
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
	return errNoOrder
}

// adapterOrder gives one order. done reports whether the adapter is loaded or being
// loaded.
func (u *managedUpstream) adapterOrder(ctx context.Context, model, adapter string) (done bool, err error) {
	if !u.lockOrders(ctx) {
		return false, ctx.Err()
	}
	defer u.unlockOrders()
	u.mu.Lock()
	loading := u.record.HasAdapter(model, adapter)
	needsReport := u.record.NeedsReport()
	o, ok := u.record.NextAdapterOrder(model, adapter, u.p.deps.Now())
	u.mu.Unlock()
	switch {
	case loading:
		return true, nil
	case needsReport:
		return false, u.reconcile(ctx)
	case !ok:
		return false, errNoOrder
	}
	why := "asked for"
	if o.Op == residency.Unload {
		why = "makes way for " + model + "/" + adapter
	}
	if err := u.sendOrder(ctx, o, why, adapterOrderTimeout); err != nil {
		return false, err
	}
	if o.Op == residency.Load {
		u.markAdapterReadyLater(o)
		return true, nil
	}
	return false, nil
}

// markAdapterReadyLater treats an adapter's load as done after the usual time: the
// upstream does not announce its end, and its report would show it some hundred
// milliseconds late.
func (u *managedUpstream) markAdapterReadyLater(o residency.Order) {
	time.AfterFunc(u.p.deps.AdapterLoadTime, func() {
		u.mu.Lock()
		u.record.MarkAdapterReady(o.Model, o.Adapter, u.p.deps.Now())
		u.mu.Unlock()
		u.p.publishChange(u)
		u.p.deps.Log.Emit(event.OrderCompleted, u.logFields(o, zap.Duration("took", u.p.deps.AdapterLoadTime))...)
	})
}

func (u *managedUpstream) awaitAdapter(ctx context.Context, model, adapter string) error {
	for !u.serves(model, adapter) {
		if !pace.Sleep(ctx, adapterPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
