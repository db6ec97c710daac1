package fleet

import "time"

// Rest notes that the upstream wants nothing from this host for a time. When that
// is over, requests come back by a slow start.
func (e *Entry) Rest(lasts time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := e.fleet.deps.Now().Add(lasts); until.After(e.restUntil) {
		e.restUntil = until
		e.fleet.rests.extend(until)
	}
	e.start.Start()
}

// TrialWait is when a request is tried again that waits for how another fares at
// an upstream after its rest. Mostly that is known, and told, before.
const TrialWait = 100 * time.Millisecond

// Takes says whether a request that was meant for the upstream may still go there:
// it has not asked meanwhile for rest, nor said that it leaves.
func (e *Entry) Takes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaving && !e.fleet.deps.Now().Before(e.restUntil)
}

// Rests are for how long upstreams want nothing from this host, by their IDs.
type Rests map[string]time.Duration

// Rests returns those of a service; nil: none.
func (f *Fleet) Rests(service string) Rests {
	now := f.deps.Now()
	if f.rests.passed(now) {
		return nil
	}
	var out Rests
	for _, e := range f.Service(service) {
		e.mu.Lock()
		left := e.restUntil.Sub(now)
		e.mu.Unlock()
		if left <= 0 {
			continue
		}
		if out == nil {
			out = Rests{}
		}
		out[e.id] = left
	}
	return out
}
