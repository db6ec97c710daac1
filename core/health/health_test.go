package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/health"
)

var t0 = time.Unix(1_700_000_000, 0)

func after(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Symptom: hundreds of requests wait at an upstream until their deadlines.
// Sequence: it goes dark with requests outstanding; more are sent.
// Cause: nothing failed, so nothing counted against it.
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
	assert.Equal(t, r.Status(after(500)), health.Trial)
	assert.Assert(t, r.RecordFailure(health.DefaultPolicy, after(500)), "a failed trial is enough by itself")
	assert.Equal(t, r.Status(after(1200)), health.Down, "the second rest is longer")
	r.RecordBytes(after(1400), false)
	assert.Equal(t, r.Status(after(1401)), health.Up)
}

// Symptom: a flapping upstream is let back by an answer that was under way
// before it failed. Sequence: it breaks exchanges; a late event of an old
// stream arrives within its rest.
// Cause: any byte clears the record.
func TestALateEventDoesNotEndAnExclusion(t *testing.T) {
	var r health.Tracker
	r.RecordFailure(health.DefaultPolicy, after(0))
	r.RecordFailure(health.DefaultPolicy, after(1))
	r.RecordBytes(after(100), false)
	assert.Equal(t, r.Status(after(101)), health.Down)
}

// Symptom: a service whose calls fail by nature has no upstream left.
// Sequence: one in seven answers of each is a failure.
// Cause: failures are judged without looking at the others.
func TestOnlyOutliersAreFailing(t *testing.T) {
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.14, 0.16, 0.12}, 3), []bool{false, false, false})
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.14, 0.6, 0.12}, 3), []bool{false, true, false})
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.9, 0.9, 0.1}, 3), []bool{true, false, false})
	assert.DeepEqual(t, health.Outliers(health.DefaultPolicy, []float64{0.9, -1}, 2), []bool{false, false})
}
