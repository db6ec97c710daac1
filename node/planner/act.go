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

// sendState is how far an order got.
type sendState uint8

const (
	sendNever  sendState = iota // reserved by another planner, or before a restart
	sendDoubt                   // sent, no answer: may be sent again within its window
	sendSettle                  // answered
)

// task is an order that is in the books and may be sent.
type task struct {
	upstream string
	charge   ledger.Charge
}

// unanswered are the orders sent before whose answer was lost and whose effect
// no report shows. They go out again under the same id.
func (p *Planner) unanswered(now time.Time) []task {
	var out []task
	held := map[string]sendState{}
	for _, name := range slices.Sorted(maps.Keys(p.books.rows)) {
		e := p.books.rows[name]
		for _, c := range e.row.Charges {
			if state, ok := p.sent[c.Op]; ok {
				held[c.Op] = state
			}
		}
		for _, c := range e.row.Pending(now) {
			if held[c.Op] == sendDoubt && !e.dirty {
				out = append(out, task{name, c})
			}
		}
	}
	p.sent = held // drops what the books have settled
	return out
}

// reserveAll enters moves into the books, each before its order is sent. A
// move that gets no grant of the weight store, or whose reservation fails, is
// left to a later plan.
func (p *Planner) reserveAll(ctx context.Context, moves []place.Move) []task {
	var out []task
	for _, m := range moves {
		if !p.deps.Lease.Valid(p.books.epoch) || ctx.Err() != nil {
			return out
		}
		if t, ok := p.reserve(ctx, m); ok {
			out = append(out, t)
		}
	}
	return out
}

func (p *Planner) reserve(ctx context.Context, m place.Move) (task, bool) {
	e := p.books.rows[m.Upstream]
	if e == nil || e.dirty {
		return task{}, false
	}
	next, c, err := e.row.Reserve(p.deps.Now(), p.cfg.Bounds, p.books.epoch, newOp(), m.Change)
	if err != nil {
		p.deps.Log.Emit(event.MoveRefused, zap.String("upstream", m.Upstream), zap.Error(err))
		return task{}, false
	}
	t := task{m.Upstream, c}
	if m.Change.Kind == ledger.Load && !p.granted(ctx, t) {
		return task{}, false
	}
	if err := p.books.write(ctx, change{m.Upstream, next}); err != nil {
		p.lost(err)
		return task{}, false // a grant that was given is given back once the books show no charge for it
	}
	p.count(m)
	p.deps.Log.Emit(event.MoveDecided, zap.String("upstream", m.Upstream), zap.String("op", c.Op), zap.String("kind", string(c.Kind)),
		zap.String("model", c.Model), zap.String("adapter", c.Adapter), zap.String("version", c.Version), zap.String("why", string(m.Reason)))
	return t, true
}

// granted asks the weight store, whose limits all planners share, for the load
// that the order will start. The engine asks for the same load by the same
// name, so that planner and engine together take one place.
func (p *Planner) granted(ctx context.Context, t task) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	wait, err := p.deps.Weights.AcquireLoad(ctx, toOrder(t).LoadName())
	if err != nil || wait > 0 {
		return false
	}
	p.grants[t.charge.Op] = t
	return true
}

// releaseGrants gives back the places of loads that will not happen or are
// done. An engine does that itself for what it loaded; but an order that never
// reached it would otherwise hold its place until the store's own lapse, and
// with two places a site could then load nothing for minutes.
func (p *Planner) releaseGrants(ctx context.Context) {
	for op, t := range p.grants {
		e := p.books.rows[t.upstream]
		if e == nil || e.dirty || e.row.MayStillLoad(op, t.charge.Artifact) {
			continue
		}
		if p.deps.Weights.ReleaseLoad(ctx, toOrder(t).LoadName()) == nil {
			delete(p.grants, op)
		}
	}
}

func (p *Planner) count(m place.Move) {
	now := p.deps.Now()
	if m.Reason.Elective() {
		p.budget.AllowN(now, 1)
	}
	if m.Reason.StartsCooldown() || p.onDemand(m.Change.Artifact.Model) {
		p.last[place.Key{Model: m.Change.Artifact.Model, Adapter: m.Change.Artifact.Adapter}] = now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Change.Kind == ledger.Load {
		p.status.LoadOrders++
	} else {
		p.status.UnloadOrders++
	}
}

// onDemand models take turns, so each load of one begins its turn.
func (p *Planner) onDemand(model string) bool {
	return slices.ContainsFunc(p.deps.Inputs.View().Config.Models, func(m config.Model) bool { return m.Name == model && m.MinReplicas == 0 })
}

// sendAll sends orders side by side: a silent engine holds up no other.
func (p *Planner) sendAll(ctx context.Context, tasks []task) {
	states := make([]sendState, len(tasks))
	var g errgroup.Group
	g.SetLimit(p.cfg.MaxConcurrentSends)
	for i, t := range tasks {
		g.Go(func() error { states[i] = p.send(ctx, t); return nil })
	}
	_ = g.Wait()
	for i, t := range tasks {
		if states[i] != sendNever {
			p.sent[t.charge.Op] = states[i]
		}
	}
}

// send sends one order, if the lease and the order's window still allow it at
// this very moment. A planner that was paused between reserving and sending
// would otherwise act on authority it no longer has; one would notice orders
// of two epochs at one engine.
func (p *Planner) send(ctx context.Context, t task) sendState {
	if t.charge.CheckSendWindow(p.deps.Now()) != nil || !p.deps.Lease.Valid(p.books.epoch) {
		p.deps.Log.Emit(event.OrderNotSent, zap.String("upstream", t.upstream), zap.String("op", t.charge.Op))
		return sendNever
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	answer, err := p.deps.Orders.Send(ctx, t.upstream, toOrder(t))
	switch {
	case err != nil:
		p.deps.Log.Emit(event.OrderUnconfirmed, zap.String("upstream", t.upstream), zap.String("op", t.charge.Op), zap.Error(err))
		return sendDoubt
	case !answer.Accepted:
		// Its charge stays: only a report settles it, as a copy may be on its way.
		p.deps.Log.Emit(event.OrderRefused, zap.String("upstream", t.upstream), zap.String("op", t.charge.Op), zap.String("reason", answer.Reason))
	}
	return sendSettle
}

func toOrder(t task) engineapi.Order {
	kinds := map[bool][2]engineapi.OrderKind{
		false: {engineapi.OrderLoad, engineapi.OrderUnload},
		true:  {engineapi.OrderLoadAdapter, engineapi.OrderUnloadAdapter},
	}[t.charge.Adapter != ""]
	kind := kinds[0]
	if t.charge.Kind == ledger.Unload {
		kind = kinds[1]
	}
	return engineapi.Order{Op: t.charge.Op, Epoch: t.charge.Fence, Kind: kind, Model: t.charge.Model, Adapter: t.charge.Adapter,
		Version: t.charge.Version, MemoryMB: t.charge.MemoryMB, Incarnation: t.charge.Incarnation}
}
