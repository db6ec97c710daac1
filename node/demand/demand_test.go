package demand_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/place"
	"peridotpier.example/node/demand"
)

// Guards against bursts of seconds that cause models to be moved: an idle model gets
// forty requests at once for three seconds, and the demand that moves are decided on
// must not follow so fast.
func TestABurstOfSecondsHardlyShowsInTheLongAverage(t *testing.T) {
	tr := demand.New(demand.DefaultConfig())
	k := place.Key{Model: "m"}
	for range 40 {
		tr.Begin(k)
	}
	for range 3 {
		tr.Sample(time.Second)
	}
	for range 40 {
		tr.End(k, false)
	}
	d := tr.Means()[k]
	assert.Assert(t, d.Short > 3 && d.Long < 0.5, "%+v", d)
}

func TestRefusedRequestsCountAndIdleKeysAreRemoved(t *testing.T) {
	tr := demand.New(demand.DefaultConfig())
	k := place.Key{Model: "m", Adapter: "a"}
	for range 200 {
		for range 5 {
			tr.Begin(k)
			tr.End(k, true)
		}
		tr.Sample(time.Second)
	}
	d := tr.Means()[k]
	assert.Assert(t, d.Short > 4.5 && d.Short <= 5, "%+v", d)
	tr.Sample(2 * time.Hour)
	assert.Equal(t, len(tr.Means()), 0)
}
