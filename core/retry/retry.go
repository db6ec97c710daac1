// Package retry decides in one place whether another attempt follows one that ended, when,
// and which upstreams it must avoid.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotpier.example/core/outcome"
)

// Config limits the attempts of a request.
type Config struct {
	MaxAttempts    int           // including the first
	InitialBackoff time.Duration // mean backoff before the second attempt
	MaxBackoff     time.Duration // longest mean backoff
	MinRemaining   time.Duration // no attempt is started with less time left than this
}

// defaults suit upstreams a few milliseconds away. By the fourth attempt a request has
// tried four upstreams, and more attempts would only spread an overload.
var defaults = Config{MaxAttempts: 4, InitialBackoff: 5 * time.Millisecond, MaxBackoff: 200 * time.Millisecond, MinRemaining: 10 * time.Millisecond}

// jitter varies each backoff between half and one and a half times its mean, so that
// requests which failed together do not return together.
const jitter = 0.5

// MaxExcluded is how many upstreams a request remembers not to try again. It is the size
// of route.Request.Excluded.
const MaxExcluded = 4

// Reason is the reason why the attempts of a request continue or end.
type Reason uint8

// The reasons.
const (
	RetryAllowed      Reason = iota
	Completed                // the last attempt completed
	NotRepeatable            // an attempt may have run, and the request must not run twice
	AttemptsExhausted        // the maximum of attempts was made
	DeadlineTooClose         // another attempt would pass the deadline
	BudgetExhausted          // retries already have their share of the traffic
)

// Decision is the decision whether to retry. If Retry is false, Outcome is the outcome to
// report to the caller.
type Decision struct {
	Retry    bool
	Reason   Reason
	Backoff  time.Duration
	Excluded [MaxExcluded]string
	Outcome  outcome.Outcome
}

// Attempt is the result of an attempt.
type Attempt struct {
	Outcome         outcome.Outcome
	ExcludeUpstream string        // the upstream not to try again; "" if it did not refuse
	RetryAfter      time.Duration // requested by the upstream; 0 if it requested nothing
	// TryOthers is whether another upstream may be tried at once, regardless of
	// RetryAfter: only this upstream is full, draining or unreachable.
	TryOthers bool
}

// Request tracks the attempts of one request. It must be used by one goroutine only.
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

// NewRequest returns a Request without attempts. A zero Config stands for the defaults.
func NewRequest(cfg Config, repeatable bool, deadline time.Time) *Request {
	if cfg == (Config{}) {
		cfg = defaults
	}
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval, p.RandomizationFactor = cfg.InitialBackoff, cfg.MaxBackoff, jitter
	p.Reset()
	return &Request{cfg: cfg, repeatable: repeatable, deadline: deadline, backoffs: p}
}

// Next decides what follows the attempt a, which ended at now. It takes from the budget
// only when it decides to retry.
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

// overallOutcome returns the request's outcome over all attempts. If any attempt may have
// run, a later attempt that did not run does not make the outcome "not run".
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

func (r *Request) reason(a Attempt, backoff time.Duration, now time.Time) Reason {
	switch {
	case a.Outcome == outcome.Completed:
		return Completed
	case !a.Outcome.MayRetry(r.repeatable):
		return NotRepeatable
	case r.attempts >= r.cfg.MaxAttempts:
		return AttemptsExhausted
	case now.Add(backoff + r.cfg.MinRemaining).After(r.deadline):
		return DeadlineTooClose
	default:
		return RetryAllowed
	}
}
