package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against admitting, in any time span, more than the rate and a burst allow, apart
// from one request that costs more than a burst.
func TestABucketEnforcesTheRateOverAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Unit: Tokens, PerSecond: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(1, 2000).Draw(t, "burst")}
		now := at(0)
		b := NewBucket(l, now)
		type admission struct {
			at   time.Time
			cost float64
		}
		var all []admission
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Float64Range(0, 2).Draw(t, "gap") * float64(time.Second)))
			cost := rapid.Float64Range(0, 3000).Draw(t, "cost")
			if _, ok := b.Take(cost, now); ok {
				all = append(all, admission{now, cost})
			}
		}
		for i := range all {
			sum, largest := 0.0, 0.0
			for _, p := range all[i:] {
				sum, largest = sum+p.cost, max(largest, p.cost)
				allowed := l.PerSecond*p.at.Sub(all[i].at).Seconds() + l.Burst + max(largest-l.Burst, 0)
				assert.Assert(t, sum <= allowed+0.1, "%f of %f", sum, allowed)
			}
		}
	})
}

// Guards against a caller that is refused again although it returned after the stated wait
// and nobody else sent anything.
func TestARequestIsAdmittedAfterTheStatedWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Unit: Tokens, PerSecond: rapid.Float64Range(1, 1e6).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1e6).Draw(t, "burst")}
		now := at(0)
		b := NewBucket(l, now)
		b.Charge(rapid.Float64Range(0, 3e6).Draw(t, "used"), now)
		cost := rapid.Float64Range(0, 3e6).Draw(t, "cost")
		wait, ok := b.Take(cost, now)
		if ok {
			return
		}
		_, ok = b.Take(cost, now.Add(wait+time.Millisecond))
		assert.Assert(t, ok, "after %v", wait)
	})
}

// Guards against refusing a request that costs more than a burst for ever. Only a full
// bucket admits it, and others wait until its debt is paid.
func TestARequestLargerThanABurstIsNotRefusedForEver(t *testing.T) {
	b := NewBucket(Limit{PerSecond: 100, Burst: 100}, at(0))
	_, ok := b.Take(250, at(0))
	assert.Assert(t, ok)
	wait, ok := b.Take(50, at(1))
	assert.Assert(t, !ok)
	assert.Equal(t, wait.Round(time.Millisecond), time.Second)
}

func TestALowerLimitAppliesAtOnceAndRefundsAreAvailable(t *testing.T) {
	b := NewBucket(Limit{PerSecond: 100, Burst: 1000}, at(0))
	b.SetLimit(Limit{PerSecond: 10, Burst: 50}, at(0))
	assert.Equal(t, b.Level(at(0)), 50.0)
	_, ok := b.Take(50, at(0))
	assert.Assert(t, ok)
	b.Refund(50, at(0))
	assert.Equal(t, b.Level(at(0)), 50.0)
	b.Charge(1e9, at(0))
	assert.Equal(t, b.Level(at(8)), -50.0, "a debt is bounded")
}

func TestCosts(t *testing.T) {
	tokens := Limit{Unit: Tokens, Plain: 200}
	assert.Equal(t, tokens.Cost(2500, true), 2500.0)
	assert.Equal(t, tokens.Cost(0, false), 200.0)
	assert.Equal(t, tokens.Cost(0, true), 0.0)
	assert.Equal(t, Limit{}.Cost(2500, true), 1.0)
	assert.Assert(t, !Limit{Burst: 10}.Limited())
}
