package admit

import (
	"math"
	"time"

	"peridotpier.example/core/config"
)

// Tuning of the team limits.
const (
	rateWindow = 5 * time.Second // over which the offered rate is averaged
	burstFor   = time.Second     // of a host's share that may come at once

	// floorShare of a limit is spread evenly over the hosts whatever they ask
	// for, so that a host with no demand so far can start at once.
	floorShare = 0.1
)

// Limiter holds one host to its share of one team's limits. The share follows
// what this host and its peers are asked for: while all agree on the figures
// the shares add up to the limit; what changed since they last told is the
// error, which docs/design/admission.md states.
type Limiter struct {
	limits     config.TeamLimits
	hosts      int
	peersRate  float64
	peersInUse float64

	offered float64 // decayed count of arrivals
	hold    time.Duration
	inUse   int
	tokens  float64
	last    time.Time
}

// NewLimiter makes the limiter of a team on a host that knows of hosts in all.
func NewLimiter(limits config.TeamLimits, hosts int, now time.Time) *Limiter {
	l := &Limiter{limits: limits, hosts: max(hosts, 1), last: now}
	l.tokens = l.burst()
	return l
}

// SetLimits puts new limits in force.
func (l *Limiter) SetLimits(limits config.TeamLimits) { l.limits = limits }

// SetPeers tells what the peers together are asked for.
func (l *Limiter) SetPeers(rate, concurrent float64, hosts int) {
	l.peersRate, l.peersInUse, l.hosts = rate, concurrent, max(hosts, 1)
}

// Take asks for leave for one request; when refused it tells how long to wait.
func (l *Limiter) Take(now time.Time) (ok bool, wait time.Duration) {
	l.advance(now)
	l.offered++
	if l.limits.Concurrent > 0 && l.inUse >= l.concurrentShare() {
		return false, max(l.hold, leastRetry)
	}
	if l.limits.RequestsPerSecond > 0 {
		if l.tokens < 1 {
			return false, time.Duration((1 - l.tokens) / l.rateShare() * float64(time.Second))
		}
		l.tokens--
	}
	l.inUse++
	return true, 0
}

// Done ends a request that was let through, after it was held for a time.
func (l *Limiter) Done(held time.Duration) {
	l.inUse--
	if l.hold == 0 {
		l.hold = held
	}
	l.hold += time.Duration(holdWeight * float64(held-l.hold))
}

// GiveBack ends a request that was let through here but never dispatched. It
// tells nothing of how long requests are held.
func (l *Limiter) GiveBack() { l.inUse-- }

// Demand is what this host is asked for, to be told to its peers: the rate
// offered, and the concurrency that it would make by Little's law.
func (l *Limiter) Demand(now time.Time) (rate, concurrent float64) {
	l.advance(now)
	rate = l.offered / rateWindow.Seconds()
	return rate, max(float64(l.inUse), rate*l.hold.Seconds())
}

func (l *Limiter) advance(now time.Time) {
	passed := now.Sub(l.last)
	if passed <= 0 {
		return
	}
	l.last = now
	l.tokens = min(l.tokens+l.rateShare()*passed.Seconds(), l.burst())
	l.offered *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
}

func (l *Limiter) burst() float64 { return max(1, l.rateShare()*burstFor.Seconds()) }

func (l *Limiter) rateShare() float64 {
	return l.share(l.limits.RequestsPerSecond, l.offered/rateWindow.Seconds(), l.peersRate)
}

// concurrentShare is at least one: a limit below the number of hosts would
// otherwise shut out the team at most of them.
func (l *Limiter) concurrentShare() int {
	own := max(float64(l.inUse), l.offered/rateWindow.Seconds()*l.hold.Seconds())
	return max(1, int(math.Round(l.share(float64(l.limits.Concurrent), own, l.peersInUse))))
}

// share splits a limit by demand, with an even floor.
func (l *Limiter) share(limit, own, peers float64) float64 {
	even := limit / float64(l.hosts)
	if own+peers <= 0 {
		return even
	}
	return floorShare*even + (1-floorShare)*limit*own/(own+peers)
}
