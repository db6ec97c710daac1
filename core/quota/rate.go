package quota

import (
	"math"
	"time"
)

const (
	// rateWindow is over what time the rate of what is asked for is averaged: long
	// against the gaps between the requests of a small team.
	rateWindow = 3 * time.Second
	// risingWindow is the same for a rate that rises. Many requests show within it
	// that their team has begun to send several times its usual.
	risingWindow = 800 * time.Millisecond
	// sure is how many times its chance deviation a rise must exceed to be believed.
	sure = 2
)

// rate is a decaying sum of what was asked for.
type rate struct {
	window  time.Duration
	sum     float64
	squares float64 // of the costs; they decay twice as fast
	at      time.Time
}

func (r *rate) add(cost float64, now time.Time) {
	r.advance(now)
	r.sum += cost
	r.squares += cost * cost
}

// perSecond is the rate now.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	return r.sum / r.window.Seconds()
}

// least is the rate that is asked for at least, but for chance.
func (r *rate) least(now time.Time) float64 {
	r.advance(now)
	return (r.sum - sure*math.Sqrt(r.squares)) / r.window.Seconds()
}

func (r *rate) advance(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		share := math.Exp(-passed.Seconds() / r.window.Seconds())
		r.sum *= share
		r.squares *= share * share
		r.at = now
	}
}

// asked follows what a team asks for: evenly, but for a rise that is sure.
type asked struct{ usual, rising rate }

func newAsked() asked { return asked{rate{window: rateWindow}, rate{window: risingWindow}} }

func (a *asked) add(cost float64, now time.Time) {
	a.usual.add(cost, now)
	a.rising.add(cost, now)
}

func (a *asked) perSecond(now time.Time) float64 {
	return max(a.usual.perSecond(now), a.rising.least(now))
}
