package fleet

import (
	"time"

	"peridotpier.example/core/backpressure"
)

// Limit is what the upstream takes from all hosts together, by its newest word.
func (e *Entry) Limit() backpressure.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.signal.Limit
}

// limitTTL is how long after the last look at an upstream that names a limit the
// fleet is taken to have one: many times as long as between two looks.
const limitTTL = 10 * time.Second

// HasLimit says whether any upstream of a service that gets work names a limit.
func (f *Fleet) HasLimit(service string) bool {
	if f.limits.passed(f.deps.Now()) {
		return false
	}
	for _, e := range f.EntriesOfService(service) {
		if e.Usable() && e.Limit().Stated {
			return true
		}
	}
	return false
}

// limitSharing is how this host sends to upstreams that name a limit.
type limitSharing struct {
	share         backpressure.Share
	uncoordinated bool      // nobody counts for all; else no request goes there without a turn
	since         time.Time // when that began
}

// SetShare tells this host's part in what upstreams take that name a limit. Another
// host counts for all, so that it sends there by turns.
func (f *Fleet) SetShare(share backpressure.Share) {
	if was := f.sharing.Load(); was.share != share || was.uncoordinated {
		f.sharing.Store(&limitSharing{share: share})
	}
}

// SetUncoordinated says that nobody counts for all: this host goes by its share from now on.
func (f *Fleet) SetUncoordinated() {
	if was := f.sharing.Load(); !was.uncoordinated {
		f.sharing.Store(&limitSharing{share: was.share, uncoordinated: true, since: f.deps.Now()})
	}
}

// noPermitWait is how long an upstream that names a limit is passed over by a host
// that has no turn for it: until it may have found who gives turns.
const noPermitWait = 500 * time.Millisecond

// backoffLocked is for how long nothing more may go to the upstream from here.
func (e *Entry) backoffLocked(now time.Time) time.Duration {
	wait := max(e.backoffUntil.Sub(now), 0)
	if e.slowStart.AtLimit() {
		wait = max(wait, SlowStartWait)
	}
	if !e.signal.Limit.Stated {
		return wait
	}
	s := e.fleet.sharing.Load()
	if !s.uncoordinated || s.share.Count == 0 {
		return max(wait, noPermitWait)
	}
	return max(wait, e.pacerLocked(s).Wait(e.signal.Limit.Rate(), s.share, now))
}

// pacerLocked is the pacer of the time since this host has been alone.
func (e *Entry) pacerLocked(s *limitSharing) *backpressure.Pacer {
	if e.pacer == nil || e.pacerSince != s.since {
		e.pacer, e.pacerSince = backpressure.NewPacer(e.fleet.origin, s.since), s.since
	}
	return e.pacer
}

// AdmitWithoutPermit says whether a request without a turn may go to the upstream, and counts it.
func (e *Entry) AdmitWithoutPermit(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.signal.Limit.Stated {
		return true
	}
	s := e.fleet.sharing.Load()
	return s.uncoordinated && s.share.Count > 0 && e.pacerLocked(s).Take(e.signal.Limit.Rate(), s.share, now)
}
