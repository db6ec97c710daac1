package quota

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against hosts without a coordinator that admit more than their share because they
// admit urgent requests first, or that refuse urgent ones while others are admitted.
func TestWithoutALedgerLessUrgentRequestsGiveWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s rankShares
		now := at(1)
		costs := rapid.SliceOfN(rapid.Float64Range(1, 1000), 1, 5).Draw(t, "costs")
		ofAll := rapid.Float64Range(0, 1.5).Draw(t, "proportion")
		total, admitted := 0.0, 0.0
		for rank, cost := range costs {
			s.add(rank, cost, now)
			total += cost
		}
		previous := max(ofAll, 1)
		for rank, cost := range costs {
			got := s.proportion(rank, ofAll, now)
			admitted += min(got, 1) * cost
			floor := min(ofAll*total*floorShare/max(float64(len(costs)-1), 1)/cost, 1)
			assert.Assert(t, got >= floor-1e-9 || len(costs) == 1, "rank %d below its floor", rank)
			assert.Assert(t, got <= previous+floor+1e-9, "rank %d before a more urgent one", rank)
			previous = got
		}
		if ofAll < 1 {
			assert.Assert(t, admitted <= ofAll*total*(1+1e-9) && admitted >= ofAll*total*(1-1e-9), "%f of %f", admitted, ofAll*total)
		}
		if len(costs) == 1 {
			assert.Equal(t, s.proportion(0, ofAll, now), ofAll)
		}
	})
}
