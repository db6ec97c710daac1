package speed

// regression fits y = a + b x to noisy samples. Newer samples have more weight.
type regression struct {
	n, x, y, xx, xy float64 // decaying sums
}

const (
	// sampleDecay is the factor on a sample's weight with each later sample, so that about the
	// last thirty count. A busy model has that many within two seconds, and a change of its
	// engines should show as soon.
	sampleDecay = 0.97
	// maxOvershoot and overshootSlackMs bound a sample to a multiple of its expected value plus
	// some milliseconds. A longer time has another cause than the size: an upstream that
	// froze or slowed down tells nothing about the others.
	maxOvershoot     = 2.0
	overshootSlackMs = 20.0
	// maxSlopeReduction is the factor by which a slope may lie below its prior. Among samples
	// of one size, noise could otherwise make work seem to take no time at all.
	maxSlopeReduction = 20.0
)

// add adds a sample; prior is the expected slope.
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

// slope returns b. The prior counts as one sample that is as far from the mean as the mean
// is from 0, so that samples of one size do not decide alone.
func (l *regression) slope(prior float64) float64 {
	if l.n == 0 {
		return prior
	}
	mean := l.x / l.n
	spread, cross := l.xx-l.x*mean, l.xy-mean*l.y
	return max((cross+mean*mean*prior)/max(spread+mean*mean, 1), prior/maxSlopeReduction)
}

// predict returns the fitted y at x.
func (l *regression) predict(x, prior float64) float64 {
	if l.n == 0 {
		return prior * x
	}
	b := l.slope(prior)
	return max((l.y-b*l.x)/l.n, 0) + b*x
}

// decayingRatio tracks sum(y) / sum(x), with more weight for newer samples.
type decayingRatio struct{ n, x, y float64 }

func (r *decayingRatio) add(x, y float64) {
	r.n, r.x, r.y = r.n*sampleDecay+1, r.x*sampleDecay+x, r.y*sampleDecay+y
}

// value returns the ratio, with the prior counted as one sample of the mean size.
func (r *decayingRatio) value(prior float64) float64 {
	if r.x == 0 {
		return prior
	}
	mean := r.x / r.n
	return (r.y + prior*mean) / (r.x + mean)
}
