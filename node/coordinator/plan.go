package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/replica"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
)

const (
	// movingShare is the part of a service's upstreams that may change models
	// at once: the others carry the traffic meanwhile.
	movingShare = 0.5
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

// plan starts the moves that are worth it now.
func (c *Coordinator) plan(ctx context.Context) {
	table := c.deps.Config.Current()
	if table == nil || c.cfg.NoModelMoves {
		return
	}
	now := c.now()
	units := c.allUnits()
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		in := replica.Input{Engine: s.Engine, Demand: c.demand.service(s.Name, s.Engine, now), StoreLeft: c.stores.left(s.Engine.LoadsPerSecond, now)}
		in.Prior = replica.Priors(s.Engine, func(model string) bool { return c.demand.known(s.Name, model, now) })
		in.SomePatient = somePatient(table.Config, s)
		moving := 0
		for _, u := range units {
			if u.entry.Service() == s.Name {
				in.Upstreams = append(in.Upstreams, u.snapshot(now))
				if u.isMoving() {
					moving++
				}
			}
		}
		in.Most = max(int(movingShare*float64(len(in.Upstreams))), 1) - moving
		if len(in.Demand) == 0 {
			in.Most = len(in.Upstreams) // nobody is disturbed
			if now.Sub(c.newestUnit()) < listSettles {
				continue
			}
		}
		for _, m := range c.cfg.Policy.Plan(in) {
			c.start(ctx, m, in.Demand[m.Load])
		}
	}
}

// listSettles is how long no new upstream must have come before models are
// moved though nobody asks for any: while a deployment starts, its upstreams
// come into view one by one, and what the rest hold is not known.
const listSettles = time.Second

// snapshot is the upstream as the plan sees it.
func (u *unit) snapshot(now time.Time) replica.Upstream {
	d, _ := u.entry.Described()
	u.mu.Lock()
	defer u.mu.Unlock()
	out := replica.Upstream{ID: u.entry.ID(), Usable: u.usable(), Movable: !u.book.Busy() && u.moving == nil,
		InMemory: setOf(d.InMemory), OnDisk: setOf(d.OnDisk), Room: map[string]bool{}}
	coming := ""
	if u.moving != nil {
		coming = u.moving.Load
	}
	for _, h := range u.book.Held(now) {
		if u.moving != nil && h.Model == u.moving.Unload {
			continue
		}
		if h.Model == coming {
			coming = ""
		}
		out.Held = append(out.Held, replica.Held{Model: h.Model, Ready: h.Ready, For: h.For, Idle: h.Idle})
	}
	if coming != "" {
		out.Held = append(out.Held, replica.Held{Model: coming})
	}
	for i := range u.engine.Models {
		if name := u.engine.Models[i].Name; u.book.Room(name) {
			out.Room[name] = true
		}
	}
	return out
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

func (u *unit) isMoving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.moving != nil
}

// start carries a move out beside the plan.
func (c *Coordinator) start(ctx context.Context, m replica.Move, d replica.Demand) {
	u, ok := c.unit(m.Upstream)
	if !ok {
		return
	}
	u.mu.Lock()
	u.moving = &m
	u.mu.Unlock()
	if m.From == replica.FromStore {
		c.stores.begin(c.now())
	}
	go func() {
		defer func() {
			u.mu.Lock()
			u.moving = nil
			u.mu.Unlock()
		}()
		if err := u.move(ctx, m, d); err != nil {
			c.deps.Log.Emit(event.MoveEnded, zap.String(event.FieldPeer, m.Upstream), zap.String("unload", m.Unload),
				zap.String("load", m.Load), zap.Error(err))
		}
	}()
}

// move drops one model and loads another.
func (u *unit) move(ctx context.Context, m replica.Move, d replica.Demand) error {
	if m.Unload != "" {
		why := "makes way for " + m.Load
		if err := u.model(ctx, func(b *residency.Book) (residency.Order, bool) { return b.UnloadModel(m.Unload) }, why); err != nil {
			return err
		}
		if err := u.until(ctx, unloadBound, func(b *residency.Book) bool { return !b.Has(m.Unload) }); err != nil {
			return err
		}
	}
	why := "demand " + d.String() + " from " + m.From.String()
	if err := u.model(ctx, func(b *residency.Book) (residency.Order, bool) { return b.LoadModel(m.Load) }, why); err != nil {
		return err
	}
	took := replica.LoadTime(u.engine, m.Load, m.From)
	if !pace.Sleep(ctx, took) {
		return ctx.Err()
	}
	return u.until(ctx, took*loadSlack, func(b *residency.Book) bool { return b.Holds(m.Load, "") })
}

// model gives one order for a model.
func (u *unit) model(ctx context.Context, make func(*residency.Book) (residency.Order, bool), why string) error {
	for range adapterTries {
		u.orderMu.Lock()
		u.mu.Lock()
		unsure := u.book.Unsure()
		o, ok := make(u.book)
		u.mu.Unlock()
		if unsure {
			err := u.settle(ctx)
			u.orderMu.Unlock()
			if err != nil {
				return err
			}
			continue
		}
		if !ok {
			u.orderMu.Unlock()
			return errNoUpstream
		}
		err := u.send(ctx, o, why)
		u.orderMu.Unlock()
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
func (u *unit) until(ctx context.Context, bound time.Duration, done func(*residency.Book) bool) error {
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
