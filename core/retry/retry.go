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
	Attempts    int           // most attempts of one request, the first included
	First       time.Duration // mean pause before the second attempt
	Most        time.Duration // longest mean pause
	MinimalWork time.Duration // an attempt with less time left than this is not worth starting
}

// defaults suit upstreams a few milliseconds away: by the fourth attempt
// a request has tried four upstreams, and more would only spread an overload.
var defaults = Config{Attempts: 4, First: 5 * time.Millisecond, Most: 200 * time.Millisecond, MinimalWork: 10 * time.Millisecond}

// jitter spreads pauses over half to one and a half of their mean, so that
// requests which failed together do not come back together.
const jitter = 0.5

// Avoided is how many upstreams a request remembers not to go back to; it is
// the size of route.Request.Avoid.
const Avoided = 4

// Reason says why an exchange of attempts goes on or ends.
type Reason uint8

// The reasons.
const (
	Again        Reason = iota
	Done                // the last attempt completed
	MayNotRepeat        // it may have run, and may not run twice
	NoAttempts          // as many attempts as allowed were made
	NoTime              // the deadline would pass
	NoBudget            // retries already are their share of the traffic
)

// Decision says whether to try again. When Retry is false, Outcome is what
// the caller must be told.
type Decision struct {
	Retry   bool
	Reason  Reason
	Pause   time.Duration
	Avoid   [Avoided]string
	Outcome outcome.Outcome
}

// Attempt is how an attempt ended.
type Attempt struct {
	Outcome    outcome.Outcome
	Upstream   string        // not to go back to; "" when it did not refuse
	RetryAfter time.Duration // asked for by the upstream; 0: nothing asked
	// Elsewhere tells that another upstream may be tried at once, whatever
	// this one asked for: it alone is full, leaving or unreachable.
	Elsewhere bool
}

// Request follows the attempts of one request. It belongs to one goroutine.
type Request struct {
	cfg        Config
	repeatable bool
	deadline   time.Time
	attempts   int
	avoided    int
	avoid      [Avoided]string
	mayHaveRun bool
	pauses     *backoff.ExponentialBackOff
}

// NewRequest starts to follow a request; a zero Config stands for the
// defaults.
func NewRequest(cfg Config, repeatable bool, deadline time.Time) *Request {
	if cfg == (Config{}) {
		cfg = defaults
	}
	p := backoff.NewExponentialBackOff()
	p.InitialInterval, p.MaxInterval, p.RandomizationFactor = cfg.First, cfg.Most, jitter
	p.Reset()
	return &Request{cfg: cfg, repeatable: repeatable, deadline: deadline, pauses: p}
}

// After says what follows the attempt a, which ended at now. It takes from
// the budget only when it decides to retry.
func (r *Request) After(a Attempt, b *Budget, now time.Time) Decision {
	if a.Upstream != "" {
		r.avoid[r.avoided%Avoided] = a.Upstream
		r.avoided++
	}
	r.attempts++
	r.mayHaveRun = r.mayHaveRun || a.Outcome == outcome.Unknown
	d := Decision{Avoid: r.avoid, Outcome: r.told(a.Outcome)}
	d.Pause = r.pause(a)
	d.Reason = r.reason(a, d.Pause, now)
	if d.Reason == Again && !b.Take() {
		d.Reason = NoBudget
	}
	d.Retry = d.Reason == Again
	return d
}

// told is the request's outcome over all attempts: one that may have run is
// not made "not run" by a later one that did not.
func (r *Request) told(last outcome.Outcome) outcome.Outcome {
	if last == outcome.NotRun && r.mayHaveRun {
		return outcome.Unknown
	}
	return last
}

func (r *Request) pause(a Attempt) time.Duration {
	p := r.pauses.NextBackOff()
	if a.Elsewhere {
		return p
	}
	return max(p, a.RetryAfter)
}

func (r *Request) reason(a Attempt, pause time.Duration, now time.Time) Reason {
	switch {
	case a.Outcome == outcome.Completed:
		return Done
	case !a.Outcome.MayRetry(r.repeatable):
		return MayNotRepeat
	case r.attempts >= r.cfg.Attempts:
		return NoAttempts
	case now.Add(pause + r.cfg.MinimalWork).After(r.deadline):
		return NoTime
	default:
		return Again
	}
}
