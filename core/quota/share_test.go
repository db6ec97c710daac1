package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against use of a limit that a new ledger is not told of: it grants what was gained while nobody counted, and
// hosts drop what they admitted meanwhile before it is old.
func TestUsageIsReportedForItsWholeTime(t *testing.T) {
	const interval, cost = 10 * time.Millisecond, 200.0
	for gap := usageTTL / 2; gap <= 2*usageTTL; gap += usageTTL / 10 {
		s := NewShare(Limit{Unit: Tokens, PerSecond: 2000, Burst: 2000}, at(0))
		s.SetState(AccountState{Demand: 2000}, true, at(0), at(0))
		recent, all := 0.0, 0.0
		for since := time.Duration(0); since < gap; since += interval {
			if s.DecideWithoutLedger(0, cost, at(since.Seconds()), 0) == Admit {
				all += cost
				if since >= gap-usageTTL {
					recent += cost
				}
			}
		}
		admitted, _ := s.UnreportedUsage(at(gap.Seconds()))
		assert.Assert(t, admitted >= recent && admitted <= all, "after %v: %.0f of %.0f", gap, admitted, recent)
		old, _ := s.UnreportedUsage(at((gap + 2*usageTTL).Seconds()))
		assert.Equal(t, old, 0.0)
	}
}
