// Package distance estimates the round trips between the data centres of a deployment from
// round trips that hosts measure to one of them. It does no I/O and has no clock.
package distance

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// windowLength is how long a measurement counts at least, and at most twice. The shortest
// one counts, since processing only adds to a round trip; a route that becomes longer shows
// once the shorter ones no longer count.
const windowLength = 30 * time.Second

// Estimator estimates round trips from the measurements of hosts to one data centre, that of
// the acting coordinator.
type Estimator struct {
	own string // the data centre that the hosts measure to

	mu      sync.Mutex // guards since and both windows
	since   time.Time
	current map[string]time.Duration // shortest round trip of the window by data centre
	before  map[string]time.Duration // the same of the window before

	published atomic.Pointer[estimate]
}

// estimate is what the measurements add up to; it does not change.
type estimate struct {
	toOwn map[string]time.Duration // what the way adds to a round trip within one data centre
	mean  time.Duration            // of toOwn, for pairs that no host measures
}

// NewEstimator returns an Estimator without measurements to a data centre.
func NewEstimator(own string) *Estimator {
	e := &Estimator{own: own, current: map[string]time.Duration{}}
	e.published.Store(&estimate{})
	return e
}

// Add records a round trip that a host of a data centre measured.
func (e *Estimator) Add(from string, took time.Duration, now time.Time) {
	if from == "" || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.since) > 2*windowLength { // nothing was measured for so long
		e.current = nil
	}
	if now.Sub(e.since) > windowLength {
		e.since, e.before, e.current = now, e.current, map[string]time.Duration{}
	}
	if least, ok := e.current[from]; ok && least <= took {
		return
	}
	e.current[from] = took
	e.publishLocked()
}

// publishLocked publishes what the shortest round trips add up to.
func (e *Estimator) publishLocked() {
	least := maps.Clone(e.current)
	for from, took := range e.before {
		if known, ok := least[from]; !ok || took < known {
			least[from] = took
		}
	}
	out := &estimate{toOwn: map[string]time.Duration{}}
	within := least[e.own] // 0 while no host of the data centre has measured
	for from, took := range least {
		if from != e.own {
			out.toOwn[from] = max(took-within, 0)
			out.mean += out.toOwn[from]
		}
	}
	if len(out.toOwn) > 0 {
		out.mean /= time.Duration(len(out.toOwn))
	}
	e.published.Store(out)
}

// Mean returns the mean round trip between two data centres, as RoundTrip; 0: not known.
func (e *Estimator) Mean() time.Duration { return e.published.Load().mean }

// RoundTrip returns the round trip between two data centres, beyond one within a data
// centre; 0: not known. Between two that are both not the hosts' destination it is assumed
// to be the mean of those that are known.
func (e *Estimator) RoundTrip(from, to string) time.Duration {
	known := e.published.Load()
	switch {
	case from == to:
		return 0
	case from == e.own && known.toOwn[to] > 0:
		return known.toOwn[to]
	case to == e.own && known.toOwn[from] > 0:
		return known.toOwn[from]
	default:
		return known.mean
	}
}
