package moves

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/replica"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
)

const (
	// unloadTimeout is how long an unload may take: as long as the longest streams that
	// it waits for.
	unloadTimeout = 12 * time.Second
	// loadTimeFactor is how much longer a load may take when many run at the same time,
	// as a multiple of its time alone.
	loadTimeFactor = 4
	// reportPollInterval is how often the upstream is asked whether an order is done.
	// Each report has a price.
	reportPollInterval = 300 * time.Millisecond
)

// startMove carries out a move in a goroutine of its own.
func (p *Planner) startMove(ctx context.Context, m replica.Move, service string, d replica.Demand) {
	u, ok := p.upstream(m.Upstream)
	if !ok {
		return
	}
	v := &activeMove{Move: m, demand: d, countedAt: p.deps.Now()}
	u.mu.Lock()
	u.activeMove = v
	returns := u.left.recent(v.countedAt, u.p.deps.Policy.MinReturn)[m.Load]
	if m.Unload != "" {
		u.left[m.Unload] = v.countedAt
	}
	u.mu.Unlock()
	p.recordMove(u, v, service, returns)
	p.publishChange(u)
	if m.From == replica.FromStore {
		p.deps.StoreLoads.Add(v.countedAt)
	}
	go func() {
		err := u.runMove(ctx, v)
		p.reconcileStoreLoad(v)
		u.mu.Lock()
		u.activeMove = nil
		if err != nil {
			u.excludedUntil = p.deps.Now().Add(moveBackoff)
		}
		u.mu.Unlock()
		p.publishChange(u)
		if err != nil {
			p.deps.Log.Emit(event.MoveEndedEarly, zap.String(event.FieldPeer, m.Upstream), zap.String("unload", m.Unload),
				zap.String("load", m.Load), zap.Error(err))
		}
	}()
}

// recordMove counts a move, and whether it returns a model to where it was lately, and keeps
// why it was made.
func (p *Planner) recordMove(u *managedUpstream, v *activeMove, service string, returns bool) {
	p.deps.Metrics.CountKind(metrics.ModelMoves, v.Reason.String(), 1)
	if returns {
		p.deps.Metrics.CountKind(metrics.ModelReturns, v.Reason.String(), 1)
	}
	p.lastMoves.record(demand.Key{Service: service, Model: v.Load}, lastMove{v.countedAt, "to " + u.entry.ID() + " for " + v.why(u)})
}

// why says what a move is made for, in words.
func (v *activeMove) why(u *managedUpstream) string {
	out := v.Reason.String() + ", demand " + v.demand.String()
	if load, ok := v.demand.ByDataCentre[u.entry.DataCentre()]; ok {
		out += fmt.Sprintf(", %.2f of it in %s", load, u.entry.DataCentre())
	}
	return out + " from " + v.From.String()
}

// activeMove is a move that is being carried out.
type activeMove struct {
	replica.Move
	demand       replica.Demand // the demand that caused the move
	countedAt    time.Time      // time under which its load from the weight store is counted
	ordered      bool           // whether an order for the load was made
	loadingSince time.Time      // when its order was accepted; zero: not yet; guarded by the upstream's mu
	accepted     atomic.Bool    // whether the order was answered as accepted
}

// storeLoadAccepted records that the order for a load was accepted. The load is counted
// from now on: the order may have been sent several times before it was answered.
func (p *Planner) storeLoadAccepted(v *activeMove) {
	v.accepted.Store(true)
	if v.From == replica.FromStore {
		p.deps.StoreLoads.remove(v.countedAt)
		v.countedAt = p.deps.Now()
		p.deps.StoreLoads.Add(v.countedAt)
	}
}

// reconcileStoreLoad corrects the count of loads from the weight store by the outcome
// of a move.
func (p *Planner) reconcileStoreLoad(v *activeMove) {
	if v.accepted.Load() || v.From != replica.FromStore {
		return
	}
	p.deps.StoreLoads.remove(v.countedAt)
	if v.ordered {
		p.deps.StoreLoads.addUnconfirmed(p.deps.Now().Add(residency.MaxOrderDelay))
	}
}

const (
	// moveBackoff is how long an upstream is excluded from plans after a move there
	// failed. An upstream that doesn't answer, or is in another state than recorded,
	// would otherwise be chosen by every plan, and occupy the room of moves that could
	// be carried out.
	moveBackoff = time.Second
	// unattendedPollInterval is how often an upstream is asked whether the order of a
	// former holder is done: a fraction of a load's time. Each report has a price.
	unattendedPollInterval = 700 * time.Millisecond
)

