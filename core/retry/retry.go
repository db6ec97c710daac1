// Package retry decides, in one place, whether another attempt follows one
// that ended, when, and where it must not go.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotpier.example/core/outcome"
)

// Config bounds retries.
type Config struct {
	MaxAttempts    int           // most attempts of one request, the first included
	InitialBackoff time.Duration // mean pause before the second attempt
	MaxBackoff     time.Duration // longest mean pause
	MinRemaining   time.Duration // an attempt with less time left than this is not worth starting
}

// defaults suit upstreams a few milliseconds away: by the fourth attempt
// a request has tried four upstreams, and more would only spread an overload.
var defaults = Config{MaxAttempts: 4, InitialBackoff: 5 * time.Millisecond, MaxBackoff: 200 * time.Millisecond, MinRemaining: 10 * time.Millisecond}

// jitter spreads pauses over half to one and a half of their mean, so that
// requests which failed together do not come back together.
const jitter = 0.5

// MaxExcluded is how many upstreams a request remembers not to go back to; it is
// the size of route.Request.Avoid.
const MaxExcluded = 4

// Reason says why an exchange of attempts goes on or ends.
type Reason uint8

// The reasons.
const (
	RetryAllowed      Reason = iota
	Completed                // the last attempt completed
	NotRepeatable            // it may have run, and may not run twice
	AttemptsExhausted        // as many attempts as allowed were made
	DeadlineTooClose         // the deadline would pass
	BudgetExhausted          // retries already are their share of the traffic
)

// Decision says whether to try again. When Retry is false, Outcome is what
// the caller must be told.
type Decision struct {
	Retry    bool
	Reason   Reason
	Backoff  time.Duration
	Excluded [MaxExcluded]string
	Outcome  outcome.Outcome
}

// Attempt is how an attempt ended.
type Attempt struct {
	Outcome         outcome.Outcome
	ExcludeUpstream string        // not to go back to; "" when it did not refuse
	RetryAfter      time.Duration // asked for by the upstream; 0: nothing asked
	// Elsewhere tells that another upstream may be tried at once, whatever
	// this one asked for: it alone is full, leaving or unreachable.
	TryOthers bool
}

// Request follows the attempts of one request. It belongs to one goroutine.
type Request struct {
	cfg           Config
	repeatable    bool
	deadline      time.Time
	attempts      int
	excludedCount int
	excluded      [MaxExcluded]string
	mayHaveRun    bool
	backoffs      *backoff.ExponentialBackOff
}

// NewRequest starts to follow a request; a zero Config stands for the
// defaults.
func NewRequest(cfg Config, repeatable bool, deadline time.Time) *Request {
	if cfg == (Config{}) {
		cfg = defaults
	}
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval, p.RandomizationFactor = cfg.InitialBackoff, cfg.MaxBackoff, jitter
	p.Reset()
	return &Request{cfg: cfg, repeatable: repeatable, deadline: deadline, backoffs: p}
}

// Next says what follows the attempt a, which ended at now. It takes from
// the budget only when it decides to retry.
func (r *Request) Next(a Attempt, b *Budget, now time.Time) Decision {
	if a.ExcludeUpstream != "" {
		r.excluded[r.excludedCount%MaxExcluded] = a.ExcludeUpstream
		r.excludedCount++
	}
	r.attempts++
	r.mayHaveRun = r.mayHaveRun || a.Outcome == outcome.Unknown
	d := Decision{Excluded: r.excluded, Outcome: r.overallOutcome(a.Outcome)}
	d.Backoff = r.nextBackoff(a)
	d.Reason = r.reason(a, d.Backoff, now)
	if d.Reason == RetryAllowed && !b.Take() {
		d.Reason = BudgetExhausted
	}
	d.Retry = d.Reason == RetryAllowed
	return d
}

// overallOutcome is the request's outcome over all attempts: one that may have run is
// not made "not run" by a later one that did not.
func (r *Request) overallOutcome(last outcome.Outcome) outcome.Outcome {
	if last == outcome.NotRun && r.mayHaveRun {
		return outcome.Unknown
	}
	return last
}

func (r *Request) nextBackoff(a Attempt) time.Duration {
	p := r.backoffs.NextBackOff()
	if a.TryOthers {
		return p
	}
	return max(p, a.RetryAfter)
}

func (r *Request) reason(a Attempt, pause time.Duration, now time.Time) Reason {
	switch {
	case a.Outcome == outcome.Completed:
		return Completed
	case !a.Outcome.MayRetry(r.repeatable):
		return NotRepeatable
	case r.attempts >= r.cfg.MaxAttempts:
		return AttemptsExhausted
	case now.Add(pause + r.cfg.MinRemaining).After(r.deadline):
		return DeadlineTooClose
	default:
		return RetryAllowed
	}
}
