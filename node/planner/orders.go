package planner

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
	"peridotpier.example/core/place"
	"peridotpier.example/node/event"
	"peridotpier.example/node/upstream/engineapi"
)

// sendState is how far the sending of an order has got.
type sendState uint8

const (
	notSent         sendState = iota // also for orders of another planner, or from before a restart
	sentUnconfirmed                  // sent without an answer: may be sent again within its send window
	sentAnswered                     // answered, whether accepted or refused
)

// reservedOrder is an order with its charge in the ledger. In reserve it exists
// before its charge is committed.
type reservedOrder struct {
	upstream string
	charge   ledger.Charge
}

// ordersToResend returns the orders whose answer was lost and whose effect no
// report shows. They are sent again with the same id.
func (p *Planner) ordersToResend(now time.Time) []reservedOrder {
	var out []reservedOrder
	kept := map[string]sendState{}
	for _, name := range slices.Sorted(maps.Keys(p.ledger.rows)) {
		cached := p.ledger.rows[name]
		for _, c := range cached.row.Charges {
			if state, ok := p.sendStates[c.Op]; ok {
				kept[c.Op] = state
			}
		}
		for _, c := range cached.row.Pending(now) {
			if kept[c.Op] == sentUnconfirmed && !cached.needsRead {
				out = append(out, reservedOrder{name, c})
			}
		}
	}
	p.sendStates = kept // without orders that no longer have a charge
	return out
}

// reserveAll enters moves in the ledger, each before its order is sent. A move that
// gets no grant from the weight store, or whose reservation fails, is left to a
// later plan.
func (p *Planner) reserveAll(ctx context.Context, moves []place.Move) []reservedOrder {
	var out []reservedOrder
	for _, m := range moves {
		if !p.deps.Lease.Valid(p.ledger.epoch) || ctx.Err() != nil {
			return out
		}
		if o, ok := p.reserve(ctx, m); ok {
			out = append(out, o)
		}
	}
	return out
}

func (p *Planner) reserve(ctx context.Context, m place.Move) (reservedOrder, bool) {
	cached := p.ledger.rows[m.Upstream]
	if cached == nil || cached.needsRead {
		return reservedOrder{}, false
	}
	next, c, err := cached.row.Reserve(p.deps.Now(), p.cfg.Bounds, p.ledger.epoch, newOpID(), m.Change)
	if err != nil {
		p.deps.Log.Emit(event.MoveRefused, zap.String("upstream", m.Upstream), zap.Error(err))
		return reservedOrder{}, false
	}
	o := reservedOrder{m.Upstream, c}
	if m.Change.Kind == ledger.Load && !p.requestLoadGrant(ctx, o) {
		return reservedOrder{}, false
	}
	if err := p.ledger.commit(ctx, rowChange{m.Upstream, next}); err != nil {
		p.logLedgerError(err)
		return reservedOrder{}, false // releaseLoadGrants returns the grant once the ledger shows no charge for it
	}
	p.recordMove(m)
	p.deps.Log.Emit(event.MoveDecided, zap.String("upstream", m.Upstream), zap.String("op", c.Op), zap.String("kind", string(c.Kind)),
		zap.String("model", c.Model), zap.String("adapter", c.Adapter), zap.String("version", c.Version), zap.String("why", string(m.Reason)))
	return o, true
}

// requestLoadGrant asks the weight store, whose limits all planners share, for a
// grant of the load that the order will start, and reports whether it got one. The
// engine requests the same load by the same name, so that planner and engine use
// one grant together.
func (p *Planner) requestLoadGrant(ctx context.Context, o reservedOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	wait, err := p.deps.Weights.AcquireLoad(ctx, toOrder(o).LoadName())
	if err != nil || wait > 0 {
		return false
	}
	p.loadGrants[o.charge.Op] = o
	return true
}

