package admit

import (
	"math"
	"time"

	"peridotpier.example/core/config"
)

// Parameters of the team limits.
const (
	rateWindow  = time.Second // time over which the offered rate is averaged; if it were longer, a host that lost its load would keep its share
	burstWindow = time.Second // how much of a host's share may be used at once

	// floorShare is the share of a limit that is divided evenly between the hosts whatever
	// their demand, so that a host with no demand so far can start at once.
	floorShare = 0.1

	// priorShare is the weight, as a share of the limit, of the assumption that the balancer
	// distributes a team's requests evenly, against what the peers have reported.
	priorShare = 0.05
)

// Limiter limits one host to its share of one team's limits. The share follows the demand
// at this host and at its peers. While all hosts use the same figures, the shares add up
// to the limit; the error is what has changed since their last reports, and is stated in
// docs/design/admission.md.
type Limiter struct {
	limits         config.TeamLimits
	hosts          int
	peerRate       peerDemand // requests a second
	peerConcurrent peerDemand // requests at once

	offered    float64 // decaying count of arrivals
	meanHold   time.Duration
	inUse      int
	tokens     float64
	advancedAt time.Time
}

// NewLimiter returns the limiter of a team. hosts is the number of hosts, this one included.
func NewLimiter(limits config.TeamLimits, hosts int, now time.Time) *Limiter {
	l := &Limiter{limits: limits, hosts: max(hosts, 1), advancedAt: now}
	l.tokens = l.burst()
	return l
}

// SetLimits changes the limits.
func (l *Limiter) SetLimits(limits config.TeamLimits) { l.limits = limits }

// SetPeerDemand sets the total demand at the peers and the number of all hosts.
func (l *Limiter) SetPeerDemand(rate, concurrent float64, hosts int) {
	l.hosts = max(hosts, 1)
	l.peerRate = peerDemand{rate, l.offered / rateWindow.Seconds()}
	l.peerConcurrent = peerDemand{concurrent, l.wantedConcurrency()}
}

// Take requests the admission of one request. If it is refused, wait is the time after
// which to retry.
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

// Done ends an admitted request that was in progress for the time held.
func (l *Limiter) Done(held time.Duration) {
	l.inUse--
	if l.meanHold == 0 {
		l.meanHold = held
	}
	l.meanHold += time.Duration(holdSampleWeight * float64(held-l.meanHold))
}

// Cancel ends an admitted request that was never dispatched. It does not count for the
// mean time that requests are held.
func (l *Limiter) Cancel() { l.inUse-- }

// Demand returns the demand at this host, for its peers: the offered rate, and the
// concurrency that follows from it by Little's law.
func (l *Limiter) Demand(now time.Time) (rate, concurrent float64) {
	l.advance(now)
	rate = l.offered / rateWindow.Seconds()
	return rate, l.wantedConcurrency()
}

func (l *Limiter) advance(now time.Time) {
	elapsed := now.Sub(l.advancedAt)
	if elapsed <= 0 {
		return
	}
	l.advancedAt = now
	l.tokens = min(l.tokens+l.rateShare()*elapsed.Seconds(), l.burst())
	l.offered *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
}

func (l *Limiter) burst() float64 { return max(1, l.rateShare()*burstWindow.Seconds()) }

func (l *Limiter) rateShare() float64 {
	return l.share(l.limits.RequestsPerSecond, l.offered/rateWindow.Seconds(), l.peerRate)
}

// concurrentShare returns at least one: a limit lower than the number of hosts would
// otherwise exclude the team from most of them.
func (l *Limiter) concurrentShare() int {
	return max(1, int(math.Round(l.share(float64(l.limits.Concurrent), l.wantedConcurrency(), l.peerConcurrent))))
}

// wantedConcurrency returns the concurrency that the offered rate causes by Little's law,
// but at least the number of requests in progress.
func (l *Limiter) wantedConcurrency() float64 {
	return max(float64(l.inUse), l.offered/rateWindow.Seconds()*l.meanHold.Seconds())
}

// share returns this host's share of a limit: an even floor, and the remainder by demand.
func (l *Limiter) share(limit, own float64, peers peerDemand) float64 {
	even := limit / float64(l.hosts)
	if own <= 0 {
		return even
	}
	return floorShare*even + (1-floorShare)*limit*own/(own+peers.estimate(own, limit, l.hosts))
}

// peerDemand is the demand that the peers reported, and the demand at this host at that time.
type peerDemand struct {
	peers   float64
	ownThen float64
}

// estimate estimates the peers' demand now from its ratio to this host's demand at the time
// of the report, or as even if there was no demand. If the reported figure itself were
// used, each host would take itself to be alone when a flood begins at all hosts at once,
// and until the next reports the limit would be exceeded by a factor of the number of hosts.
func (d peerDemand) estimate(own, limit float64, hosts int) float64 {
	others := float64(hosts - 1)
	prior := priorShare * limit
	scaled := own * (d.peers + prior*others/float64(hosts)) / (d.ownThen + prior/float64(hosts))
	return min(scaled, max(d.peers, own*others))
}
