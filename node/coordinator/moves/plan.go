package moves

import (
	"context"
	"math"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/demand"
)

// maxMovingShare is the maximum share of a service's upstreams that change models at
// once: the others carry the traffic meanwhile.
const maxMovingShare = 0.5

// Plan starts the moves that are worthwhile now. It returns how long the next plan should
// wait.
func (p *Planner) Plan(ctx context.Context) (pause time.Duration) {
	return pauseAfter(func() { p.plan(ctx) })
}

func (p *Planner) plan(ctx context.Context) {
	table := p.deps.Config.Current()
	if table == nil || p.deps.NoModelMoves {
		return
	}
	now := p.deps.Now()
	// The former holder placed models for a demand that this host has not observed yet;
	// planning by the little that it has observed would undo those placements. Until it
	// has observed enough it only serves callers that wait for a model.
	unservedOnly := p.deps.Term.Authority().Epoch > 1 && !p.deps.Demand.AllKnown(now)
	upstreams := p.allUpstreams()
	for _, u := range upstreams {
		u.pollUnattendedOrder(ctx, now)
	}
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		in := p.planInput(table.Config, s, upstreams, now)
		if len(in.Demand) == 0 {
			in.MaxMoves = len(in.Upstreams) // no caller is disturbed
			if now.Sub(p.newestUpstream()) < listQuietTime {
				continue
			}
		}
		for _, m := range p.deps.Policy.Plan(in) {
			if unservedOnly && !in.Demand[m.Load].Unserved {
				continue
			}
			p.startMove(ctx, m, s.Name, in.Demand[m.Load])
		}
	}
}

// planInput returns the snapshot of one service that a plan is based on.
func (p *Planner) planInput(cfg *deploy.Config, s *deploy.Service, upstreams []*managedUpstream, now time.Time) replica.Input {
	in := replica.Input{Engine: s.Engine, Demand: p.deps.Demand.OfService(s.Name, s.Engine, now),
		StoreLoadsLeft: min(p.deps.StoreLoads.Remaining(s.Engine.LoadsPerSecond, now), p.freeStoreSlots(s.Engine, upstreams, now))}
	in.SomeWaitForLoad, in.MaxCallerWait = demand.HasPatientRoute(cfg, s), demand.MaxCallerWait(cfg, s.Name)
	moving, timePerRequest := 0, meanEngineTime(in.Demand)
	for _, u := range upstreams {
		if u.entry.Service() != s.Name {
			continue
		}
		snapshot := u.snapshot(now)
		snapshot.UnavailableShare = unavailableShare(u.entry.Limit(), timePerRequest)
		snapshot.Movable = snapshot.Movable && snapshot.UnavailableShare < maxUnavailableShare
		in.Upstreams = append(in.Upstreams, snapshot)
		if u.isMoving() {
			moving++
		}
	}
	in.PriorLoad = replica.PriorLoads(s.Engine, len(in.Upstreams), func(model string) bool { return p.deps.Demand.IsKnown(s.Name, model, now) })
	in.MaxMoves = max(int(maxMovingShare*float64(len(in.Upstreams))), 1) - moving
	return in
}

// maxUnavailableShare is the share of an engine's time that a limit may withhold before
// models are no longer moved to the upstream. A load there would hardly pay, and its
// orders count against the limit, too.
const maxUnavailableShare = 0.5

// unavailableShare returns the share of its engine's time that an upstream withholds by a
// limit; timePerRequest is the engine time of one request.
func unavailableShare(l backpressure.Limit, timePerRequest time.Duration) float64 {
	if !l.Stated || timePerRequest == 0 {
		return 0
	}
	return max(1-l.PerSecond*timePerRequest.Seconds(), 0)
}

// meanEngineTime returns the mean engine time of a request for any model; 0: unknown.
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

// minStoreSlots lets a load begin beside one that is about to end.
const minStoreSlots = 2

// storeSlots returns how many loads from the weight store may run at once: as many as
// its rate keeps under way when each takes as long as it would alone. More would only
// slow each other down, so that the first model, which most callers wait for, is ready
// as late as the last. Eight loads begun together where two run at full speed took 4 to
// 7 s each, instead of 2.4 s.
func storeSlots(e *deploy.Engine) int {
	return max(int(math.Ceil(e.LoadsPerSecond*longestStoreLoad(e).Seconds())), minStoreSlots)
}

// storeLoadsUnderWay returns how many loads from the weight store are under way, or may
// be. Loads of a former holder appear as orders of unknown source once the upstream's
// report arrived, and are inherited from its handover before that.
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

// storeLoadOrigin is whether an upstream loads from the weight store, and by whose order.
type storeLoadOrigin uint8

const (
	noStoreLoad      storeLoadOrigin = iota
	ownStoreLoad                     // by an order of this host
	foreignStoreLoad                 // possibly, by an order of a former holder
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

// freeStoreSlots returns how many more loads from the weight store may begin beside
// those under way.
func (p *Planner) freeStoreSlots(e *deploy.Engine, upstreams []*managedUpstream, now time.Time) int {
	return storeSlots(e) - storeLoadsUnderWay(upstreams, p.deps.StoreLoads.InheritedWithin(longestStoreLoad(e), now))
}

// longestStoreLoad returns how long the slowest load from the weight store takes alone.
func longestStoreLoad(e *deploy.Engine) time.Duration {
	longest := time.Duration(0)
	for i := range e.Models {
		longest = max(longest, e.Models[i].StoreLoad)
	}
	return longest
}

// listQuietTime is how long no new upstream must have appeared before models are moved
// without any demand: while a deployment starts, its upstreams appear one by one, and
// what the remaining ones have resident is unknown.
const listQuietTime = time.Second

// snapshot returns the upstream as the plan uses it.
func (u *managedUpstream) snapshot(now time.Time) replica.Upstream {
	d, _ := u.entry.Description()
	quiet := u.p.deps.Term.InQuietPeriod(u.entry.ID(), now)
	u.mu.Lock()
	defer u.mu.Unlock()
	movable := !quiet && !u.record.Busy() && u.activeMove == nil && now.After(u.excludedUntil) && !u.entry.IsDown()
	out := replica.Upstream{ID: u.entry.ID(), Usable: u.isUsable(), Movable: movable,
		InMemory: setOf(d.InMemory), OnDisk: setOf(d.OnDisk), FreeMB: u.record.FreeMB(), Slowdown: u.entry.LastingSlowdown(now),
		DataCentre: u.entry.DataCentre(), LeftRecently: u.left.recent(now, u.p.deps.Policy.MinReturn)}
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
