package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/health"
)

var t0 = time.Unix(1_700_000_000, 0)

func after(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Guards against requests that wait at an unresponsive upstream until their
// deadlines, while more are sent to it: no exchange failed, so no failure was
// counted.
func TestAnUnresponsiveUpstreamIsNoticed(t *testing.T) {
	var r health.Tracker
	r.RecordSend(after(0))
	r.RecordBytes(after(100), true)
	assert.Assert(t, !r.IsUnresponsive(health.DefaultPolicy, after(700), 0))
	assert.Assert(t, r.IsUnresponsive(health.DefaultPolicy, after(801), 0))
	r.RecordBytes(after(810), false)
	assert.Assert(t, !r.IsUnresponsive(health.DefaultPolicy, after(5000), 0), "nothing is outstanding")
}

func TestOneBrokenExchangeIsNotEnoughAndTwoAre(t *testing.T) {
	var r health.Tracker
	assert.Assert(t, !r.RecordFailure(health.DefaultPolicy, after(0)))
	assert.Equal(t, r.Status(after(1)), health.Up)
	assert.Assert(t, r.RecordFailure(health.DefaultPolicy, after(2)))
	assert.Equal(t, r.Status(after(3)), health.Down)
	assert.Equal(t, r.Status(after(500)), health.HalfOpen)
	assert.Assert(t, r.RecordFailure(health.DefaultPolicy, after(500)), "a failed probe is enough by itself")
	assert.Equal(t, r.Status(after(1200)), health.Down, "the second exclusion is longer")
	r.RecordBytes(after(1400), false)
	assert.Equal(t, r.Status(after(1401)), health.Up)
}

// Guards against ending an exclusion because of bytes that were in flight before
// the upstream failed, such as a late event of an old stream.
func TestALateEventDoesNotEndAnExclusion(t *testing.T) {
	var r health.Tracker
	r.RecordFailure(health.DefaultPolicy, after(0))
	r.RecordFailure(health.DefaultPolicy, after(1))
	r.RecordBytes(after(100), false)
	assert.Equal(t, r.Status(after(101)), health.Down)
}

// Guards against an upstream that stays excluded for its silence, twice as long each time,
// though it sends again.
func TestBytesEndAnExclusionForSilence(t *testing.T) {
	var r health.Tracker
	for at := 0; at < 20_000; at += 2000 {
		r.RecordSend(after(at))
		assert.Assert(t, r.ExcludeSilent(health.DefaultPolicy, after(at+701)))
		assert.Equal(t, r.Status(after(at+999)), health.Down)
		r.RecordBytes(after(at+1000), false)
		assert.Equal(t, r.Status(after(at+1000)), health.Up)
	}
	r.RecordSend(after(20_000))
	assert.Assert(t, r.ExcludeSilent(health.DefaultPolicy, after(20_701)))
	assert.Assert(t, r.RecordFailure(health.DefaultPolicy, after(21_200)), "the exclusion was over")
	r.RecordBytes(after(21_300), false)
	assert.Equal(t, r.Status(after(21_301)), health.Down, "this one is for a failure")
}

// Guards against excluding all upstreams of a service whose calls often fail, as
// when one in seven answers of each upstream is a failure: a failure share counts
// only against the other upstreams' shares.
func TestOnlyOutliersAreFailing(t *testing.T) {
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.14, 0.16, 0.12}, 3), []bool{false, false, false})
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.14, 0.6, 0.12}, 3), []bool{false, true, false})
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.9, 0.9, 0.1}, 3), []bool{true, false, false})
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.9, -1}, 2), []bool{false, false})
}
