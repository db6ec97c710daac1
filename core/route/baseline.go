package route

import "sync/atomic"

// NewRoundRobin returns a baseline picker that uses the usable endpoints in turn,
// regardless of their load.
func NewRoundRobin() Picker { return &roundRobin{filters: requiredFilters()} }

// NewLeastReported returns a baseline picker that uses the delayed reports without
// correction: it picks the endpoint with the fewest running and waiting requests, the
// first of equals.
func NewLeastReported() Picker { return leastReported{filters: requiredFilters()} }

// requiredFilters returns a picker with the filters that every policy must apply.
func requiredFilters() *staged {
	return &staged{filters: []filter{drainingFilter{}, downFilter{}, excludedFilter{}, readyFilter{}}}
}

type roundRobin struct {
	filters *staged
	next    atomic.Uint64
}

// Pick implements Picker.
func (p *roundRobin) Pick(s *Snapshot, r *Request, _ Source) Decision {
	candidates := findCandidates(s, r)
	start := p.next.Add(1)
	for k := range candidates {
		i := candidates[(start+uint64(k))%uint64(len(candidates))]
		if p.filters.check(&s.Endpoints[i], r) == Found {
			return Decision{Index: int(i)}
		}
	}
	return noEndpoint(candidates)
}

type leastReported struct {
	filters *staged
}

// Pick implements Picker.
func (p leastReported) Pick(s *Snapshot, r *Request, _ Source) Decision {
	candidates := findCandidates(s, r)
	best, lowest := -1, 0
	for _, i := range candidates {
		e := &s.Endpoints[i]
		reported := e.Running + e.Waiting
		if (best < 0 || reported < lowest) && p.filters.check(e, r) == Found {
			best, lowest = int(i), reported
		}
	}
	if best < 0 {
		return noEndpoint(candidates)
	}
	return Decision{Index: best, Score: float64(lowest)}
}

func noEndpoint(candidates []int32) Decision {
	if len(candidates) == 0 {
		return Decision{Index: -1, Reason: NoReplica}
	}
	return Decision{Index: -1, Reason: AllExcluded}
}
