package coordinator

import (
	"context"
	"math"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
)

// movingShare is the part of a service's upstreams that may change models at
// once: the others carry the traffic meanwhile.
const movingShare = 0.5

// plan starts the moves that are worth it now.
func (c *Coordinator) plan(ctx context.Context) {
	table := c.deps.Config.Current()
	if table == nil || c.cfg.NoModelMoves {
		return
	}
	now := c.now()
	// What a former holder placed followed a demand that this one has not seen
	// yet; to go by the little that it has would undo it. Until it has seen more
	// it only helps those who wait for a model.
	early := c.epoch() > 1 && !c.demand.heard(now)
	units := c.allUnits()
	for _, u := range units {
		u.lookForEnd(ctx, now)
	}
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		in := c.planInput(table.Config, s, units, now)
		if len(in.Demand) == 0 {
			in.MaxMoves = len(in.Upstreams) // nobody is disturbed
			if now.Sub(c.newestUnit()) < listSettles {
				continue
			}
		}
		for _, m := range c.cfg.Policy.Plan(in) {
			if early && !in.Demand[m.Load].Unserved {
				continue
			}
			c.start(ctx, m, in.Demand[m.Load])
		}
	}
}

// planInput is the snapshot of one service that a plan goes by.
func (c *Coordinator) planInput(cfg *deploy.Config, s *deploy.Service, units []*unit, now time.Time) replica.Input {
	in := replica.Input{Engine: s.Engine, Demand: c.demand.service(s.Name, s.Engine, now),
		StoreLoadsLeft: min(c.stores.left(s.Engine.LoadsPerSecond, now), c.storeRoom(s.Engine, units, now))}
	in.SomeWaitForLoad, in.MaxCallerWait = somePatient(cfg, s), callersWait(cfg, s.Name)
	moving, each := 0, meanTime(in.Demand)
	for _, u := range units {
		if u.entry.Service() != s.Name {
			continue
		}
		at := u.snapshot(now)
		at.UnavailableShare = lacking(u.entry.Limit(), each)
		at.Movable = at.Movable && at.UnavailableShare < mostLacking
		in.Upstreams = append(in.Upstreams, at)
		if u.isMoving() {
			moving++
		}
	}
	in.PriorLoad = replica.PriorLoads(s.Engine, len(in.Upstreams), func(model string) bool { return c.demand.known(s.Name, model, now) })
	in.MaxMoves = max(int(movingShare*float64(len(in.Upstreams))), 1) - moving
	return in
}

// mostLacking is the part of an engine's time that an upstream with a limit may
// not give for models to be moved there. A load would hardly pay, and its orders
// are calls, too.
const mostLacking = 0.5

// lacking is the part of its engine's time that an upstream does not give when it
// names a limit; each is what a request takes of that.
func lacking(l backpressure.Limit, each time.Duration) float64 {
	if !l.Stated || each == 0 {
		return 0
	}
	return max(1-l.PerSecond*each.Seconds(), 0)
}

// meanTime is the engine's time that a request of any model takes; 0: not known.
func meanTime(demand map[string]replica.Demand) time.Duration {
	load, perSecond := 0.0, 0.0
	for _, d := range demand {
		if d.TimePerRequest > 0 {
			load, perSecond = load+d.EngineLoad, perSecond+d.EngineLoad/d.TimePerRequest.Seconds()
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(load / perSecond * float64(time.Second))
}

// leastStorePlaces lets a load begin beside one that ends.
const leastStorePlaces = 2

// storePlaces is how many loads from the weight store may run at once: as many
// as its rate keeps under way when each takes the time of one by itself. More
// would only slow each other down, so that the first model, which most callers
// wait for, comes as late as the last. Eight begun together where two run at
// full speed took 4 to 7 s in place of 2.4 s, all of them.
func storePlaces(e *deploy.Engine) int {
	return max(int(math.Ceil(e.LoadsPerSecond*longestLoad(e).Seconds())), leastStorePlaces)
}

// loadingFromStore is how many loads from the weight store are under way, or
// may be. Those of a former holder show as orders of unknown source once the
// upstream's report was seen, and by the former holder's word before.
func loadingFromStore(units []*unit, told int) int {
	own, foreign := 0, 0
	for _, u := range units {
		switch u.loading() {
		case loadsOwn:
			own++
		case loadsForeign:
			foreign++
		}
	}
	return own + max(foreign, told)
}

// storeLoad says whether an upstream loads from the weight store.
type storeLoad uint8

const (
	loadsNot     storeLoad = iota
	loadsOwn               // by an order of this host
	loadsForeign           // perhaps, by an order of a former holder
)

func (u *unit) loading() storeLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch v := u.moving; {
	case v == nil && u.book.HasFormerHolderOrder():
		return loadsForeign
	case v != nil && v.From == replica.FromStore && (v.Unload == "" || v.sent):
		return loadsOwn
	}
	return loadsNot
}

// storeRoom is how many more loads from the weight store may begin beside those
// under way.
func (c *Coordinator) storeRoom(e *deploy.Engine, units []*unit, now time.Time) int {
	return storePlaces(e) - loadingFromStore(units, c.stores.inheritedWithin(longestLoad(e), now))
}

// longestLoad is how long the slowest load from the weight store takes by itself.
func longestLoad(e *deploy.Engine) time.Duration {
	longest := time.Duration(0)
	for i := range e.Models {
		longest = max(longest, e.Models[i].StoreLoad)
	}
	return longest
}

// listSettles is how long no new upstream must have come before models are
// moved though nobody asks for any: while a deployment starts, its upstreams
// come into view one by one, and what the rest hold is not known.
const listSettles = time.Second

// snapshot is the upstream as the plan sees it.
func (u *unit) snapshot(now time.Time) replica.Upstream {
	d, _ := u.entry.Description()
	quiet := u.c.quietFor(u.entry.ID(), now)
	u.mu.Lock()
	defer u.mu.Unlock()
	movable := !quiet && !u.book.Busy() && u.moving == nil && now.After(u.rested) && !u.entry.IsDown()
	out := replica.Upstream{ID: u.entry.ID(), Usable: u.usable(), Movable: movable,
		InMemory: setOf(d.InMemory), OnDisk: setOf(d.OnDisk), FreeMB: u.book.FreeMB()}
	coming := ""
	if u.moving != nil {
		coming = u.moving.Load
	}
	for _, h := range u.book.Models(now) {
		if u.moving != nil && h.Model == u.moving.Unload {
			continue
		}
		if h.Model == coming {
			coming = ""
		}
		out.Residents = append(out.Residents, replica.Resident{Model: h.Model, Ready: h.Ready, ReadyFor: h.ReadyFor, IdleFor: h.IdleFor})
	}
	if coming != "" {
		out.Residents = append(out.Residents, replica.Resident{Model: coming})
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
