package replica

import "math"

// victim picks the model that makes way at an upstream, with what that costs
// in seconds; "" when there is room without one.
func (p Policy) victim(s *state, u *Upstream, wanted string) (string, float64, bool) {
	if u.Room[wanted] {
		return "", 0, true
	}
	pressure := s.pressure(wanted, s.replicas[wanted])
	best, lowest := "", math.Inf(1)
	for _, h := range u.Held {
		if !h.Ready || h.For < p.Settled {
			continue
		}
		after := s.pressure(h.Model, s.replicas[h.Model]-1)
		if s.ready[h.Model] < 2 { // one that is still being loaded answers nobody yet
			if !p.mayBeNowhere(s, h.Model) && !p.yields(s, h, wanted) {
				continue
			}
			after = p.Absent + p.AbsentShare*s.in.Demand[h.Model].Load
		}
		if after*p.Gain > pressure {
			continue
		}
		cost := after*victimWeight - min(h.Idle.Seconds(), longIdle)*idleWeight
		if cost < lowest {
			best, lowest = h.Model, cost
		}
	}
	return best, lowest, best != ""
}

// mayBeNowhere says whether a model's last replica may make way: its callers
// would wait for a load, or nobody is expected to call.
func (p Policy) mayBeNowhere(s *state, name string) bool {
	d, asked := s.in.Demand[name]
	if asked {
		return d.Patient && !d.Unserved
	}
	return s.in.SomePatient && s.in.Prior[name] < p.Unlikely
}

// yields says whether a model's last replica makes way for one that is nowhere
// and asked for. When upstreams are lost there may be fewer places than models;
// then the places go to those that are asked for, and the others in turn.
func (p Policy) yields(s *state, h Held, wanted string) bool {
	d := s.in.Demand[wanted]
	if s.replicas[wanted] > 0 || !d.Unserved {
		return false
	}
	return h.Idle >= p.Idle || p.Outweighs*s.in.Demand[h.Model].Load < d.Load
}

const (
	// victimWeight turns the pressure that a model is left with into seconds.
	victimWeight = 4.0
	// An unload waits for the requests that run. One that had none for a while
	// is gone at once; beyond longIdle seconds that makes no difference.
	idleWeight = 0.3
	longIdle   = 5.0
)
