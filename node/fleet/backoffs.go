package fleet

import "time"

// StartBackoff records that the upstream accepts nothing from this host for a duration.
// After that, requests return by a slow start.
func (e *Entry) StartBackoff(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := e.fleet.deps.Now().Add(duration); until.After(e.backoffUntil) {
		e.backoffUntil = until
		e.fleet.backoffs.extend(until)
	}
	e.slowStart.Start()
}

// SlowStartWait is how long a request waits for the outcome of another one in an
// upstream's slow start before it is tried again. Mostly the outcome is known, and the
// request is notified, earlier.
const SlowStartWait = 100 * time.Millisecond

// AcceptsRequests reports whether a request that was meant for the upstream may still be
// sent there: since then it has not asked for a backoff and does not drain.
func (e *Entry) AcceptsRequests() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining && !e.fleet.deps.Now().Before(e.backoffUntil)
}

// Backoffs holds, by upstream ID, for how long an upstream accepts nothing from this host.
type Backoffs map[string]time.Duration

// Backoffs returns the backoffs of a service's upstreams; nil if there are none.
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
