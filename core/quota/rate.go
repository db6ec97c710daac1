package quota

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which the rate of requested cost is averaged. It is long
	// compared with the gaps between the requests of a small team.
	rateWindow = 3 * time.Second
	// shortRateWindow is the window for detecting a rising rate. If a team with many
	// requests begins to send several times its usual rate, it shows within this time.
	shortRateWindow = 800 * time.Millisecond
	// minDeviations is how many standard deviations a rise must exceed to be treated as real.
	minDeviations = 2
)

// decayingSum is an exponentially decaying sum of the costs requested.
type decayingSum struct {
	window     time.Duration
	sum        float64
	squaredSum float64 // sum of the squared costs, which decays twice as fast
	decayedAt  time.Time
}

func (r *decayingSum) add(cost float64, now time.Time) {
	r.decay(now)
	r.sum += cost
	r.squaredSum += cost * cost
}

// perSecond returns the current rate.
func (r *decayingSum) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / r.window.Seconds()
}

// lowerBound returns a lower bound of the current rate that chance rarely exceeds.
func (r *decayingSum) lowerBound(now time.Time) float64 {
	r.decay(now)
	return (r.sum - minDeviations*math.Sqrt(r.squaredSum)) / r.window.Seconds()
}

// meanCost returns the mean cost of the requests by their costs: that of the request to
// which a unit of the limit goes.
func (r *decayingSum) meanCost() float64 {
	if r.sum <= 0 {
		return 0
	}
	return r.squaredSum / r.sum
}

func (r *decayingSum) decay(now time.Time) {
	if elapsed := now.Sub(r.decayedAt); elapsed > 0 {
		share := math.Exp(-elapsed.Seconds() / r.window.Seconds())
		r.sum *= share
		r.squaredSum *= share * share
		r.decayedAt = now
	}
}

// demand tracks the rate that a team requests: the long-term rate, or the short-term one
// if its lower bound is higher.
type demand struct{ longTerm, shortTerm decayingSum }

func newDemand() demand {
	return demand{decayingSum{window: rateWindow}, decayingSum{window: shortRateWindow}}
}

func (d *demand) add(cost float64, now time.Time) {
	d.longTerm.add(cost, now)
	d.shortTerm.add(cost, now)
}

func (d *demand) perSecond(now time.Time) float64 {
	return max(d.longTerm.perSecond(now), d.shortTerm.lowerBound(now))
}
