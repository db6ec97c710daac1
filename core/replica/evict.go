package replica

import "math"

// evictionCandidate returns the model to evict at an upstream for the wanted
// model, with the cost in seconds; nil and true when there is room without an
// eviction, false when there is no candidate.
func (p Policy) evictionCandidate(s *state, u *upstream, wanted *model) (*model, float64, bool) {
	if u.FreeMB >= wanted.weightsMB {
		return nil, 0, true
	}
	pressure := wanted.pressure()
	var best *model
	lowest := math.Inf(1)
	for _, candidate := range u.residents {
		after, ok := p.pressureAfterEviction(s, u, candidate, wanted)
		if !ok || after*p.requiredRatio(candidate.model, wanted) > pressure {
			continue
		}
		cost := p.evictionCost(u, candidate, after)
		if cost < lowest {
			best, lowest = candidate.model, cost
		}
	}
	return best, lowest, best != nil
}

// evictionCost returns the cost in seconds of evicting a resident that leaves its model
// under a pressure.
func (p Policy) evictionCost(u *upstream, candidate *resident, after float64) float64 {
	cost := after*evictedPressureWeight - min(candidate.IdleFor.Seconds(), maxIdleSeconds)*idleWeight
	return cost + p.evictionRemoteCost(candidate.model, u)
}

// pressureAfterEviction returns the pressure on a model once it has been evicted
// at an upstream, and whether it may be evicted for the wanted model; nil stands
// for any model.
func (p Policy) pressureAfterEviction(s *state, u *upstream, candidate *resident, wanted *model) (float64, bool) {
	if !candidate.Ready || candidate.ReadyFor < p.MinResidency {
		return 0, false
	}
	if candidate.model.readyReplicas >= 2 {
		return candidate.model.pressureWith(candidate.model.replicas-1, candidate.model.unavailable-u.unavailable()), true
	}
	// A replica that is still being loaded answers nobody yet, so this is the last one.
	if wanted != nil && !p.mayEvictLastReplica(s, u, candidate.model) && !p.yieldsTo(candidate, wanted) {
		return 0, false
	}
	return p.EvictedPressure + p.EvictedPressurePerLoad*candidate.model.demand.EngineLoad, true
}

// mayEvictLastReplica reports whether a model's last replica may be evicted at an
// upstream: nobody asks for the model, and a caller would still be answered after a
// load from the copy that remains there; or its callers would wait for a load, and
// none is unserved now; or nobody has asked for it yet, its prior is low, and the
// deployment has callers who would wait. If every model kept a place, however long
// ago it was asked for, the hot models would have hardly more than one each when
// upstreams are few: a tenth of all requests was refused then while engines were
// idle.
func (p Policy) mayEvictLastReplica(s *state, u *upstream, m *model) bool {
	if m.isIdle() && m.loadSeconds[u.source(m.name)] <= s.maxCallerWaitSeconds {
		return true
	}
	if m.requested {
		return m.demand.WaitsForLoad && !m.demand.Unserved
	}
	return s.someWaitForLoad && m.prior < p.MinKeptPrior
}

// yieldsTo reports whether a model's last replica is evicted for a wanted model
// that has no replica and is asked for. When upstreams are lost there may be fewer
// places than models: those that are asked for are loaded first.
func (p Policy) yieldsTo(candidate *resident, wanted *model) bool {
	if wanted.replicas > 0 || !wanted.demand.Unserved {
		return false
	}
	return candidate.IdleFor >= p.MinIdle || p.MinDemandRatio*candidate.model.demand.EngineLoad < wanted.demand.EngineLoad
}

const (
	// evictedPressureWeight converts the pressure on a model after its eviction
	// into seconds.
	evictedPressureWeight = 4.0
	// idleWeight and maxIdleSeconds favour models that have been idle. An unload
	// waits for the requests that run: a model without requests for a while is
	// unloaded at once, and beyond maxIdleSeconds a longer time makes no
	// difference.
	idleWeight     = 0.3
	maxIdleSeconds = 5.0
)
