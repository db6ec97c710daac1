package replica

import "math"

// victim picks the model that makes way at an upstream, with what that costs
// in seconds; nil when there is room without one.
func (p Policy) victim(s *state, u *upstream, wanted *model) (*model, float64, bool) {
	if u.FreeMB >= wanted.weights {
		return nil, 0, true
	}
	pressure := wanted.pressure()
	var best *model
	lowest := math.Inf(1)
	for i := range u.held {
		v := &u.held[i]
		after, ok := p.afterwards(s, u, v, wanted)
		if !ok || after*p.MinPressureRatio > pressure {
			continue
		}
		cost := after*victimWeight - min(v.IdleFor.Seconds(), longIdle)*idleWeight
		if cost < lowest {
			best, lowest = v.model, cost
		}
	}
	return best, lowest, best != nil
}

// afterwards is the pressure on a model once it has made way at an upstream,
// if it may; nil stands for any other that it may make way for.
func (p Policy) afterwards(s *state, u *upstream, v *held, wanted *model) (float64, bool) {
	if !v.Ready || v.ReadyFor < p.MinResidency {
		return 0, false
	}
	if v.model.ready >= 2 {
		return v.model.pressureOf(v.model.replicas-1, v.model.lacking-u.UnavailableShare), true
	}
	// One that is still being loaded answers nobody yet.
	if wanted != nil && !p.mayBeNowhere(s, u, v.model) && !p.yields(v, wanted) {
		return 0, false
	}
	return p.EvictedPressure + p.EvictedPressurePerLoad*v.model.demand.EngineLoad, true
}

// mayBeNowhere says whether a model's last replica may make way at an upstream:
// its callers would wait for a load, or nobody calls and whoever does is still
// answered after a load from the copy that is left there. Where each model keeps
// a place, however long ago it was asked for, the hot ones have hardly more than
// one when upstreams are few: then a tenth of all requests is refused with engines
// idle.
func (p Policy) mayBeNowhere(s *state, u *upstream, m *model) bool {
	if m.idle() && m.seconds[u.source(m.name)] <= s.callersWait {
		return true
	}
	if m.asked {
		return m.demand.WaitsForLoad && !m.demand.Unserved
	}
	return s.somePatient && m.prior < p.MinKeptPrior
}

// yields says whether a model's last replica makes way for one that is nowhere
// and asked for. When upstreams are lost there may be fewer places than models;
// then the places go to those that are asked for, and the others in turn.
func (p Policy) yields(v *held, wanted *model) bool {
	if wanted.replicas > 0 || !wanted.demand.Unserved {
		return false
	}
	return v.IdleFor >= p.MinIdle || p.MinDemandRatio*v.model.demand.EngineLoad < wanted.demand.EngineLoad
}

const (
	// victimWeight turns the pressure that a model is left with into seconds.
	victimWeight = 4.0
	// An unload waits for the requests that run. One that had none for a while
	// is gone at once; beyond longIdle seconds that makes no difference.
	idleWeight = 0.3
	longIdle   = 5.0
)
