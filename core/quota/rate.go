package quota

import (
	"math"
	"time"
)

// rateWindow is over what time the rate of what is asked for is averaged: long
// against the gaps between the requests of a small team, short against the time
// for which a host goes by it.
const rateWindow = 3 * time.Second

// rate is a decaying sum of what was asked for.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(cost float64, now time.Time) {
	r.advance(now)
	r.sum += cost
}

// perSecond is the rate now.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	return r.sum / rateWindow.Seconds()
}

func (r *rate) advance(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
		r.at = now
	}
}
