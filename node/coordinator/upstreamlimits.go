package coordinator

import (
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// upstreamLimits paces what all hosts send to the upstreams that name a limit. The owner
// of the turns guards it.
type upstreamLimits struct {
	c           *Coordinator
	origin      time.Time
	pacers      map[*fleet.Entry]*backpressure.Pacer
	hostShare   float64   // of the hosts that is heard here
	hostShareAt time.Time // when that was counted
}

func newUpstreamLimits(c *Coordinator) upstreamLimits {
	return upstreamLimits{c: c, origin: c.now(), pacers: map[*fleet.Entry]*backpressure.Pacer{}}
}

// reset forgets what an earlier term left: others have sent since.
func (l *upstreamLimits) reset() { clear(l.pacers) }

// rate is what this host may let through to an upstream that names a limit. Hosts
// that are not heard may be cut off, and go by their shares.
func (l *upstreamLimits) rate(limit backpressure.Limit, now time.Time) float64 {
	if now.Sub(l.hostShareAt) >= expiryInterval {
		l.hostShare, l.hostShareAt = l.c.aggregate.reportingShare(now), now
	}
	return limit.Rate() * l.hostShare
}

// wait is the time until an upstream takes one more.
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

// take counts one that is sent; it says no if the upstream names no limit.
func (l *upstreamLimits) take(e *fleet.Entry, now time.Time) bool {
	limit, p := e.Limit(), l.pacers[e]
	return limit.Stated && p != nil && p.Take(l.rate(limit, now), backpressure.FullShare, now)
}

// expire drops what is kept of upstreams that are gone or name no limit any more.
func (l *upstreamLimits) expire() {
	for e := range l.pacers {
		if now, ok := l.c.deps.Fleet.Entry(e.ID()); !ok || now != e || !e.Limit().Stated {
			delete(l.pacers, e)
		}
	}
}
