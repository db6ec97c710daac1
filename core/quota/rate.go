package quota

import (
	"math"
	"time"
)

const (
	// rateWindow is over what time the rate of what is asked for is averaged: long
	// against the gaps between the requests of a small team.
	rateWindow = 3 * time.Second
	// shortRateWindow is the same for a rate that rises. Many requests show within it
	// that their team has begun to send several times its usual.
	shortRateWindow = 800 * time.Millisecond
	// minDeviations is how many times its chance deviation a rise must exceed to be believed.
	minDeviations = 2
)

// decayingSum is a decaying sum of what was asked for.
type decayingSum struct {
	window     time.Duration
	sum        float64
	squaredSum float64 // of the costs; they decay twice as fast
	decayedAt  time.Time
}

func (r *decayingSum) add(cost float64, now time.Time) {
	r.decay(now)
	r.sum += cost
	r.squaredSum += cost * cost
}

// perSecond is the rate now.
func (r *decayingSum) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / r.window.Seconds()
}

// lowerBound is the rate that is asked for at least, but for chance.
func (r *decayingSum) lowerBound(now time.Time) float64 {
	r.decay(now)
	return (r.sum - minDeviations*math.Sqrt(r.squaredSum)) / r.window.Seconds()
}

func (r *decayingSum) decay(now time.Time) {
	if passed := now.Sub(r.decayedAt); passed > 0 {
		share := math.Exp(-passed.Seconds() / r.window.Seconds())
		r.sum *= share
		r.squaredSum *= share * share
		r.decayedAt = now
	}
}

// demand follows what a team asks for: evenly, but for a rise that is sure.
type demand struct{ longTerm, shortTerm decayingSum }

func newDemand() demand {
	return demand{decayingSum{window: rateWindow}, decayingSum{window: shortRateWindow}}
}

func (a *demand) add(cost float64, now time.Time) {
	a.longTerm.add(cost, now)
	a.shortTerm.add(cost, now)
}

func (a *demand) perSecond(now time.Time) float64 {
	return max(a.longTerm.perSecond(now), a.shortTerm.lowerBound(now))
}
