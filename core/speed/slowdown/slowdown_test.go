package slowdown_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/speed/slowdown"
)

// seed makes the property tests draw the same inputs on every run; -rapid.seed overrides it.
const seed = "20261204"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

// Guards against equal upstreams that are found to differ because their times vary by
// chance: the median of the times is the same, single ones are half or twice as long.
func TestNoiseIsNoSlowdown(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	differed, all := 0, 0
	for range 50 {
		var l slowdown.Learnt
		now := start
		for range 200 {
			now = now.Add(200 * time.Millisecond)
			l.Observe(math.Exp(0.4*rnd.NormFloat64()), now)
			all++
			if slowdown.Material(l.At(now)) != 1 {
				differed++
			}
		}
	}
	assert.Assert(t, differed < all/50, "%d of %d", differed, all)
}

// Guards against an upstream that seems slow, or fast, for one answer that took much longer
// or shorter.
func TestASingleTimeChangesLittle(t *testing.T) {
	for _, outlier := range []float64{1e6, 50, 0.001} {
		var l slowdown.Learnt
		now := start
		for i := range 20 {
			now = now.Add(300 * time.Millisecond)
			ratio := 1.0
			if i == 10 {
				ratio = outlier
			}
			l.Observe(ratio, now)
			assert.Equal(t, slowdown.Material(l.At(now)), 1.0, "%g, after %d", outlier, i)
		}
	}
}

// Guards against an upstream that gets nothing because it was slow, and for that is never
// found to have recovered.
func TestWhatWasLearntIsForgotten(t *testing.T) {
	var l slowdown.Learnt
	var s slowdown.Stated
	for i := range 40 {
		l.Observe(4, start.Add(time.Duration(i)*200*time.Millisecond))
		s.Observe(4, start.Add(time.Duration(i)*200*time.Millisecond))
	}
	now := start.Add(8 * time.Second)
	assert.Assert(t, l.At(now) > 2.5 && s.At(now) > 2.5, "%.2f, %.2f", l.At(now), s.At(now))
	now = now.Add(time.Minute)
	assert.Equal(t, slowdown.Material(l.At(now)), 1.0)
	assert.Equal(t, slowdown.Material(s.At(now)), 1.0)
}

// Guards against a machine's usual slowdown that follows each change of half a second.
func TestTheUsualSlowdownIsThatOfMostStatements(t *testing.T) {
	var s slowdown.Stated
	now := start
	for i := range 300 {
		now = now.Add(100 * time.Millisecond)
		multiple := 1.3
		if i%50 >= 44 { // for 0.6 s every 5 s
			multiple = 3.25
		}
		s.Observe(multiple, now)
	}
	assert.Assert(t, s.Usual(now) > 1.2 && s.Usual(now) < 1.5, "%.2f", s.Usual(now))
}

// Property: whatever is observed, and in which order of time, an estimate is positive and
// bounded.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l slowdown.Learnt
		var s slowdown.Stated
		now := start
		for range rapid.IntRange(0, 40).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e11).Draw(t, "later")))
			v := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 5), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, 0})).Draw(t, "value")
			l.Observe(v, now)
			s.Observe(v, now)
			l.Inherit(v, now)
			assert.Assert(t, l.At(now) >= 0.1 && l.At(now) <= 10, "%g", l.At(now))
			assert.Assert(t, s.At(now) == 0 || s.At(now) >= 0.1 && s.At(now) <= 10, "%g", s.At(now))
		}
	})
}
