package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/outcome"
)

var start = time.Unix(1000, 0)

func TestNextDecidesByTheOutcomeAndTheBounds(t *testing.T) {
	far, near := start.Add(time.Minute), start.Add(12*time.Millisecond)
	for _, c := range []struct {
		name       string
		repeatable bool
		deadline   time.Time
		last       Attempt
		share      float64
		want       Reason
	}{
		{"completed", true, far, Attempt{Outcome: outcome.Completed}, 1, Completed},
		{"refused, not repeatable", false, far, Attempt{Outcome: outcome.NotRun}, 1, RetryAllowed},
		{"broken, repeatable", true, far, Attempt{Outcome: outcome.Unknown}, 1, RetryAllowed},
		{"broken, not repeatable", false, far, Attempt{Outcome: outcome.Unknown}, 1, NotRepeatable},
		{"no time", true, near, Attempt{Outcome: outcome.NotRun, RetryAfter: 5 * time.Millisecond}, 1, DeadlineTooClose},
		{"no budget", true, far, Attempt{Outcome: outcome.NotRun}, 0, BudgetExhausted},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(c.share)
			if c.share == 0 {
				b.tokens = 0
			}
			d := NewRequest(Config{}, c.repeatable, c.deadline).Next(c.last, b, start)
			assert.Equal(t, d.Reason, c.want)
			assert.Equal(t, d.Retry, c.want == RetryAllowed)
		})
	}
}

// Guards against reporting "not run" to a caller about a request that an upstream executed. The
// first attempt broke off after its first byte, and another upstream refused the second;
// the second's outcome alone must not be reported.
func TestLaterRefusalDoesNotHideABrokenAttempt(t *testing.T) {
	r, b := NewRequest(Config{MaxAttempts: 2}, true, start.Add(time.Minute)), NewBudget(1)
	assert.Assert(t, r.Next(Attempt{Outcome: outcome.Unknown, ExcludeUpstream: "a"}, b, start).Retry)
	d := r.Next(Attempt{Outcome: outcome.NotRun, ExcludeUpstream: "b"}, b, start)
	assert.Equal(t, d.Reason, AttemptsExhausted)
	assert.Equal(t, d.Outcome, outcome.Unknown)
	assert.DeepEqual(t, d.Excluded, [MaxExcluded]string{"a", "b"})
}

func TestRetriesStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b, requests, retries := NewBudget(share), 0, 0
		for _, ask := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "asks") {
			b.CountRequest()
			requests++
			if ask && b.Take() {
				retries++
			}
		}
		assert.Assert(t, float64(retries) <= BudgetBurst+share*float64(requests)+1e-9)
	})
}

func TestNoRetryPassesTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "left"))
		asked := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "asked"))
		d := NewRequest(Config{}, true, start.Add(left)).Next(
			Attempt{Outcome: outcome.NotRun, RetryAfter: asked, TryOthers: rapid.Bool().Draw(t, "elsewhere")}, NewBudget(1), start)
		assert.Assert(t, !d.Retry || d.Backoff < left)
	})
}
