package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
)

func oneSecond(Key, int, int) time.Duration { return time.Second }

// Guards against replicas that follow where callers were, and a successor that knows the
// demand and not where it is: the parts decay as the whole does, and are handed over.
func TestThePartsOfTheDemandDecayAndAreInherited(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := &deploy.Engine{Models: []deploy.Model{{Name: "m", StoreLoad: time.Second}}}
	d := New()
	of := func(rank uint32) []*coordpb.Demand {
		return []*coordpb.Demand{{Service: "s", Model: "m", Requests: 1, Rank: rank}}
	}
	d.Add(of(0), "a", oneSecond, now)
	now = now.Add(2 * decayTime)
	d.Add(of(2), "b", oneSecond, now)

	all, period := d.Snapshot(now)
	successor := New()
	successor.Inherit(all, period, now, now)
	for _, known := range []*Demand{d, successor} {
		got := known.OfService("s", e, now)["m"]
		a, b := got.ByDataCentre["a"], got.ByDataCentre["b"]
		assert.Assert(t, a > 0.1*b && a < 0.2*b, "%.3f of %.3f, not e^-2", a, b)
		assert.Equal(t, len(got.ByRank), 3)
		assert.Assert(t, got.ByRank[0] < got.ByRank[2])
		assert.Assert(t, got.EngineLoad > 0.99*(a+b) && got.EngineLoad < 1.01*(a+b), "%.3f", got.EngineLoad)
	}
}

// Guards against a model that nobody was served of and whose callers are nowhere, so that its
// first replica is placed anywhere.
func TestUnservedRequestsHaveAPlace(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New()
	d.Add([]*coordpb.Demand{{Service: "s", Model: "m", Unserved: 1}}, "a", func(Key, int, int) time.Duration { return 0 }, now)
	got := d.OfService("s", &deploy.Engine{}, now)["m"]
	assert.Assert(t, got.ByDataCentre["a"] > 0)
	assert.Equal(t, got.EngineLoad, 0.0)
}

// Guards against loads for a demand that lasts for seconds: one that has doubled or halved
// begins anew.
func TestADemandLastsWhileItIsAboutTheSame(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var s steadyLoad
	for _, c := range []struct {
		load float64
		want time.Duration
	}{{1, 0}, {1.9, time.Second}, {0.6, 2 * time.Second}, {2.1, 0}, {2.1, time.Second}, {0.9, 0}, {0, 0}, {0, time.Second}} {
		assert.Equal(t, s.update(c.load, now), c.want, "%.1f", c.load)
		now = now.Add(time.Second)
	}
}
