package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	row := func(s State, overdue, expires int64) *Row {
		return &Row{ID: "old", BodyHash: "b", State: s, OverdueMs: overdue, ExpiresMs: expires, Route: Route{Attempt: "a"}}
	}
	const later, before = int64(1_060_000), int64(999_000)
	for _, c := range []struct {
		name string
		row  *Row
		body string
		want Action
	}{
		{"no row", nil, "b", Run},
		{"another body", row(Completed, later, later), "x", KeyReused},
		{"another body of a forgotten key", row(Completed, before, before), "x", Run},
		{"completed", row(Completed, before, later), "b", Replay},
		{"freed", row(NotRun, before, later), "b", Run},
		{"lost from sight", row(Unknown, later, later), "b", ResolveOutcome},
		{"running", row(Dispatched, later, later), "b", InProgress},
		{"running for too long", row(Dispatched, before, later), "b", ResolveOutcome},
		{"running past the key's life", row(Dispatched, before, before), "b", ResolveOutcome},
		{"held", row(Claimed, later, later), "b", InProgress},
		{"held for too long", row(Claimed, before, later), "b", Run},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Decide(c.row, Arrival{ID: "new", BodyHash: c.body}, now).Action, c.want)
		})
	}
	assert.Equal(t, Decide(row(Dispatched, later, later), Arrival{ID: "old"}, now).Action, OwnClaim)
}

// Symptom: a request that ran before its engine restarted runs again. The
// restarted engine answers "unseen" in good faith; its memory is empty. Only
// the incarnation that the attempt was sent to can say that it never came.
func TestUnseenAfterRestartResolvesNothing(t *testing.T) {
	row := Row{State: Dispatched, Route: Route{Upstream: "e1", Incarnation: "i1", Attempt: "a1"}}
	next, settled := ApplyReport(row, Report{State: AttemptUnseen, Incarnation: "i2"})
	assert.Assert(t, !settled)
	assert.Equal(t, next.State, Unknown)

	next, settled = ApplyReport(row, Report{State: AttemptUnseen, Incarnation: "i1"})
	assert.Assert(t, settled)
	assert.Equal(t, next.State, NotRun)

	_, settled = ApplyReport(row, Report{State: AttemptCompleted, Incarnation: "i2"})
	assert.Assert(t, settled, "what a log kept over the restart counts")
}

func TestCompletedIsFinal(t *testing.T) {
	done := Row{State: Completed}
	_, err := done.Release()
	assert.ErrorIs(t, err, ErrState)
	_, err = done.MarkUnknown()
	assert.ErrorIs(t, err, ErrState)
	_, err = done.Dispatch(Route{Attempt: "a2"}, time.Time{})
	assert.ErrorIs(t, err, ErrState)
}

func TestKeysOfTeamsDoNotMeet(t *testing.T) {
	assert.Assert(t, Key("a", "bc") != Key("ab", "c"))
}
