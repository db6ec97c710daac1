// Package health judges one upstream by what its answers, or their absence,
// show to the hosts that send to it. Its own word about its health is not
// heard: it may be false either way.
package health

import "time"

// Policy says when an upstream is left alone and for how long.
type Policy struct {
	MaxConsecutiveFailures int           // failed exchanges in a row
	UnresponsiveAfter      time.Duration // with requests outstanding and nothing heard
	FirstExclusion         time.Duration
	MaxExclusion           time.Duration
	ErrorRateMargin        float64 // of its answers, beyond what the service's others have
	MinAnswers             int     // answers that the rate is taken over, at least
}

// DefaultPolicy suits upstreams a few milliseconds away whose first event may take
// some hundred milliseconds under load.
var DefaultPolicy = Policy{
	// Two: a single reset may be a connection that was dropped while idle.
	MaxConsecutiveFailures: 2,
	// An engine that runs anything makes an event every 10 to 250 ms, the
	// longest for a full piece of prompt between two steps.
	UnresponsiveAfter: 700 * time.Millisecond,
	// Short at first, since a restarted upstream is back within seconds, and
	// a trial costs one request.
	FirstExclusion:  400 * time.Millisecond,
	MaxExclusion:    2 * time.Second,
	ErrorRateMargin: 0.3,
	MinAnswers:      12,
}

// Status is what a host should do with an upstream.
type Status uint8

// The standings.
const (
	Up    Status = iota
	Down         // send nothing
	Trial        // send one request and see
)

// String names the standing in logs.
func (s Status) String() string { return [...]string{"up", "down", "trial"}[s] }

// Tracker is what is known of one upstream. Its owner guards it.
type Tracker struct {
	lastReceived  time.Time // anything came from it
	awaitingSince time.Time // the oldest send since it was heard; zero: none
	failures      int
	exclusions    int // in a row
	excludedUntil time.Time
	failedAnswers float64 // decaying share of failures among answers
	answers       float64 // decaying count of answers
}

// answerDecay is the weight that older answers keep with each new one: about the
// last twenty count.
const answerDecay = 0.95

// RecordSend notes a request that was handed to the upstream.
func (r *Tracker) RecordSend(now time.Time) {
	if r.awaitingSince.IsZero() {
		r.awaitingSince = now
	}
}

// RecordBytes notes bytes of any answer; outstanding says whether more is due.
func (r *Tracker) RecordBytes(now time.Time, outstanding bool) {
	r.lastReceived, r.failures = now, 0
	if r.excludedUntil.IsZero() || now.Before(r.excludedUntil) {
		r.awaitingSince = time.Time{}
		if outstanding {
			r.awaitingSince = now
		}
		return
	}
	r.excludedUntil, r.exclusions = time.Time{}, 0
	r.awaitingSince = time.Time{}
	if outstanding {
		r.awaitingSince = now
	}
}

// IsAwaitingBytes says that a request was sent since anything was heard.
func (r *Tracker) IsAwaitingBytes() bool { return !r.awaitingSince.IsZero() }

// ClearOutstanding notes that nothing is outstanding any more.
func (r *Tracker) ClearOutstanding() { r.awaitingSince = time.Time{} }

// RecordAnswer notes the end of an answer; failed says that the upstream ran the
// request and failed it.
func (r *Tracker) RecordAnswer(failed bool) {
	r.answers = r.answers*answerDecay + 1
	r.failedAnswers *= answerDecay
	if failed {
		r.failedAnswers++
	}
}

// ErrorShare is the decaying share of failures and how many answers it stands on.
func (r *Tracker) ErrorShare() (share, answers float64) {
	if r.answers == 0 {
		return 0, 0
	}
	return r.failedAnswers / r.answers, r.answers
}

// RecordFailure notes an exchange that broke: refused, reset, cut or garbled. It says
// whether the upstream is to be left alone from now on.
func (r *Tracker) RecordFailure(p Policy, now time.Time) bool {
	r.failures++
	if r.failures < p.MaxConsecutiveFailures && r.exclusions == 0 {
		return false
	}
	return r.exclude(p, now)
}

// Exclude leaves the upstream alone for a while. It says whether that is news.
func (r *Tracker) Exclude(p Policy, now time.Time) bool { return r.exclude(p, now) }

func (r *Tracker) exclude(p Policy, now time.Time) bool {
	if now.Before(r.excludedUntil) {
		return false
	}
	exclusion := p.FirstExclusion << min(r.exclusions, 8)
	r.excludedUntil = now.Add(min(exclusion, p.MaxExclusion))
	r.exclusions++
	r.awaitingSince = time.Time{}
	return true
}

// IsUnresponsive says that requests are outstanding and nothing was heard for too long.
func (r *Tracker) IsUnresponsive(p Policy, now time.Time, allow time.Duration) bool {
	return !r.awaitingSince.IsZero() && now.Sub(r.awaitingSince) > p.UnresponsiveAfter+allow
}

// Status says what to do with the upstream now.
func (r *Tracker) Status(now time.Time) Status {
	switch {
	case r.excludedUntil.IsZero():
		return Up
	case now.Before(r.excludedUntil):
		return Down
	default:
		return Trial
	}
}