// releaseLoadGrants returns the grants of loads that are done or will not happen. An
// engine does so itself for what it loaded; but the grant of an order that never
// reached its engine would otherwise last until the weight store lets it expire,
// and a site with two grants could load nothing for minutes.
func (p *Planner) releaseLoadGrants(ctx context.Context) {
	for op, o := range p.loadGrants {
		cached := p.ledger.rows[o.upstream]
		if cached == nil || cached.needsRead || cached.row.MayStillLoad(op, o.charge.Artifact) {
			continue
		}
		if p.deps.Weights.ReleaseLoad(ctx, toOrder(o).LoadName()) == nil {
			delete(p.loadGrants, op)
		}
	}
}

func (p *Planner) recordMove(m place.Move) {
	now := p.deps.Now()
	if m.Reason.Elective() {
		p.moveBudget.AllowN(now, 1)
	}
	if m.Reason.StartsCooldown() || p.isOnDemand(m.Change.Artifact.Model) {
		p.lastMove[place.Key{Model: m.Change.Artifact.Model, Adapter: m.Change.Artifact.Adapter}] = now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Change.Kind == ledger.Load {
		p.status.LoadOrders++
	} else {
		p.status.UnloadOrders++
	}
}

// isOnDemand reports whether a model has no minimum of replicas. Such models share
// memory in turn, so a load of one starts its cooldown whatever the reason.
func (p *Planner) isOnDemand(model string) bool {
	return slices.ContainsFunc(p.deps.Inputs.View().Config.Models, func(m config.Model) bool { return m.Name == model && m.MinReplicas == 0 })
}

// sendAll sends orders concurrently, so that an unresponsive engine does not delay
// the others.
func (p *Planner) sendAll(ctx context.Context, orders []reservedOrder) {
	states := make([]sendState, len(orders))
	var g errgroup.Group
	g.SetLimit(p.cfg.MaxConcurrentSends)
	for i, o := range orders {
		g.Go(func() error { states[i] = p.send(ctx, o); return nil })
	}
	_ = g.Wait()
	for i, o := range orders {
		if states[i] != notSent {
			p.sendStates[o.charge.Op] = states[i]
		}
	}
}

// send sends one order, unless the lease or the order's send window has expired by
// now. Without the check, a planner that was paused between reserving and sending
// would act without a valid lease, and an engine could get orders of two epochs.
func (p *Planner) send(ctx context.Context, o reservedOrder) sendState {
	if o.charge.CheckSendWindow(p.deps.Now()) != nil || !p.deps.Lease.Valid(p.ledger.epoch) {
		p.deps.Log.Emit(event.OrderNotSent, zap.String("upstream", o.upstream), zap.String("op", o.charge.Op))
		return notSent
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	answer, err := p.deps.Orders.Send(ctx, o.upstream, toOrder(o))
	switch {
	case err != nil:
		p.deps.Log.Emit(event.OrderUnconfirmed, zap.String("upstream", o.upstream), zap.String("op", o.charge.Op), zap.Error(err))
		return sentUnconfirmed
	case !answer.Accepted:
		// The charge stays: a copy of the order may still arrive, so only a report resolves it.
		p.deps.Log.Emit(event.OrderRefused, zap.String("upstream", o.upstream), zap.String("op", o.charge.Op), zap.String("reason", answer.Reason))
	}
	return sentAnswered
}

func toOrder(o reservedOrder) engineapi.Order {
	kinds := map[bool][2]engineapi.OrderKind{
		false: {engineapi.OrderLoad, engineapi.OrderUnload},
		true:  {engineapi.OrderLoadAdapter, engineapi.OrderUnloadAdapter},
	}[o.charge.Adapter != ""]
	kind := kinds[0]
	if o.charge.Kind == ledger.Unload {
		kind = kinds[1]
	}
	return engineapi.Order{Op: o.charge.Op, Epoch: o.charge.Fence, Kind: kind, Model: o.charge.Model, Adapter: o.charge.Adapter,
		Version: o.charge.Version, MemoryMB: o.charge.MemoryMB, Incarnation: o.charge.Incarnation}
}
