package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// fleetAt returns a fleet with one upstream, at a time that the test sets.
func fleetAt(now *time.Time, u deploy.Upstream) *fleet.Fleet {
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return *now }})
	f.Apply([]deploy.Upstream{u}, nil, 0)
	return f
}

func slowdownOf(t *testing.T, f *fleet.Fleet, id string, now time.Time) float64 {
	e, ok := f.Entry(id)
	assert.Assert(t, ok)
	return e.Endpoint(&fleet.Request{}, now).Slowdown
}

// Guards against a new process that is taken for as slow as the former one under its id.
func TestAProcessThatStartsAgainHasNoSpeedYet(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	u := upstream("a", 4)
	u.Born = 1000
	f := fleetAt(&now, u)
	former, _ := f.Entry("a")
	for range 30 {
		former.RecordSpeed(3, now)
	}
	former.RecordSlowdown(2.5, now)
	former.RecordRelayedSlowdown(2.5, now)
	assert.Assert(t, slowdownOf(t, f, "a", now) > 5)
	u.Born = 2000
	f.Apply([]deploy.Upstream{u}, nil, 0)
	former.RecordSpeed(3, now) // an answer of the former process arrives late
	former.RecordSlowdown(2.5, now)
	assert.Equal(t, slowdownOf(t, f, "a", now), 0.0)
}

// Guards against a figure that is taken for the present long after it was heard, and one
// that is forgotten before the next answer.
func TestAStatedSlowdownFades(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := fleetAt(&now, upstream("a", 4))
	e, _ := f.Entry("a")
	x := e.Begin(&fleet.Request{}, fleet.Cost{})
	x.RecordReportedLoad(fleet.ReportedLoad{Running: 1, Slots: 4, Slowdown: 2.5})
	x.Answered(false)
	assert.Equal(t, slowdownOf(t, f, "a", now), 2.5)
	soon := slowdownOf(t, f, "a", now.Add(150*time.Millisecond))
	assert.Assert(t, soon > 1.8 && soon < 2.5, "%.2f", soon)
	assert.Equal(t, slowdownOf(t, f, "a", now.Add(2*time.Second)), 0.0)
	assert.Equal(t, e.StatedSlowdown(now), 2.5)
	assert.Equal(t, e.StatedSlowdown(now.Add(time.Second)), 0.0, "too old to report")
}

// Guards against a load without counts that hides the counts stated before.
func TestALoadWithoutCountsStatesOnlyTheSlowdown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := fleetAt(&now, upstream("a", 4))
	e, _ := f.Entry("a")
	x := e.Begin(&fleet.Request{}, fleet.Cost{})
	x.RecordReportedLoad(fleet.ReportedLoad{Running: 3, Waiting: 2, Slots: 4})
	x.RecordReportedLoad(fleet.ReportedLoad{CountsUnknown: true, Slowdown: 2})
	got := e.Endpoint(&fleet.Request{}, now)
	assert.Equal(t, got.InFlight, 5)
	assert.Equal(t, got.Slowdown, 2.0)
}

// Guards against a host that, without a coordinator, goes on by what one told it, or
// prefers that to what it has just heard itself.
func TestTheCoordinatorsEstimateIsUsedWhileItIsNew(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := fleetAt(&now, upstream("a", 4))
	e, _ := f.Entry("a")
	e.RecordRelayedSlowdown(2, now)
	assert.Equal(t, slowdownOf(t, f, "a", now.Add(500*time.Millisecond)), 2.0)
	assert.Equal(t, slowdownOf(t, f, "a", now.Add(time.Second)), 0.0)
	assert.Equal(t, e.ObservedSlowdown(now), 0.0, "not its own, to be told on")
	e.RecordSlowdown(3, now)
	assert.Equal(t, slowdownOf(t, f, "a", now), 3.0)
}

// Guards against models that are moved because of a small difference which was chance, and
// ones that stay on an upstream of half the speed as on a whole one.
func TestOnlyALargeLearntSlowdownMakesAPlaceSmaller(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := fleetAt(&now, upstream("a", 4))
	e, _ := f.Entry("a")
	assert.Equal(t, e.LastingSlowdown(now), 0.0)
	for _, c := range []struct {
		ratio   float64
		smaller bool
	}{{1.3, false}, {0.5, false}, {3, true}} {
		for range 30 {
			e.RecordSpeed(c.ratio, now)
		}
		assert.Equal(t, e.LastingSlowdown(now) > 0, c.smaller, "%v", c)
	}
	other := fleetAt(&now, upstream("b", 4))
	b, _ := other.Entry("b")
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		b.RecordSlowdown(1.3, now)
	}
	assert.Assert(t, b.LastingSlowdown(now) > 1.25, "stated on all answers")
}
