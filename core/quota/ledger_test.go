package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against each process that begins to count granting every team another burst.
func TestANewLedgerIsCorrectedByStatesThatHostsReceived(t *testing.T) {
	teams := []Team{{Name: "a", Limit: Limit{Unit: Tokens, PerSecond: 1000, Burst: 1000}}}
	unknown := func(string) (KnownState, bool) { return KnownState{}, false }
	for name, c := range map[string]struct {
		lastKnown func(string) (KnownState, bool)
		received  KnownState
		after     time.Duration // from the ledger's start to the correction
		want      float64
	}{
		"a debt that is partly paid":           {unknown, KnownState{AccountState: AccountState{Level: -900}, Constrained: true, Age: 500 * time.Millisecond}, 0, -400 - 200},
		"a higher level than it has":           {unknown, KnownState{AccountState: AccountState{Level: 900}, Constrained: true, Age: time.Second}, 0, 1000 - 200},
		"enough":                               {unknown, KnownState{}, 0, 1000 - 200},
		"too late: others have reported since": {unknown, KnownState{AccountState: AccountState{Level: -900}, Constrained: true}, correctionWindow, 1000},
		"an account whose state was known": {func(string) (KnownState, bool) {
			return KnownState{AccountState: AccountState{Level: 500}, Constrained: true}, true
		}, KnownState{AccountState: AccountState{Level: -900}, Constrained: true}, 0, 300},
		"an account that another has counted since": {func(string) (KnownState, bool) {
			return KnownState{AccountState: AccountState{Level: 500}, Constrained: true, Age: 300 * time.Millisecond}, true
		}, KnownState{AccountState: AccountState{Level: -900}, Constrained: true, Age: 100 * time.Millisecond}, 0, -800 - 200},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := NewLedger(0), at(0)
			l.SetTeams(teams, c.lastKnown, now)
			assert.Equal(t, l.Ask("a", Ask{Cost: 200}, now).Verdict, Admit)
			now = now.Add(c.after)
			l.Correct("a", c.received, now)
			l.Correct("a", c.received, now) // another host received the same state
			assert.Assert(t, l.accounts["a"].bucket.Level(now) <= c.want+1 && l.accounts["a"].bucket.Level(now) >= c.want-1, "%f", l.accounts["a"].bucket.Level(now))
			l.Correct("nobody", c.received, now)
		})
	}
}
