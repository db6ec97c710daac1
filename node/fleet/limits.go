package fleet

import (
	"time"

	"peridotpier.example/core/backpressure"
)

// Limit returns what the upstream accepts from all hosts together, by its latest signal.
func (e *Entry) Limit() backpressure.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.signal.Limit
}

// limitTTL is how long after the last check of an upstream that states a limit the fleet
// is treated as having such an upstream: many times the interval between two checks.
const limitTTL = 10 * time.Second

// HasLimit reports whether any usable upstream of a service states a limit or that it is
// brittle, so that requests to it are counted for all hosts together.
func (f *Fleet) HasLimit(service string) bool {
	if f.limits.passed(f.deps.Now()) {
		return false
	}
	for _, e := range f.EntriesOfService(service) {
		if e.Usable() && (e.Limit().Stated || e.Brittle().Stated) {
			return true
		}
	}
	return false
}

// limitSharing is how this host sends to upstreams that state a limit.
type limitSharing struct {
	share         backpressure.Share
	uncoordinated bool      // no coordinator grants permits; otherwise no request is sent there without one
	since         time.Time // when uncoordinated began
}

// SetShare sets this host's share of what upstreams that state a limit accept. It also
// records that a coordinator grants permits, so that requests to them need one.
func (f *Fleet) SetShare(share backpressure.Share) {
	if was := f.sharing.Load(); was.share != share || was.uncoordinated {
		f.sharing.Store(&limitSharing{share: share})
	}
}

// SetUncoordinated records that no coordinator grants permits: from now on this host uses
// its own share.
func (f *Fleet) SetUncoordinated() {
	if was := f.sharing.Load(); !was.uncoordinated {
		f.sharing.Store(&limitSharing{share: was.share, uncoordinated: true, since: f.deps.Now()})
	}
}

// noPermitWait is how long a host without a permit passes over an upstream that states a
// limit: until the host may have found a coordinator that grants permits.
const noPermitWait = 500 * time.Millisecond

// backoffLocked returns for how long this host may send nothing more to the upstream.
func (e *Entry) backoffLocked(now time.Time) time.Duration {
	wait := max(e.backoffUntil.Sub(now), 0)
	if e.slowStart.AtLimit() {
		wait = max(wait, SlowStartWait)
	}
	brittle := e.brittleLocked(now)
	if !e.signal.Limit.Stated && !brittle.Stated {
		return wait
	}
	s := e.fleet.sharing.Load()
	if !s.uncoordinated || s.share.Count == 0 {
		return max(wait, noPermitWait)
	}
	if brittle.Stated {
		wait = max(wait, e.roomLocked(s, now).Wait(e.fragilityLocked(brittle, s.share), e.takenLocked(brittle, s.share, now), now))
	}
	if e.signal.Limit.Stated {
		wait = max(wait, e.pacerLocked(s).Wait(e.signal.Limit.Rate(), s.share, now))
	}
	return wait
}

// pacerLocked returns the pacer for the time since this host has been without
// coordinator.
func (e *Entry) pacerLocked(s *limitSharing) *backpressure.Pacer {
	if e.pacer == nil || e.pacerSince != s.since {
		e.pacer, e.pacerSince = backpressure.NewPacer(e.fleet.origin, s.since), s.since
	}
	return e.pacer
}

// AdmitWithoutPermit reports whether a request without a permit may be sent to the
// upstream, and counts it if so.
func (e *Entry) AdmitWithoutPermit(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	brittle := e.brittleLocked(now)
	if !e.signal.Limit.Stated && !brittle.Stated {
		return true
	}
	s := e.fleet.sharing.Load()
	if !s.uncoordinated || s.share.Count == 0 {
		return false
	}
	if brittle.Stated && !e.roomLocked(s, now).Admits(e.fragilityLocked(brittle, s.share), e.takenLocked(brittle, s.share, now), now) {
		return false
	}
	return !e.signal.Limit.Stated || e.pacerLocked(s).Take(e.signal.Limit.Rate(), s.share, now)
}
