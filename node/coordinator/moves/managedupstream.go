package moves

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/orders"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/pace"
)

const (
	// orderTimeout is how long an order may take to be answered. The lease must last
	// longer than that when the order is sent.
	orderTimeout = 600 * time.Millisecond
	// reportLag is how old an upstream's report may be: the upstream is not asked
	// sooner than this after an order whose outcome the report should show.
	reportLag = 300 * time.Millisecond
	// describedLag is how long the outcome of an order takes precedence over the
	// upstream's description in the store, which is updated with its heartbeats.
	describedLag = 2500 * time.Millisecond
	// defaultAdapterLoadTime is how long an adapter's load takes on the largest models.
	defaultAdapterLoadTime = 32 * time.Millisecond
)

// managedUpstream is one upstream as the coordinator manages it. The token in
// orderToken is held while an order is sent, and is taken before mu.
type managedUpstream struct {
	p      *Planner
	entry  *fleet.Entry
	engine *deploy.Engine

	orderToken chan struct{} // holds a token while an order is being given
	revision   atomic.Uint64 // revision of the coordinator at this upstream's last change

	mu            sync.Mutex
	record        *residency.Record
	changedAt     time.Time        // time of the last order or report
	describedAt   time.Time        // arrival of the newest description that was entered
	activeMove    *activeMove      // the move that is under way; nil: none
	excludedUntil time.Time        // no move begins before this time, after one that failed
	polledAt      time.Time        // when the end of a former holder's order was last polled for
	published     publishedHolding // state as of the last change
	left          leftModels       // models that moves of this host unloaded lately
}

// newManagedUpstream begins the residency record of an upstream.
func newManagedUpstream(p *Planner, e *fleet.Entry, engine *deploy.Engine, now time.Time) *managedUpstream {
	described, _ := e.Description()
	return &managedUpstream{p: p, entry: e, engine: engine, orderToken: make(chan struct{}, 1), record: residency.New(engine, &described, now), left: leftModels{}}
}

// publishedHolding is an upstream's holding as it is published to the hosts.
type publishedHolding struct {
	residents    []deploy.Resident
	loading      string    // model that is being loaded, or will be; "": none
	loadingSince time.Time // since when it is being loaded
}

func (p publishedHolding) equal(o publishedHolding) bool {
	return p.loading == o.loading && p.loadingSince.Equal(o.loadingSince) && slices.EqualFunc(p.residents, o.residents, deploy.Resident.Equal)
}

// updatePublished updates what is published to the hosts and reports whether it
// changed.
func (u *managedUpstream) updatePublished() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := publishedHolding{residents: u.record.ReadyResidents()}
	if u.activeMove != nil {
		now.loading, now.loadingSince = u.activeMove.Load, u.activeMove.loadingSince
	}
	if now.equal(u.published) {
		return false
	}
	u.published = now
	return true
}

// lockOrders waits until no other order is being given. It returns false if ctx ends
// before: callers wait here, each for its own time.
func (u *managedUpstream) lockOrders(ctx context.Context) bool {
	select {
	case u.orderToken <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *managedUpstream) unlockOrders() { <-u.orderToken }

// describe enters the upstream's newest description, unless it may be older than what
// is known from orders and reports.
func (u *managedUpstream) describe(now time.Time) (changed bool) {
	d, at := u.entry.Description()
	u.mu.Lock()
	defer u.mu.Unlock()
	if !at.After(u.describedAt) || at.Sub(u.changedAt) < describedLag {
		return false
	}
	u.describedAt = at
	u.record.ApplyDescription(d.Residents, now)
	return true
}

// sendOrder sends one order, whose answer may take as long as bound, and records its
// outcome.
func (u *managedUpstream) sendOrder(ctx context.Context, o residency.Order, why string, bound time.Duration) error {
	p := u.p
	if err := p.deps.Term.MayOrderTo(u.entry.ID(), bound); err != nil {
		return err
	}
	if !u.isUsable() { // it is draining, or has restarted and has another record
		return errNoOrder
	}
	described, _ := u.entry.Description()
	auth := p.deps.Term.Authority()
	u.mu.Lock()
	u.record.MarkSent(o, p.deps.Now())
	u.mu.Unlock()
	p.deps.Term.RecordOrder(u.entry.ID())
	p.publishChange(u)
	p.deps.Log.Emit(event.OrderSent, u.logFields(o, zap.String("why", why), zap.Uint64("epoch", auth.Epoch))...)
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	v, err := p.deps.Orders.Order(ctx, &described, o, auth)
	return u.recordOutcome(o, v, err)
}

func (u *managedUpstream) logFields(o residency.Order, more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String(event.FieldPeer, u.entry.ID()), zap.Stringer("operation", o.Op), zap.String("model", o.Model),
		zap.String("adapter", o.Adapter), zap.Uint64("expected", o.Expected)}, more...)
}

// errRefused means that the upstream did not accept the order.
var errRefused = errors.New("order refused")

// recordOutcome enters the outcome of an order in the residency record.
func (u *managedUpstream) recordOutcome(o residency.Order, v orders.Verdict, err error) error {
	now := u.p.deps.Now()
	u.mu.Lock()
	u.changedAt = now
	switch {
	case err != nil:
		u.record.MarkUnanswered(o, now)
	case v == orders.Accepted:
		u.record.MarkAccepted(o, false, now)
	case v == orders.Done:
		u.record.MarkAccepted(o, true, now)
	default:
		u.record.MarkRefused(o)
	}
	u.mu.Unlock()
	u.p.publishChange(u)
	switch {
	case err != nil:
		u.p.deps.Log.Emit(event.OrderUnanswered, u.logFields(o, zap.Error(err))...)
		return err
	case v == orders.Accepted || v == orders.Done:
		return nil
	}
	if v == orders.Replaced {
		u.entry.MarkReplaced()
	}
	u.p.deps.Log.Emit(event.OrderRejected, u.logFields(o, zap.Stringer("verdict", v))...)
	return errRefused
}

// reconcile asks the upstream for its report and enters it.
func (u *managedUpstream) reconcile(ctx context.Context) error {
	u.mu.Lock()
	since := u.p.deps.Now().Sub(u.changedAt)
	u.mu.Unlock()
	if since < reportLag && !pace.Sleep(ctx, reportLag-since) {
		return ctx.Err()
	}
	described, _ := u.entry.Description()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := u.p.deps.Orders.Report(ctx, &described)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.record.Reconcile(r, u.p.deps.Now())
	u.mu.Unlock()
	u.p.publishChange(u)
	return nil
}

// isUsable reports whether the upstream may get orders and work.
func (u *managedUpstream) isUsable() bool { return u.entry.Usable() }

// unconfirmedOrders returns the orders sent to the upstream that may still be carried
// out.
func (u *managedUpstream) unconfirmedOrders(now time.Time) []residency.UnconfirmedOrder {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.record.Unconfirmed(now)
}

// serves reports whether requests for a model and adapter may be sent to the upstream.
func (u *managedUpstream) serves(model, adapter string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.record.IsReady(model, adapter)
}

// recordUse records what callers requested at a host.
func (u *managedUpstream) recordUse(d *coordpb.Demand, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.MarkUsed(d.Model, d.Adapter, now)
}
