package coordinator

import (
	"context"
	"math"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
)

// maxMovingShare is the part of a service's upstreams that may change models at
// once: the others carry the traffic meanwhile.
const maxMovingShare = 0.5

// planMoves starts the moves that are worth it now.
func (c *Coordinator) planMoves(ctx context.Context) {
	table := c.deps.Config.Current()
	if table == nil || c.cfg.NoModelMoves {
		return
	}
	now := c.now()
	// What a former holder placed followed a demand that this one has not seen
	// yet; to go by the little that it has would undo it. Until it has seen more
	// it only helps those who wait for a model.
	unservedOnly := c.epoch() > 1 && !c.demand.allKnown(now)
	upstreams := c.allUpstreams()
	for _, u := range upstreams {
		u.pollUnattendedOrder(ctx, now)
	}
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		in := c.planInput(table.Config, s, upstreams, now)
		if len(in.Demand) == 0 {
			in.MaxMoves = len(in.Upstreams) // nobody is disturbed
			if now.Sub(c.newestUpstream()) < listQuietTime {
				continue
			}
		}
		for _, m := range c.cfg.Policy.Plan(in) {
			if unservedOnly && !in.Demand[m.Load].Unserved {
				continue
			}
			c.startMove(ctx, m, in.Demand[m.Load])
		}
	}
}

// planInput is the snapshot of one service that a plan goes by.
func (c *Coordinator) planInput(cfg *deploy.Config, s *deploy.Service, upstreams []*managedUpstream, now time.Time) replica.Input {
	in := replica.Input{Engine: s.Engine, Demand: c.demand.service(s.Name, s.Engine, now),
		StoreLoadsLeft: min(c.storeLoads.remaining(s.Engine.LoadsPerSecond, now), c.freeStoreSlots(s.Engine, upstreams, now))}
	in.SomeWaitForLoad, in.MaxCallerWait = hasPatientRoute(cfg, s), maxCallerWait(cfg, s.Name)
	moving, timePerRequest := 0, meanEngineTime(in.Demand)
	for _, u := range upstreams {
		if u.entry.Service() != s.Name {
			continue
		}
		at := u.snapshot(now)
		at.UnavailableShare = lackingShare(u.entry.Limit(), timePerRequest)
		at.Movable = at.Movable && at.UnavailableShare < maxLackingShare
		in.Upstreams = append(in.Upstreams, at)
		if u.isMoving() {
			moving++
		}
	}
	in.PriorLoad = replica.PriorLoads(s.Engine, len(in.Upstreams), func(model string) bool { return c.demand.isKnown(s.Name, model, now) })
	in.MaxMoves = max(int(maxMovingShare*float64(len(in.Upstreams))), 1) - moving
	return in
}

// maxLackingShare is the part of an engine's time that an upstream with a limit may
// not give for models to be moved there. A load would hardly pay, and its orders
// are calls, too.
const maxLackingShare = 0.5

// lackingShare is the part of its engine's time that an upstream does not give when it
// names a limit; each is what a request takes of that.
func lackingShare(l backpressure.Limit, timePerRequest time.Duration) float64 {
	if !l.Stated || timePerRequest == 0 {
		return 0
	}
	return max(1-l.PerSecond*timePerRequest.Seconds(), 0)
}

// meanEngineTime is the engine's time that a request of any model takes; 0: not known.
func meanEngineTime(demand map[string]replica.Demand) time.Duration {
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

// minStoreSlots lets a load begin beside one that ends.
const minStoreSlots = 2

// storeSlots is how many loads from the weight store may run at once: as many
// as its rate keeps under way when each takes the time of one by itself. More
// would only slow each other down, so that the first model, which most callers
// wait for, comes as late as the last. Eight begun together where two run at
// full speed took 4 to 7 s in place of 2.4 s, all of them.
func storeSlots(e *deploy.Engine) int {
	return max(int(math.Ceil(e.LoadsPerSecond*longestStoreLoad(e).Seconds())), minStoreSlots)
}

// storeLoadsUnderWay is how many loads from the weight store are under way, or
// may be. Those of a former holder show as orders of unknown source once the
// upstream's report was seen, and by the former holder's word before.
func storeLoadsUnderWay(upstreams []*managedUpstream, inherited int) int {
	own, foreign := 0, 0
	for _, u := range upstreams {
		switch u.storeLoadOrigin() {
		case ownStoreLoad:
			own++
		case foreignStoreLoad:
			foreign++
		}
	}
	return own + max(foreign, inherited)
}

// storeLoadOrigin says whether an upstream loads from the weight store.
type storeLoadOrigin uint8

const (
	noStoreLoad      storeLoadOrigin = iota
	ownStoreLoad                     // by an order of this host
	foreignStoreLoad                 // perhaps, by an order of a former holder
)

func (u *managedUpstream) storeLoadOrigin() storeLoadOrigin {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch v := u.activeMove; {
	case v == nil && u.record.HasFormerHolderOrder():
		return foreignStoreLoad
	case v != nil && v.From == replica.FromStore && (v.Unload == "" || v.ordered):
		return ownStoreLoad
	}
	return noStoreLoad
}

// freeStoreSlots is how many more loads from the weight store may begin beside those
// under way.
func (c *Coordinator) freeStoreSlots(e *deploy.Engine, upstreams []*managedUpstream, now time.Time) int {
	return storeSlots(e) - storeLoadsUnderWay(upstreams, c.storeLoads.inheritedWithin(longestStoreLoad(e), now))
}

// longestStoreLoad is how long the slowest load from the weight store takes by itself.
func longestStoreLoad(e *deploy.Engine) time.Duration {
	longest := time.Duration(0)
	for i := range e.Models {
		longest = max(longest, e.Models[i].StoreLoad)
	}
	return longest
}

// listQuietTime is how long no new upstream must have come before models are
// moved though nobody asks for any: while a deployment starts, its upstreams
// come into view one by one, and what the rest hold is not known.
const listQuietTime = time.Second

// snapshot is the upstream as the plan sees it.
func (u *managedUpstream) snapshot(now time.Time) replica.Upstream {
	d, _ := u.entry.Description()
	quiet := u.c.inQuietPeriod(u.entry.ID(), now)
	u.mu.Lock()
	defer u.mu.Unlock()
	movable := !quiet && !u.record.Busy() && u.activeMove == nil && now.After(u.excludedUntil) && !u.entry.IsDown()
	out := replica.Upstream{ID: u.entry.ID(), Usable: u.isUsable(), Movable: movable,
		InMemory: setOf(d.InMemory), OnDisk: setOf(d.OnDisk), FreeMB: u.record.FreeMB()}
	loading := ""
	if u.activeMove != nil {
		loading = u.activeMove.Load
	}
	for _, h := range u.record.Models(now) {
		if u.activeMove != nil && h.Model == u.activeMove.Unload {
			continue
		}
		if h.Model == loading {
			loading = ""
		}
		out.Residents = append(out.Residents, replica.Resident{Model: h.Model, Ready: h.Ready, ReadyFor: h.ReadyFor, IdleFor: h.IdleFor})
	}
	if loading != "" {
		out.Residents = append(out.Residents, replica.Resident{Model: loading})
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

func (u *managedUpstream) isMoving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.activeMove != nil
}
