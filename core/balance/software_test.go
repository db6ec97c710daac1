package balance_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/balance"
)

func ofVersion(version string, change ...func(*balance.Endpoint)) balance.Endpoint {
	return engine("of "+version, append(change, func(e *balance.Endpoint) { e.Software = version })...)
}

// Guards against streams that begin at the last upstream of a version that leaves, and can
// go on nowhere.
func TestAStreamBeginsWhereItCanGoOn(t *testing.T) {
	draining := ofVersion("old", func(e *balance.Endpoint) { e.Draining = true })
	last, one, other := ofVersion("old"), ofVersion("new"), ofVersion("new")
	d := balance.Pick([]balance.Endpoint{last, draining, one, other}, &request, noTieBreak)
	assert.Assert(t, d.Index >= 2)
	busy := func(e *balance.Endpoint) { e.InFlight = 60 }
	d = balance.Pick([]balance.Endpoint{last, draining, ofVersion("new", busy), ofVersion("new", busy)}, &request, noTieBreak)
	assert.Equal(t, d.Index, 0, "at equal load only")
}

// Property: whatever the snapshot, a stream that a version began goes on at no other one, and
// at none whose version is not known.
func TestAStreamGoesOnAtItsVersionOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SampledFrom([]string{"", "v1", "v2"})
		es := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) balance.Endpoint {
			return ofVersion(versions.Draw(t, "version"), func(e *balance.Endpoint) { e.InFlight = rapid.IntRange(0, 100).Draw(t, "requests") })
		}), 0, 8).Draw(t, "endpoints")
		r := request
		r.Software = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "began")
		if d := balance.Pick(es, &r, noTieBreak); d.Index >= 0 {
			assert.Equal(t, es[d.Index].Software, r.Software)
		}
	})
}
