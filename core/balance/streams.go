package balance

import (
	"math"
	"time"
)

// streamDelayMs returns the delay of the request, in milliseconds beyond those of its score,
// that is as bad as the responses which it makes late. The chance that the request itself
// is late grows with the third power of its first event's share of the time until its
// objective: as long as that is far, its own milliseconds hardly count.
func streamDelayMs(score float64, e *Endpoint, r *Request) float64 {
	if e.LateStreams <= 0 {
		return 0
	}
	first := score + inMs(r.Waited)
	objective := max(inMs(r.InTime), first)
	if objective <= 0 {
		return 0
	}
	own := first / objective
	return objective*math.Cbrt(own*own*own+e.LateStreams) - first
}

func inMs(d time.Duration) float64 { return d.Seconds() * 1000 }
