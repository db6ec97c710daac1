package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/replica"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
)

const (
	// unloadBound is how long an unload may take: as long as the longest
	// streams that it waits for.
	unloadBound = 12 * time.Second
	// loadSlack is how much longer than by itself a load may take, when many
	// run at once, as a factor.
	loadSlack = 4
	// reportEach is how often the upstream is asked whether an order is done.
	// Each question is priced.
	reportEach = 300 * time.Millisecond
)

// start carries a move out beside the plan.
func (c *Coordinator) start(ctx context.Context, m replica.Move, d replica.Demand) {
	u, ok := c.unit(m.Upstream)
	if !ok {
		return
	}
	v := &moving{Move: m, demand: d, began: c.now()}
	u.mu.Lock()
	u.moving = v
	u.mu.Unlock()
	c.changed(u)
	if m.From == replica.FromStore {
		c.stores.begin(v.began)
	}
	go func() {
		err := u.move(ctx, v)
		c.settleStoreLoad(v)
		u.mu.Lock()
		u.moving = nil
		if err != nil {
			u.rested = c.now().Add(moveRest)
		}
		u.mu.Unlock()
		c.changed(u)
		if err != nil {
			c.deps.Log.Emit(event.MoveEndedEarly, zap.String(event.FieldPeer, m.Upstream), zap.String("unload", m.Unload),
				zap.String("load", m.Load), zap.Error(err))
		}
	}()
}

// moving is a move that is being carried out.
type moving struct {
	replica.Move
	demand replica.Demand // that it is for
	began  time.Time      // under which its load from the weight store is counted
	sent   bool           // the load was ordered
	loads  time.Time      // when its order was taken; zero: not yet; under the unit's mu
	taken  atomic.Bool    // the order was answered: it has been taken
}

// takenFromStore notes that a load was taken. It begins now: an order may have
// been given several times before it was answered.
func (c *Coordinator) takenFromStore(v *moving) {
	v.taken.Store(true)
	if v.From == replica.FromStore {
		c.stores.undo(v.began)
		v.began = c.now()
		c.stores.begin(v.began)
	}
}

// settleStoreLoad corrects the count of loads from the weight store by what
// became of a move.
func (c *Coordinator) settleStoreLoad(v *moving) {
	if v.taken.Load() || v.From != replica.FromStore {
		return
	}
	c.stores.undo(v.began)
	if v.sent {
		c.stores.doubt(c.now().Add(residency.MaxOrderDelay))
	}
}

const (
	// moveRest is how long an upstream is left out of plans after a move there
	// came to nothing. One that does not answer, or does something else than
	// is known, would else be chosen again at every look, and take the room of
	// moves that could be carried out.
	moveRest = time.Second
	// endEach is how often the end of a former holder's order is asked for: a
	// fraction of a load's time. Each question is priced.
	endEach = 700 * time.Millisecond
)

// lookForEnd asks for the upstream's report, beside the plan, while an order is
// being carried out there that no move of this host waits for: one of a former
// holder, or one whose move took too long and was given up. Without it the
// upstream would count as busy for good.
func (u *unit) lookForEnd(ctx context.Context, now time.Time) {
	u.mu.Lock()
	due := u.book.Busy() && u.moving == nil && now.Sub(u.asked) >= endEach
	if due {
		u.asked = now
	}
	u.mu.Unlock()
	if due {
		go func() { _ = u.settle(ctx) }() // a report that does not come is asked for again
	}
}

// move drops one model and loads another.
func (u *unit) move(ctx context.Context, v *moving) error {
	if v.Unload != "" {
		why := "makes way for " + v.Load
		if err := u.model(ctx, func(b *residency.Record) (residency.Order, bool) { return b.ModelUnloadOrder(v.Unload) }, why); err != nil {
			return err
		}
		if err := u.until(ctx, unloadBound, func(b *residency.Record) bool { return !b.HasModel(v.Unload) }); err != nil {
			return err
		}
	}
	if err := u.takeTurnAtStore(ctx, v); err != nil {
		return err
	}
	why := "demand " + v.demand.String() + " from " + v.From.String()
	err := u.model(ctx, func(b *residency.Record) (residency.Order, bool) {
		o, ok := b.ModelLoadOrder(v.Load)
		v.sent = v.sent || ok
		return o, ok
	}, why)
	if err != nil {
		return err
	}
	u.c.takenFromStore(v)
	u.mu.Lock()
	v.loads = u.c.now()
	u.mu.Unlock()
	u.c.changed(u)
	took := replica.LoadTime(u.engine, v.Load, v.From)
	if !pace.Sleep(ctx, took) {
		return ctx.Err()
	}
	return u.until(ctx, took*loadSlack, func(b *residency.Record) bool { return b.IsReady(v.Load, "") })
}

// takeTurnAtStore has a load from the weight store counted from now on. What
// makes way for it may have taken seconds, and a load that was counted then
// would pass the store's ceiling now without being seen.
func (u *unit) takeTurnAtStore(ctx context.Context, v *moving) error {
	if v.From != replica.FromStore || v.Unload == "" {
		return nil
	}
	for {
		now := u.c.now()
		if u.c.storeRoom(u.engine, u.c.allUnits(), now) > 0 && u.c.stores.postpone(v.began, u.engine.LoadsPerSecond, now) {
			v.began = now
			return nil
		}
		if !pace.Sleep(ctx, storeTurnEach) {
			return ctx.Err()
		}
	}
}

// storeTurnEach is how often a load looks for its turn: loads begin several
// times a second at most.
const storeTurnEach = 100 * time.Millisecond

// model gives one order for a model.
func (u *unit) model(ctx context.Context, make func(*residency.Record) (residency.Order, bool), why string) error {
	for range adapterTries {
		if !u.lockOrders(ctx) {
			return ctx.Err()
		}
		u.mu.Lock()
		unsure := u.book.NeedsReportForModel()
		o, ok := make(u.book)
		u.mu.Unlock()
		if unsure {
			err := u.settle(ctx)
			u.unlockOrders()
			if err != nil {
				return err
			}
			continue
		}
		if !ok {
			u.unlockOrders()
			return errNoUpstream
		}
		err := u.send(ctx, o, why, orderBound)
		u.unlockOrders()
		if err == nil {
			return nil
		}
		if u.c.mayOrder(orderBound) != nil {
			return err
		}
	}
	return errNoUpstream
}

// until asks the upstream for its report until something holds.
func (u *unit) until(ctx context.Context, bound time.Duration, done func(*residency.Record) bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for {
		err := u.settle(ctx)
		u.mu.Lock()
		ok := done(u.book)
		u.mu.Unlock()
		if ok {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil || u.c.mayOrder(0) == nil {
			pace.Sleep(ctx, reportEach)
		} else {
			return err
		}
	}
}
