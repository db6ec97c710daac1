package permits

import (
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// upstreamLimits paces what all hosts together send to the upstreams that name a limit.
// It is guarded by the mutex of permits.
type upstreamLimits struct {
	deps        *Deps
	origin      time.Time
	pacers      map[*fleet.Entry]*backpressure.Pacer
	hostShare   float64   // share of the hosts that report here
	hostShareAt time.Time // when hostShare was last computed
}

// shareInterval is how often the share of reporting hosts is computed.
const shareInterval = 100 * time.Millisecond

func newUpstreamLimits(d *Deps) upstreamLimits {
	return upstreamLimits{deps: d, origin: d.Now(), pacers: map[*fleet.Entry]*backpressure.Pacer{}}
}

// reset drops the counts of an earlier term: other hosts have sent requests since.
func (l *upstreamLimits) reset() { clear(l.pacers) }

// rate returns the rate that this host may grant at an upstream that names a limit.
// Hosts that do not report may be disconnected, and use their own shares.
func (l *upstreamLimits) rate(limit backpressure.Limit, now time.Time) float64 {
	return limit.Rate() * l.share(now)
}

// share returns the share of the hosts that report here.
func (l *upstreamLimits) share(now time.Time) float64 {
	if now.Sub(l.hostShareAt) >= shareInterval {
		l.hostShare, l.hostShareAt = l.deps.Reports.ReportingShare(now), now
	}
	return l.hostShare
}

// wait returns the time until an upstream takes one more request.
func (l *upstreamLimits) wait(e *fleet.Entry, now time.Time) time.Duration {
	limit := e.Limit()
	if !limit.Stated {
		return 0
	}
	p := l.pacers[e]
	if p == nil {
		p = backpressure.NewPacer(l.origin, now)
		l.pacers[e] = p
	}
	return p.Wait(l.rate(limit, now), backpressure.FullShare, now)
}

// count counts one request that is granted. It returns false if the upstream names no
// limit.
func (l *upstreamLimits) count(e *fleet.Entry, now time.Time) bool {
	limit, p := e.Limit(), l.pacers[e]
	return limit.Stated && p != nil && p.Take(l.rate(limit, now), backpressure.FullShare, now)
}

// expire drops the records of upstreams that were removed or no longer name a limit.
func (l *upstreamLimits) expire() {
	for e := range l.pacers {
		if !isCurrent(l.deps.Fleet, e) || !e.Limit().Stated {
			delete(l.pacers, e)
		}
	}
}

// isCurrent reports whether an entry is still that of its upstream: it was not removed, nor
// replaced by that of a later process.
func isCurrent(f *fleet.Fleet, e *fleet.Entry) bool {
	current, ok := f.Entry(e.ID())
	return ok && current == e
}
