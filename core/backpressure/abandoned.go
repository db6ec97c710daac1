package backpressure

import (
	"slices"
	"time"
)

const (
	// runMargin is by how much a request may run longer than the longest one that ended
	// lately, as a factor: requests of one service differ.
	runMargin = 3
	// runMemory is the factor by which the longest run decreases with each one that ends.
	runMemory = 0.99
	// unknownRun is how long an abandoned request may run while no run has ended yet.
	unknownRun = time.Second
	// maxAbandonedRun bounds how long an abandoned request counts: by then most upstreams
	// have noticed that its connection is closed.
	maxAbandonedRun = 3 * time.Second
)

// abandonedRuns are the requests that were given up, or whose host is gone, at an upstream
// that may not have noticed: they take its slots for as long as they may run.
type abandonedRuns struct {
	until   []time.Time
	longest time.Duration // longest run that ended lately; 0: none has
}

// observe records how long a request took.
func (a *abandonedRuns) observe(took time.Duration) {
	a.longest = max(took, time.Duration(float64(a.longest)*runMemory))
}

func (a *abandonedRuns) add(now time.Time) {
	mayRun := unknownRun
	if a.longest > 0 {
		mayRun = min(a.longest*runMargin, maxAbandonedRun)
	}
	a.until = append(a.until, now.Add(mayRun))
}

// count returns how many may still run.
func (a *abandonedRuns) count(now time.Time) int {
	a.until = slices.DeleteFunc(a.until, func(until time.Time) bool { return !now.Before(until) })
	return len(a.until)
}

// Abandoned records the end of a request that the upstream may still run, or may have
// refused, since nobody waits for its answer any more.
func (r *Room) Abandoned(s *Send, now time.Time) {
	r.expire(now)
	if r.isExposed(s.number) { // its refusal would not be learnt of
		r.refused = append(r.refused, now)
	}
	r.leave(s)
	r.abandoned.add(now)
}

// isExposed reports whether a request may still be refused.
func (r *Room) isExposed(send uint64) bool {
	return slices.ContainsFunc(r.exposed, func(x exposure) bool { return x.send == send })
}
