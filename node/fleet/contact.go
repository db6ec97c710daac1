package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/reach"
)

// contact holds what this host's exchanges show of its way to the upstreams as a whole. A
// sound exchange costs one atomic load.
type contact struct {
	lastReceived atomic.Int64 // when bytes last arrived from any upstream, in nanoseconds since the Fleet's origin
	doubted      atomic.Bool  // what this host observes of upstreams may be due to its own network path

	mu       sync.Mutex
	failures map[string]reach.Failure // the latest one of each upstream, by ID
}

// failureKept is how long failures are kept: longer than any policy counts them.
const failureKept = 10 * time.Second

// receivedPrecision is the precision of lastReceived: far below the silences that count,
// and so long that most pieces of answers write nothing that all processors share.
const receivedPrecision = 5 * time.Millisecond

// begin makes the time at which bytes last arrived earlier than the Fleet.
func (c *contact) begin() { c.lastReceived.Store(-int64(receivedPrecision)) }

func (c *contact) received(sinceOrigin time.Duration) {
	if int64(sinceOrigin)-c.lastReceived.Load() >= int64(receivedPrecision) {
		c.lastReceived.Store(int64(sinceOrigin))
	}
}

func (c *contact) failed(f reach.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures == nil {
		c.failures = map[string]reach.Failure{}
	}
	c.failures[f.Upstream] = f
}

// recent returns the failures that are not too old.
func (c *contact) recent(now time.Time) []reach.Failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]reach.Failure, 0, len(c.failures))
	for id, f := range c.failures {
		if now.Sub(f.At) > failureKept {
			delete(c.failures, id)
			continue
		}
		out = append(out, f)
	}
	return out
}

// LastReceived returns when bytes last arrived from any upstream, or a moment before this
// Fleet was made if none have: no failure is as early.
func (f *Fleet) LastReceived() time.Time {
	return f.origin.Add(time.Duration(f.contact.lastReceived.Load()))
}

// FailureCount returns how many upstreams had a failed exchange with this host recently.
func (f *Fleet) FailureCount() int {
	f.contact.mu.Lock()
	defer f.contact.mu.Unlock()
	return len(f.contact.failures)
}

// ReachEvidence returns what this host's exchanges show of its way to the upstreams.
func (f *Fleet) ReachEvidence() *reach.Evidence {
	now := f.deps.Now()
	out := &reach.Evidence{LastReceived: f.LastReceived(), Failures: f.contact.recent(now)}
	for _, e := range f.index.Load().byID {
		if e.Usable() {
			out.Upstreams++
		}
	}
	for _, e := range f.pendingChecks.all() {
		if since, due := e.bytesDue(now); due {
			out.Silences = append(out.Silences, reach.Silence{Upstream: e.id, Since: since})
		}
	}
	return out
}

// bytesDue returns since when bytes are due from the upstream, and whether any are. The
// time in which it may read prompts does not count.
func (e *Entry) bytesDue(now time.Time) (since time.Time, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.areBytesDueLocked() {
		return time.Time{}, false
	}
	return e.health.AwaitingSince().Add(e.readingTimeLocked(now)), true
}

func (e *Entry) areBytesDueLocked() bool { return e.health.IsAwaitingBytes() && e.own.Requests > 0 }

// TrialCandidates returns the upstreams that a trial connection may be opened to.
func (f *Fleet) TrialCandidates() []reach.Candidate {
	failed := map[string]bool{}
	for _, x := range f.contact.recent(f.deps.Now()) {
		failed[x.Upstream] = true
	}
	var out []reach.Candidate
	for _, e := range f.index.Load().byID {
		if u, _ := e.Description(); u.State != deploy.Draining && e.Usable() {
			out = append(out, reach.Candidate{ID: e.id, Address: e.address, Service: e.service, DataCentre: e.dataCentre, Failed: failed[e.id]})
		}
	}
	return out
}

// DoubtOwnEvidence sets whether what this host observes of upstreams may be due to its own
// network path. DownIDs then names none: other hosts must not go by it.
func (f *Fleet) DoubtOwnEvidence(doubted bool) { f.contact.doubted.Store(doubted) }

// OwnEvidenceDoubted returns what DoubtOwnEvidence set.
func (f *Fleet) OwnEvidenceDoubted() bool { return f.contact.doubted.Load() }

// AbortSilent aborts the attempts that can be retried elsewhere at upstreams from which
// bytes are due: this host reaches none of them.
func (f *Fleet) AbortSilent() {
	now := f.deps.Now()
	for _, e := range f.pendingChecks.all() {
		e.mu.Lock()
		if e.areBytesDueLocked() {
			e.abortMovableLocked(e.unresponsiveSinceLocked(now))
		}
		e.mu.Unlock()
	}
}

// ForgetFailures drops the exclusions and failures of all upstreams: they were those of
// this host's network path. Requests return to all upstreams at once, without single
// requests that try each.
func (f *Fleet) ForgetFailures() {
	f.contact.mu.Lock()
	f.contact.failures = nil
	f.contact.mu.Unlock()
	now := f.deps.Now()
	for _, e := range f.All() {
		e.mu.Lock()
		e.health.Forget(now, e.own.Requests > 0)
		e.mu.Unlock()
		f.excluded.remove(e)
		f.rated.remove(e)
	}
	f.NotifyChanged()
}
