package replica

import "math"

// evictionCandidate picks the model that makes way at an upstream, with what that costs
// in seconds; nil when there is room without one.
func (p Policy) evictionCandidate(s *state, u *upstream, wanted *model) (*model, float64, bool) {
	if u.FreeMB >= wanted.weightsMB {
		return nil, 0, true
	}
	pressure := wanted.pressure()
	var best *model
	lowest := math.Inf(1)
	for i := range u.residents {
		v := &u.residents[i]
		after, ok := p.pressureAfterEviction(s, u, v, wanted)
		if !ok || after*p.MinPressureRatio > pressure {
			continue
		}
		cost := after*evictedPressureWeight - min(v.IdleFor.Seconds(), maxIdleSeconds)*idleWeight
		if cost < lowest {
			best, lowest = v.model, cost
		}
	}
	return best, lowest, best != nil
}

// pressureAfterEviction is the pressure on a model once it has made way at an upstream,
// if it may; nil stands for any other that it may make way for.
func (p Policy) pressureAfterEviction(s *state, u *upstream, v *resident, wanted *model) (float64, bool) {
	if !v.Ready || v.ReadyFor < p.MinResidency {
		return 0, false
	}
	if v.model.readyReplicas >= 2 {
		return v.model.pressureWith(v.model.replicas-1, v.model.unavailable-u.UnavailableShare), true
	}
	// One that is still being loaded answers nobody yet.
	if wanted != nil && !p.mayBeAbsent(s, u, v.model) && !p.yieldsTo(v, wanted) {
		return 0, false
	}
	return p.EvictedPressure + p.EvictedPressurePerLoad*v.model.demand.EngineLoad, true
}

// mayBeAbsent says whether a model's last replica may make way at an upstream:
// its callers would wait for a load, or nobody calls and whoever does is still
// answered after a load from the copy that is left there. Where each model keeps
// a place, however long ago it was asked for, the hot ones have hardly more than
// one when upstreams are few: then a tenth of all requests is refused with engines
// idle.
func (p Policy) mayBeAbsent(s *state, u *upstream, m *model) bool {
	if m.isIdle() && m.loadSeconds[u.source(m.name)] <= s.maxCallerWaitSeconds {
		return true
	}
	if m.requested {
		return m.demand.WaitsForLoad && !m.demand.Unserved
	}
	return s.someWaitForLoad && m.prior < p.MinKeptPrior
}

// yieldsTo says whether a model's last replica makes way for one that is nowhere
// and asked for. When upstreams are lost there may be fewer places than models;
// then the places go to those that are asked for, and the others in turn.
func (p Policy) yieldsTo(v *resident, wanted *model) bool {
	if wanted.replicas > 0 || !wanted.demand.Unserved {
		return false
	}
	return v.IdleFor >= p.MinIdle || p.MinDemandRatio*v.model.demand.EngineLoad < wanted.demand.EngineLoad
}

const (
	// evictedPressureWeight turns the pressure that a model is left with into seconds.
	evictedPressureWeight = 4.0
	// An unload waits for the requests that run. One that had none for a while
	// is gone at once; beyond longIdle seconds that makes no difference.
	idleWeight     = 0.3
	maxIdleSeconds = 5.0
)
