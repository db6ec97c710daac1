package coordinator

import (
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// limits paces what all hosts send to the upstreams that name a limit. The owner
// of the turns guards it.
type limits struct {
	c       *Coordinator
	origin  time.Time
	pacers  map[*fleet.Entry]*backpressure.Pacer
	part    float64   // of the hosts that is heard here
	countAt time.Time // when that was counted
}

func newLimits(c *Coordinator) limits {
	return limits{c: c, origin: c.now(), pacers: map[*fleet.Entry]*backpressure.Pacer{}}
}

// begin forgets what an earlier term left: others have sent since.
func (l *limits) begin() { clear(l.pacers) }

// rate is what this host may let through to an upstream that names a limit. Hosts
// that are not heard may be cut off, and go by their shares.
func (l *limits) rate(limit backpressure.Limit, now time.Time) float64 {
	if now.Sub(l.countAt) >= expiryEach {
		l.part, l.countAt = l.c.sums.heard(now), now
	}
	return limit.Rate() * l.part
}

// wait is the time until an upstream takes one more.
func (l *limits) wait(e *fleet.Entry, now time.Time) time.Duration {
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
func (l *limits) take(e *fleet.Entry, now time.Time) bool {
	limit, p := e.Limit(), l.pacers[e]
	return limit.Stated && p != nil && p.Take(l.rate(limit, now), backpressure.FullShare, now)
}

// forget drops what is kept of upstreams that are gone or name no limit any more.
func (l *limits) forget() {
	for e := range l.pacers {
		if now, ok := l.c.deps.Fleet.Entry(e.ID()); !ok || now != e || !e.Limit().Stated {
			delete(l.pacers, e)
		}
	}
}
