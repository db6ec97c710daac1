package admit

import (
	"math"
	"time"

	"peridotpier.example/core/config"
)

// Tuning of the team limits.
const (
	rateWindow  = time.Second // over which the offered rate is averaged; longer, and a host that lost its load keeps its share
	burstWindow = time.Second // of a host's share that may come at once

	// floorShare of a limit is spread evenly over the hosts whatever they ask
	// for, so that a host with no demand so far can start at once.
	floorShare = 0.1

	// priorShare of a limit is the weight of the belief that the balancer
	// spreads a team's requests evenly, against what the peers told.
	priorShare = 0.05
)

// Limiter holds one host to its share of one team's limits. The share follows
// what this host and its peers are asked for: while all agree on the figures
// the shares add up to the limit; what changed since they last told is the
// error, which docs/design/admission.md states.
type Limiter struct {
	limits         config.TeamLimits
	hosts          int
	peerRate       peerDemand // requests a second
	peerConcurrent peerDemand // requests at once

	offered    float64 // decayed count of arrivals
	meanHold   time.Duration
	inUse      int
	tokens     float64
	advancedAt time.Time
}

// NewLimiter makes the limiter of a team on a host that knows of hosts in all.
func NewLimiter(limits config.TeamLimits, hosts int, now time.Time) *Limiter {
	l := &Limiter{limits: limits, hosts: max(hosts, 1), advancedAt: now}
	l.tokens = l.burst()
	return l
}

// SetLimits puts new limits in force.
func (l *Limiter) SetLimits(limits config.TeamLimits) { l.limits = limits }

// SetPeerDemand tells what the peers together are asked for.
func (l *Limiter) SetPeerDemand(rate, concurrent float64, hosts int) {
	l.hosts = max(hosts, 1)
	l.peerRate = peerDemand{rate, l.offered / rateWindow.Seconds()}
	l.peerConcurrent = peerDemand{concurrent, l.wantedConcurrency()}
}

// Take asks for leave for one request; when refused it tells how long to wait.
func (l *Limiter) Take(now time.Time) (ok bool, wait time.Duration) {
	l.advance(now)
	l.offered++
	if l.limits.Concurrent > 0 && l.inUse >= l.concurrentShare() {
		return false, max(l.meanHold, minRetryAfter)
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
	if l.meanHold == 0 {
		l.meanHold = held
	}
	l.meanHold += time.Duration(holdSampleWeight * float64(held-l.meanHold))
}

// Cancel ends a request that was let through here but never dispatched. It
// tells nothing of how long requests are held.
func (l *Limiter) Cancel() { l.inUse-- }

// Demand is what this host is asked for, to be told to its peers: the rate
// offered, and the concurrency that it would make by Little's law.
func (l *Limiter) Demand(now time.Time) (rate, concurrent float64) {
	l.advance(now)
	rate = l.offered / rateWindow.Seconds()
	return rate, l.wantedConcurrency()
}

func (l *Limiter) advance(now time.Time) {
	passed := now.Sub(l.advancedAt)
	if passed <= 0 {
		return
	}
	l.advancedAt = now
	l.tokens = min(l.tokens+l.rateShare()*passed.Seconds(), l.burst())
	l.offered *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
}

func (l *Limiter) burst() float64 { return max(1, l.rateShare()*burstWindow.Seconds()) }

func (l *Limiter) rateShare() float64 {
	return l.share(l.limits.RequestsPerSecond, l.offered/rateWindow.Seconds(), l.peerRate)
}

// concurrentShare is at least one: a limit below the number of hosts would
// otherwise shut out the team at most of them.
func (l *Limiter) concurrentShare() int {
	return max(1, int(math.Round(l.share(float64(l.limits.Concurrent), l.wantedConcurrency(), l.peerConcurrent))))
}

// wantedConcurrency is the concurrency that the offered rate makes, by Little's law.
func (l *Limiter) wantedConcurrency() float64 {
	return max(float64(l.inUse), l.offered/rateWindow.Seconds()*l.meanHold.Seconds())
}

// share splits a limit by demand, with an even floor.
func (l *Limiter) share(limit, own float64, t peerDemand) float64 {
	even := limit / float64(l.hosts)
	if own <= 0 {
		return even
	}
	return floorShare*even + (1-floorShare)*limit*own/(own+t.estimate(own, limit, l.hosts))
}

// peerDemand is what the peers said they are asked for, and what this host was asked
// for at that time.
type peerDemand struct {
	peers   float64
	ownThen float64
}

// estimate is what the peers are asked for now: in the proportion that they
// had to this host when they told, and evenly while nobody was asked for
// anything. Were the figure itself taken, a flood that begins at all hosts at
// once would find each of them believing that it is alone: one would notice the
// limit passed as many times over as there are hosts, until they tell again.
func (t peerDemand) estimate(own, limit float64, hosts int) float64 {
	others := float64(hosts - 1)
	prior := priorShare * limit
	scaled := own * (t.peers + prior*others/float64(hosts)) / (t.ownThen + prior/float64(hosts))
	return min(scaled, max(t.peers, own*others))
}