// pollUnattendedOrder asks for the upstream's report, in a goroutine of its own, while
// an order is being carried out there that no move of this host waits for: one of a
// former holder, or one whose move took too long and was given up. Without the report
// the upstream would count as busy for good.
func (u *managedUpstream) pollUnattendedOrder(ctx context.Context, now time.Time) {
	u.mu.Lock()
	due := u.record.Busy() && u.activeMove == nil && now.Sub(u.polledAt) >= unattendedPollInterval
	if due {
		u.polledAt = now
	}
	u.mu.Unlock()
	if due {
		go func() { _ = u.reconcile(ctx) }() // a report that does not arrive is asked for again
	}
}

// runMove unloads one model, if the move says so, and loads another.
func (u *managedUpstream) runMove(ctx context.Context, v *activeMove) error {
	if v.Unload != "" {
		why := "makes way for " + v.Load
		if err := u.orderModel(ctx, func(b *residency.Record) (residency.Order, bool) { return b.ModelUnloadOrder(v.Unload) }, why); err != nil {
			return err
		}
		if err := u.awaitReport(ctx, unloadTimeout, func(b *residency.Record) bool { return !b.HasModel(v.Unload) }); err != nil {
			return err
		}
	}
	if err := u.awaitStoreSlot(ctx, v); err != nil {
		return err
	}
	err := u.orderModel(ctx, func(b *residency.Record) (residency.Order, bool) {
		o, ok := b.ModelLoadOrder(v.Load)
		v.ordered = v.ordered || ok
		return o, ok
	}, v.why(u))
	if err != nil {
		return err
	}
	u.p.storeLoadAccepted(v)
	u.mu.Lock()
	v.loadingSince = u.p.deps.Now()
	u.mu.Unlock()
	u.p.publishChange(u)
	took := replica.LoadTime(u.engine, v.Load, v.From)
	if !pace.Sleep(ctx, took) {
		return ctx.Err()
	}
	return u.awaitReport(ctx, took*loadTimeFactor, func(b *residency.Record) bool { return b.IsReady(v.Load, "") })
}

// awaitStoreSlot waits until a load from the weight store may begin, and counts it from
// then on. The model that is evicted for it may have taken seconds to unload, and a
// load that counts from before that would exceed the store's rate now unnoticed.
func (u *managedUpstream) awaitStoreSlot(ctx context.Context, v *activeMove) error {
	if v.From != replica.FromStore || v.Unload == "" {
		return nil
	}
	for {
		now := u.p.deps.Now()
		if u.p.freeStoreSlots(u.engine, u.p.allUpstreams(), now) > 0 && u.p.deps.StoreLoads.recount(v.countedAt, u.engine.LoadsPerSecond, now) {
			v.countedAt = now
			return nil
		}
		if !pace.Sleep(ctx, storeSlotPollInterval) {
			return ctx.Err()
		}
	}
}

// storeSlotPollInterval is how often a waiting load checks for a slot: loads begin
// several times a second at most.
const storeSlotPollInterval = 100 * time.Millisecond

// orderModel sends one order for a model.
func (u *managedUpstream) orderModel(ctx context.Context, nextOrder func(*residency.Record) (residency.Order, bool), why string) error {
	for range maxOrderAttempts {
		if !u.lockOrders(ctx) {
			return ctx.Err()
		}
		u.mu.Lock()
		needsReport := u.record.NeedsReportForModel()
		o, ok := nextOrder(u.record)
		u.mu.Unlock()
		if needsReport {
			err := u.reconcile(ctx)
			u.unlockOrders()
			if err != nil {
				return err
			}
			continue
		}
		if !ok {
			u.unlockOrders()
			return errNoOrder
		}
		err := u.sendOrder(ctx, o, why, orderTimeout)
		u.unlockOrders()
		if err == nil {
			return nil
		}
		if u.p.deps.Term.MayOrder(orderTimeout) != nil {
			return err
		}
	}
	return errNoOrder
}

// awaitReport asks the upstream for its report until done returns true, for bound at
// most.
func (u *managedUpstream) awaitReport(ctx context.Context, bound time.Duration, done func(*residency.Record) bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for {
		err := u.reconcile(ctx)
		u.mu.Lock()
		ok := done(u.record)
		u.mu.Unlock()
		if ok {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil || u.p.deps.Term.MayOrder(0) == nil {
			pace.Sleep(ctx, reportPollInterval)
		} else {
			return err
		}
	}
}

// hasUnconfirmedStoreLoad reports whether a load from the weight store was ordered here
// and its acceptance is not confirmed.
func (u *managedUpstream) hasUnconfirmedStoreLoad() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.activeMove
	return v != nil && v.ordered && !v.accepted.Load()
}
