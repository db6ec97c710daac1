package speed

// regression follows y = a + b x through samples with noise. Newer ones weigh more.
type regression struct {
	n, x, y, xx, xy float64 // decayed sums
}

const (
	// sampleDecay is what a sample keeps of its weight with each later one: about the
	// last thirty count. A busy model has that many within two seconds, which is
	// how soon a change of its engines should show.
	sampleDecay = 0.97
	// maxOvershoot and slackMs bound a sample to so many times what was expected, and
	// some milliseconds. Beyond it something else than the size held it up: an
	// upstream that froze or slowed down says nothing of the others.
	maxOvershoot     = 2.0
	overshootSlackMs = 20.0
	// maxSlopeReduction is by how many times a slope may lie below its prior: among
	// samples of one size, noise could make work seem to take no time at all.
	maxSlopeReduction = 20.0
)

// add enters a sample; prior is the slope that was expected.
func (l *regression) add(x, y, prior float64) {
	y = min(y, maxOvershoot*l.predict(x, prior)+overshootSlackMs)
	for _, sum := range []*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy} {
		*sum *= sampleDecay
	}
	l.n++
	l.x += x
	l.y += y
	l.xx += x * x
	l.xy += x * y
}

// slope is b. The prior counts as one sample that lies as far from the mean as
// the mean from 0, so that samples of one size do not decide alone.
func (l *regression) slope(prior float64) float64 {
	if l.n == 0 {
		return prior
	}
	mean := l.x / l.n
	spread, cross := l.xx-l.x*mean, l.xy-mean*l.y
	return max((cross+mean*mean*prior)/max(spread+mean*mean, 1), prior/maxSlopeReduction)
}

// predict is the line's y at x.
func (l *regression) predict(x, prior float64) float64 {
	if l.n == 0 {
		return prior * x
	}
	b := l.slope(prior)
	return max((l.y-b*l.x)/l.n, 0) + b*x
}

// decayingRatio follows sum(y) / sum(x).
type decayingRatio struct{ n, x, y float64 }

func (r *decayingRatio) add(x, y float64) {
	r.n, r.x, r.y = r.n*sampleDecay+1, r.x*sampleDecay+x, r.y*sampleDecay+y
}

// value counts the prior as one sample of the mean size.
func (r *decayingRatio) value(prior float64) float64 {
	if r.x == 0 {
		return prior
	}
	mean := r.x / r.n
	return (r.y + prior*mean) / (r.x + mean)
}
