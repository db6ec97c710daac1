package attemptage

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func observeMany(e *Estimator, n int, left func() time.Duration) {
	for range n {
		e.Observe(left())
	}
}

// Guards against attempts that come back and count as new: their objective has passed.
func TestAnAttemptThatComesBackIsAsOldAsItsCallersFirst(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	e := New()
	observeMany(e, 300, func() time.Duration {
		if rnd.IntN(3) == 0 {
			return time.Duration(1500+rnd.IntN(1400)) * time.Millisecond
		}
		return 3 * time.Second
	})
	assert.Equal(t, e.Observe(3*time.Second), time.Duration(0))
	age := e.Observe(2200 * time.Millisecond)
	assert.Assert(t, age > 740*time.Millisecond && age <= 800*time.Millisecond, "%s", age)
}

// Guards against callers with little time that count as old: several kinds of callers use
// one route, and each has its own usual time.
func TestCallersWithOtherTimesAreNotTakenForOld(t *testing.T) {
	e, i := New(), 0
	observeMany(e, 300, func() time.Duration {
		i++
		return []time.Duration{3 * time.Second, 3 * time.Second, time.Second, 600 * time.Millisecond}[i%4]
	})
	for _, left := range []time.Duration{3 * time.Second, time.Second, 600 * time.Millisecond, 10 * time.Second} {
		assert.Equal(t, e.Observe(left), time.Duration(0), "%s", left)
	}
	age := e.Observe(800 * time.Millisecond)
	assert.Assert(t, age > 170*time.Millisecond && age <= 200*time.Millisecond, "%s", age)
}

// Guards against ages where no time is usual, or little is known, or none is stated.
func TestWithoutAUsualTimeNoAttemptIsOld(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	e := New()
	assert.Equal(t, e.Observe(3*time.Second), time.Duration(0))
	assert.Equal(t, e.Observe(time.Second), time.Duration(0))
	observeMany(e, 3000, func() time.Duration { return time.Duration(100+rnd.IntN(10_000)) * time.Millisecond })
	assert.Equal(t, e.Observe(time.Second), time.Duration(0))
	assert.Equal(t, e.Observe(0), time.Duration(0))
	assert.Equal(t, e.Observe(-time.Second), time.Duration(0))
}

// Guards against a former usual time that makes all attempts old after callers changed.
func TestAFormerUsualTimeIsForgotten(t *testing.T) {
	e := New()
	observeMany(e, 5000, func() time.Duration { return 5 * time.Second })
	observeMany(e, 3000, func() time.Duration { return 2 * time.Second })
	assert.Equal(t, e.Observe(2*time.Second), time.Duration(0))
	assert.Equal(t, e.Observe(4*time.Second), time.Duration(0))
	assert.Assert(t, len(e.weights) < 5)
}

func BenchmarkObserve(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	e := New()
	for b.Loop() {
		e.Observe(time.Duration(1500+rnd.IntN(1500)) * time.Millisecond)
	}
}
