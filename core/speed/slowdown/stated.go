// Package slowdown estimates how much longer work takes at one upstream than at the
// others of its service, from two sources: what the upstream states about its machine on
// its answers, and how the times observed there compare with those predicted for its
// service. Without it a slow upstream gets as many requests as a fast one, and their
// callers wait, while the fast one has time left.
//
// A slowdown is a multiple of the usual time: 2 means half of the speed. An estimate
// belongs to one process of an upstream. The package does no I/O and has no clock; each
// operation takes constant time.
package slowdown

import (
	"math"
	"time"
)

const (
	// fadeTime is the time constant by which a stated slowdown loses its weight: engines
	// share their processors with other work, which comes and goes in fractions of a second.
	fadeTime = 400 * time.Millisecond
	// usualTime is the time in which the usual slowdown of an upstream can change by a
	// factor of e. Most of what it states in that time is its usual slowdown.
	usualTime = 10 * time.Second
	// silentTime is the time constant by which the usual slowdown returns to one while
	// nothing is heard. An upstream that gets no requests because it was slow gets some
	// again then.
	silentTime = 10 * time.Second
	// maxStep bounds the time between two statements that counts for the usual slowdown, so
	// that a single one after a silence does not replace it.
	maxStep = time.Second
	// Lowest and highest slowdown that is believed of any source: beyond them an upstream
	// is treated as if at the bound, so that it still gets some requests.
	lowest, highest = 0.1, 10.0
)

// Stated is the slowdown that an upstream states of its machine, as of any time.
type Stated struct {
	last, usual float64 // usual follows the median of the statements
	at          time.Time
}

// Observe records a statement that was received at a time; earlier ones than the last are
// ignored.
func (s *Stated) Observe(multiple float64, at time.Time) {
	if !(multiple > 0) || at.Before(s.at) {
		return
	}
	multiple = bounded(multiple)
	if s.at.IsZero() {
		s.last, s.usual, s.at = multiple, 1, at
		return
	}
	step := min(at.Sub(s.at), maxStep).Seconds() / usualTime.Seconds()
	s.usual *= math.Exp(min(max(math.Log(multiple/s.usual), -step), step))
	s.last, s.at = multiple, at
}

// HeardAt returns when the last statement was received; zero: there was none.
func (s *Stated) HeardAt() time.Time { return s.at }

// Last returns the last statement; 0: there was none.
func (s *Stated) Last() float64 { return s.last }

// Heard returns whether the last statement still says more of the present than what is
// usual.
func (s *Stated) Heard(now time.Time) bool { return !s.at.IsZero() && now.Sub(s.at) < fadeTime }

// At returns the slowdown that can be expected now; 0: the upstream states none.
func (s *Stated) At(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	usual := s.Usual(now)
	return bounded(usual + (s.last-usual)*decay(now.Sub(s.at), fadeTime))
}

// Usual returns the slowdown apart from changes of less than some seconds; 0: the upstream
// states none.
func (s *Stated) Usual(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return bounded(1 + (s.usual-1)*decay(now.Sub(s.at), silentTime))
}

func bounded(multiple float64) float64 { return min(max(multiple, lowest), highest) }

func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / constant.Seconds())
}
