package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMeterTellsBurstsFromLastingDemand(t *testing.T) {
	m, key := NewMeter(0, 0), Key{Model: "a"}
	now := t0
	run := func(seconds int, n float64) Demand {
		for range seconds {
			now = now.Add(time.Second)
			m.Observe(now, key, n)
		}
		return m.Demand()[key]
	}
	d := run(10, 2)
	assert.Assert(t, d.Short > 1.99 && d.Long > 1.99, "the first seconds count in full: %v", d)
	run(600, 2)
	d = run(10, 20)
	assert.Assert(t, d.sure() < 4, "a burst of ten seconds: %v", d)
	d = run(600, 20)
	assert.Assert(t, d.sure() > 15, "ten minutes: %v", d)
	assert.Assert(t, run(60, 0).most() > 12, "a replica in use lately is not idle")
}
