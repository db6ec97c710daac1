package route

import "sync/atomic"

// NewRoundRobin makes the baseline that takes the usable endpoints in turn and
// looks at no load.
func NewRoundRobin() Picker { return &roundRobin{filters: usable()} }

// NewLeastReported makes the baseline that trusts the lagged report as it is:
// the least running and waiting, the first of equals.
func NewLeastReported() Picker { return leastReported{filters: usable()} }

// usable are the filters that no policy may leave out.
func usable() *staged {
	return &staged{filters: []filter{leavingFilter{}, downFilter{}, avoidFilter{}, readyFilter{}}}
}

type roundRobin struct {
	filters *staged
	next    atomic.Uint64
}

// Pick implements Picker.
func (p *roundRobin) Pick(s *Snapshot, r *Request, _ Source) Decision {
	candidates := candidatesOf(s, r)
	start := p.next.Add(1)
	for k := range candidates {
		i := candidates[(start+uint64(k))%uint64(len(candidates))]
		if p.filters.check(&s.Endpoints[i], r) == Found {
			return Decision{Index: int(i)}
		}
	}
	return noneOf(candidates)
}

type leastReported struct {
	filters *staged
}

// Pick implements Picker.
func (p leastReported) Pick(s *Snapshot, r *Request, _ Source) Decision {
	candidates := candidatesOf(s, r)
	best, least := -1, 0
	for _, i := range candidates {
		e := &s.Endpoints[i]
		reported := e.Running + e.Waiting
		if (best < 0 || reported < least) && p.filters.check(e, r) == Found {
			best, least = int(i), reported
		}
	}
	if best < 0 {
		return noneOf(candidates)
	}
	return Decision{Index: best, Score: float64(least)}
}

func noneOf(candidates []int32) Decision {
	if len(candidates) == 0 {
		return Decision{Index: -1, Reason: NoReplica}
	}
	return Decision{Index: -1, Reason: AllExcluded}
}
