package backpressure

import (
	"math"
	"time"
)

const (
	// minRate, in requests a second, is sent also to an upstream that states a lower
	// limit: only an answer can show that it takes more again.
	minRate = 0.1
	// unusedPermitTTL and maxUnusedPermits bound how long an unused permit can still be
	// taken, in time and in permits of all hosts together. Callers arrive unevenly; if
	// permits were kept for longer, those of an idle time would add to those of a busy one.
	unusedPermitTTL  = 500 * time.Millisecond
	maxUnusedPermits = 1
	// shareUnusedPermitTTL and maxShareUnusedPermits are the same bounds for the permits of
	// one host. It has only a part of the callers, and cannot use the permits of others.
	shareUnusedPermitTTL  = time.Second
	maxShareUnusedPermits = 2
)

// Rate returns the requests a second that all hosts together may send to an upstream
// which states the limit.
func (l Limit) Rate() float64 { return max(l.PerSecond, minRate) }

// Share is one host's share of the requests that an upstream takes from all hosts. The
// permits of all hosts form one sequence in time, with as many permits a second as the
// upstream takes. Every Count-th of them belongs to the host, beginning with the one
// at Index. Hosts with different indexes never use the same permit and need not
// communicate for it, however rare permits are.
type Share struct{ Index, Count int }

// FullShare is the share of a host that issues the permits of all hosts.
var FullShare = Share{Count: 1}

// Pacer issues dispatch permits for one upstream. Its owner must guard it. The clocks of
// hosts need not agree: a host whose clock is off uses the permits of another time, and
// no more of them.
type Pacer struct {
	origin    time.Time // start of the process; later steps of its wall clock have no effect
	lastTaken float64   // time of the latest permit taken, in seconds since 1970
}

// NewPacer returns a Pacer whose first permit comes after now.
func NewPacer(origin, now time.Time) *Pacer {
	p := &Pacer{origin: origin}
	p.lastTaken = p.clockSeconds(now)
	return p
}

// Wait returns the time until the next permit of a share; 0 if one can be taken now.
func (p *Pacer) Wait(perSecond float64, s Share, now time.Time) time.Duration {
	at := p.clockSeconds(now)
	wait := p.nextPermit(perSecond, s, at) - at
	return max(time.Duration(wait*float64(time.Second)), 0)
}

// Take takes a permit and reports whether there was one.
func (p *Pacer) Take(perSecond float64, s Share, now time.Time) bool {
	at := p.clockSeconds(now)
	permit := p.nextPermit(perSecond, s, at)
	if permit > at {
		return false
	}
	p.lastTaken = permit
	return true
}

// nextPermit returns the time of the first permit that has not been taken and still can
// be, now or later. It is at least one whole period after the last permit taken, even if
// a change of the rate has shifted the sequence.
func (p *Pacer) nextPermit(perSecond float64, s Share, at float64) float64 {
	if s.Count == 1 {
		return max(p.lastTaken+1/perSecond, at-unusedPermitTTL.Seconds()-maxUnusedPermits/perSecond)
	}
	perSecond = quantizedRate(perSecond)
	period, first := float64(s.Count)/perSecond, float64(s.Index)/perSecond
	after := max(p.lastTaken+period-roundingTolerance, at-shareUnusedPermitTTL.Seconds()-maxShareUnusedPermits/perSecond)
	return math.Ceil((after-first)/period)*period + first
}

// rateStepRatio is the ratio of two neighbouring quantized rates.
const rateStepRatio = 1.25

// quantizedRate rounds a rate to the nearest of a few rates, which hosts with shares use.
// An upstream may state a slightly different limit on each answer, and hosts that
// received different ones must use the same sequence of permits.
func quantizedRate(perSecond float64) float64 {
	return math.Pow(rateStepRatio, math.Round(math.Log(perSecond)/math.Log(rateStepRatio)))
}

// roundingTolerance, in seconds, is by how much two computations of one permit's time may differ.
const roundingTolerance = 1e-6

// clockSeconds converts a time to seconds on a clock that the hosts roughly share.
func (p *Pacer) clockSeconds(t time.Time) float64 {
	return float64(p.origin.UnixMicro())/1e6 + t.Sub(p.origin).Seconds()
}
