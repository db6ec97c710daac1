package slowdown

import (
	"math"
	"time"
)

const (
	// observationDecay is the factor on an observation's weight with each later one, so
	// that about the last ten count: a busy upstream has that many in some seconds, and
	// should be found slow, and found recovered, as soon.
	observationDecay = 0.9
	// priorWeight is how many observations of the usual speed are assumed besides, so that
	// few observations change little.
	priorWeight = 3.0
	// maxDeviation bounds an observation to a multiple of what was learnt so far, and to
	// its inverse: a single time has many causes that have nothing to do with the speed.
	maxDeviation = 3.0
	// doubtfulErrors is how many standard errors of the mean of the observations are taken
	// for chance, so that few of many equal upstreams seem to differ.
	doubtfulErrors = 2.0
	// forgetTime is the time constant by which observations lose their weight while there
	// are no others. What made an upstream slow for seconds is over by then, and it is
	// found out by ordinary requests.
	forgetTime = 10 * time.Second
)

// Learnt is the slowdown of an upstream by the times that were observed there.
type Learnt struct {
	sum, squares, weight float64 // decaying sums of the observations' logarithms, their squares and their weights
	at                   time.Time
}

// Observe records the ratio of an observed time to the one predicted for its service.
func (l *Learnt) Observe(ratio float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	value := math.Exp(l.mean(now))
	kept := observationDecay * decay(now.Sub(l.at), forgetTime)
	observed := math.Log(bounded(min(max(ratio, value/maxDeviation), value*maxDeviation)))
	l.sum, l.squares = l.sum*kept+observed, l.squares*kept+observed*observed
	l.weight, l.at = l.weight*kept+1, now
}

// Inherit records what another host had learnt some time ago, unless observations were
// made since.
func (l *Learnt) Inherit(multiple float64, at time.Time) {
	if l.weight > 0 || !(multiple > 0) {
		return
	}
	l.weight, l.at = 1/(1-observationDecay), at
	mean := math.Log(bounded(multiple))
	l.sum, l.squares = mean*l.weight, mean*mean*l.weight
}

// At returns the slowdown that was learnt; 1 if nothing was. It is nearer to one than the
// mean of the observations, by as much as the mean may be wrong.
func (l *Learnt) At(now time.Time) float64 {
	if l.weight == 0 {
		return 1
	}
	mean := l.mean(now)
	sure := max(math.Abs(mean)-doubtfulErrors*l.standardError(), 0)
	return bounded(math.Exp(math.Copysign(sure, mean)))
}

// mean returns the mean of the observations' logarithms and the assumed ones.
func (l *Learnt) mean(now time.Time) float64 {
	kept := decay(now.Sub(l.at), forgetTime)
	return l.sum * kept / (l.weight*kept + priorWeight)
}

// standardError returns the standard error of the mean of the observations' logarithms.
func (l *Learnt) standardError() float64 {
	own := l.sum / l.weight
	variance := max(l.squares/l.weight-own*own, 0)
	return math.Sqrt(variance / (l.weight + priorWeight))
}

// ObservedAt returns when the last observation was made; zero: there was none.
func (l *Learnt) ObservedAt() time.Time { return l.at }

// materialRatio is the ratio to the usual time, or its inverse, within which upstreams
// count as equally fast, so that chance moves no requests.
const materialRatio = 1.15

// Material returns the slowdown, or 1 if it lies within what equal upstreams show too.
func Material(multiple float64) float64 {
	if multiple < materialRatio && multiple > 1/materialRatio {
		return 1
	}
	return multiple
}
