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
		{"another body of an expired key", row(Completed, before, before), "x", Run},
		{"completed", row(Completed, before, later), "b", Replay},
		{"freed", row(NotRun, before, later), "b", Run},
		{"outcome unknown", row(Unknown, later, later), "b", ResolveOutcome},
		{"running", row(Dispatched, later, later), "b", InProgress},
		{"running for too long", row(Dispatched, before, later), "b", ResolveOutcome},
		{"running after the key expired", row(Dispatched, before, before), "b", ResolveOutcome},
		{"held", row(Claimed, later, later), "b", InProgress},
		{"held for too long", row(Claimed, before, later), "b", Run},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Decide(c.row, Arrival{ID: "new", BodyHash: c.body}, now).Action, c.want)
		})
	}
	assert.Equal(t, Decide(row(Dispatched, later, later), Arrival{ID: "old"}, now).Action, OwnClaim)
}

// Guards against running a request again that had run before its engine
// restarted. The restarted engine reports the attempt as unseen because it lost
// its memory; only the incarnation that the attempt was sent to can report that
// it never arrived.
func TestUnseenAfterRestartResolvesNothing(t *testing.T) {
	row := Row{State: Dispatched, Route: Route{Upstream: "e1", Incarnation: "i1", Attempt: "a1"}}
	next, resolved := ApplyReport(row, Report{State: AttemptUnseen, Incarnation: "i2"})
	assert.Assert(t, !resolved)
	assert.Equal(t, next.State, Unknown)

	next, resolved = ApplyReport(row, Report{State: AttemptUnseen, Incarnation: "i1"})
	assert.Assert(t, resolved)
	assert.Equal(t, next.State, NotRun)

	_, resolved = ApplyReport(row, Report{State: AttemptCompleted, Incarnation: "i2"})
	assert.Assert(t, resolved, "an outcome that a log kept across the restart counts")
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
