package fleet

import "time"

// StartBackoff notes that the upstream wants nothing from this host for a time. When that
// is over, requests come back by a slow start.
func (e *Entry) StartBackoff(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := e.fleet.deps.Now().Add(duration); until.After(e.backoffUntil) {
		e.backoffUntil = until
		e.fleet.backoffs.extend(until)
	}
	e.slowStart.Start()
}

// SlowStartWait is when a request is tried again that waits for how another fares at
// an upstream after its rest. Mostly that is known, and told, before.
const SlowStartWait = 100 * time.Millisecond

// AcceptsRequests says whether a request that was meant for the upstream may still go there:
// it has not asked meanwhile for rest, nor said that it leaves.
func (e *Entry) AcceptsRequests() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining && !e.fleet.deps.Now().Before(e.backoffUntil)
}

// Backoffs are for how long upstreams want nothing from this host, by their IDs.
type Backoffs map[string]time.Duration

// Backoffs returns those of a service; nil: none.
func (f *Fleet) Backoffs(service string) Backoffs {
	now := f.deps.Now()
	if f.backoffs.passed(now) {
		return nil
	}
	var out Backoffs
	for _, e := range f.EntriesOfService(service) {
		e.mu.Lock()
		left := e.backoffUntil.Sub(now)
		e.mu.Unlock()
		if left <= 0 {
			continue
		}
		if out == nil {
			out = Backoffs{}
		}
		out[e.id] = left
	}
	return out
}
