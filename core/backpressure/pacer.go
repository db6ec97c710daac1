package backpressure

import (
	"math"
	"time"
)

const (
	// minRate is sent to an upstream that asks for less, in requests a second:
	// only an answer can say that it takes more again.
	minRate = 0.1
	// unusedPermitTTL and keepTurns are for how long a turn that nobody took may still be
	// taken, in time and in turns of all hosts together. Callers come unevenly; kept
	// for longer, the turns of a quiet time would come on top of those of a busy one.
	unusedPermitTTL  = 500 * time.Millisecond
	maxUnusedPermits = 1
	// shareUnusedPermitTTL and shareKeepTurns are the same for the turns of one host: it has
	// a part of the callers, and the turns of others are lost to them.
	shareUnusedPermitTTL  = time.Second
	maxShareUnusedPermits = 2
)

// Rate is what may be sent to an upstream that names a limit, in requests a second
// of all hosts together.
func (l Limit) Rate() float64 { return max(l.PerSecond, minRate) }

// Share is one host's part in what an upstream takes from all. Turns stand in a row
// in time, as many a second as the upstream takes; every Of-th is the host's, from the
// Place-th on. Hosts with different places never have the same turn, and need no word
// of each other, however few turns there are.
type Share struct{ Index, Count int }

// FullShare is the share of a host that counts for all.
var FullShare = Share{Count: 1}

// Pacer gives turns at one upstream. Its owner guards it. Clocks of hosts need not
// agree: one that is off has the turns of another time, and as many.
type Pacer struct {
	origin    time.Time // of the process; steps of the clock after it do not count
	lastTaken float64   // seconds since 1970 of the newest turn that was taken
}

// NewPacer makes one whose turns count from now on.
func NewPacer(origin, now time.Time) *Pacer {
	p := &Pacer{origin: origin}
	p.lastTaken = p.clockSeconds(now)
	return p
}

// Wait is the time until the next turn of a share; 0: it may be taken now.
func (p *Pacer) Wait(perSecond float64, s Share, now time.Time) time.Duration {
	at := p.clockSeconds(now)
	ahead := p.nextPermit(perSecond, s, at) - at
	return max(time.Duration(ahead*float64(time.Second)), 0)
}

// Take takes a turn, if there is one.
func (p *Pacer) Take(perSecond float64, s Share, now time.Time) bool {
	at := p.clockSeconds(now)
	turn := p.nextPermit(perSecond, s, at)
	if turn > at {
		return false
	}
	p.lastTaken = turn
	return true
}

// nextPermit is the first turn that was not taken and may be, now or later. It lies a
// whole period after the last one taken, also when another rate has moved the row.
func (p *Pacer) nextPermit(perSecond float64, s Share, at float64) float64 {
	if s.Count == 1 {
		return max(p.lastTaken+1/perSecond, at-unusedPermitTTL.Seconds()-maxUnusedPermits/perSecond)
	}
	perSecond = quantizedRate(perSecond)
	period, first := float64(s.Count)/perSecond, float64(s.Index)/perSecond
	after := max(p.lastTaken+period-roundingTolerance, at-shareUnusedPermitTTL.Seconds()-maxShareUnusedPermits/perSecond)
	return math.Ceil((after-first)/period)*period + first
}

// rateStepRatio is the ratio of neighbouring rates of a row.
const rateStepRatio = 1.25

// quantizedRate is the rate of the row that hosts with shares go by: the nearest of few.
// An upstream may name a slightly other limit on each answer, and hosts that heard
// different ones must have the same row.
func quantizedRate(perSecond float64) float64 {
	return math.Pow(rateStepRatio, math.Round(math.Log(perSecond)/math.Log(rateStepRatio)))
}

// roundingTolerance is what two computations of one turn may differ by, in seconds.
const roundingTolerance = 1e-6

// clockSeconds is a time on the clock that hosts share about.
func (p *Pacer) clockSeconds(t time.Time) float64 {
	return float64(p.origin.UnixMicro())/1e6 + t.Sub(p.origin).Seconds()
}
