package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: each process that begins to count gives every team a burst of its own.
func TestAProcessThatBeginsToCountIsCorrectedByWhatHostsHeard(t *testing.T) {
	teams := []Team{{Name: "a", Limit: Limit{Unit: Tokens, PerSecond: 1000, Burst: 1000}}}
	unknown := func(string) (KnownState, bool) { return KnownState{}, false }
	for name, c := range map[string]struct {
		begin func(string) (KnownState, bool)
		word  KnownState
		after time.Duration // from its begin to the word
		want  float64
	}{
		"a debt that is partly paid":       {unknown, KnownState{AccountState: AccountState{Level: -900}, Constrained: true, Age: 500 * time.Millisecond}, 0, -400 - 200},
		"more than is there":               {unknown, KnownState{AccountState: AccountState{Level: 900}, Constrained: true, Age: time.Second}, 0, 1000 - 200},
		"enough":                           {unknown, KnownState{}, 0, 1000 - 200},
		"too late: others have told since": {unknown, KnownState{AccountState: AccountState{Level: -900}, Constrained: true}, correctionWindow, 1000},
		"one that knew how the account stood": {func(string) (KnownState, bool) {
			return KnownState{AccountState: AccountState{Level: 500}, Constrained: true}, true
		}, KnownState{AccountState: AccountState{Level: -900}, Constrained: true}, 0, 300},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := NewLedger(0), at(0)
			l.SetTeams(teams, c.begin, now)
			_, ok := l.Take("a", 200, now)
			assert.Assert(t, ok)
			now = now.Add(c.after)
			l.Correct("a", c.word, now)
			l.Correct("a", c.word, now) // another host heard the same
			assert.Assert(t, l.accounts["a"].bucket.Level(now) <= c.want+1 && l.accounts["a"].bucket.Level(now) >= c.want-1, "%f", l.accounts["a"].bucket.Level(now))
			l.Correct("nobody", c.word, now)
		})
	}
}
