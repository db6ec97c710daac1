// Package health tracks the health of one upstream passively, from the answers
// that hosts receive from it or fail to receive. What the upstream reports about
// its own health is not used, since it may be wrong either way.
package health

import "time"

// Policy sets when an upstream is excluded and for how long.
type Policy struct {
	MaxConsecutiveFailures int           // failed exchanges in a row that exclude the upstream
	UnresponsiveAfter      time.Duration // time without a byte while requests are outstanding
	FirstExclusion         time.Duration // doubles with each further exclusion in a row
	MaxExclusion           time.Duration // longest exclusion
	ErrorRateMargin        float64       // by how much its failure share must exceed that of the service's other upstreams
	MinAnswers             int           // answers needed before the failure share is used
}

// DefaultPolicy suits upstreams a few milliseconds away whose first event may
// take some hundred milliseconds under load.
var DefaultPolicy = Policy{
	// Two, since a single reset may be a connection that was dropped while idle.
	MaxConsecutiveFailures: 2,
	// An engine that runs anything sends an event every 10 to 250 ms; the longest
	// gap is that of a full prompt chunk processed between two steps.
	UnresponsiveAfter: 700 * time.Millisecond,
	// Short at first, since a restarted upstream is back within seconds and a
	// probe costs one request.
	FirstExclusion:  400 * time.Millisecond,
	MaxExclusion:    2 * time.Second,
	ErrorRateMargin: 0.3,
	MinAnswers:      12,
}

// Status is how a host should treat an upstream: the state of a circuit breaker.
type Status uint8

// The statuses.
const (
	Up       Status = iota // closed: send requests
	Down                   // open: the upstream is excluded, send nothing
	HalfOpen               // the exclusion is over: send one probe request and wait for its result
)

// String returns the status's name in logs.
func (s Status) String() string { return [...]string{"up", "down", "trial"}[s] }

// cause is why an upstream is excluded.
type cause uint8

const (
	causeFailures   cause = iota // exchanges that failed
	causeSilence                 // nothing arrives
	causeErrorShare              // too high a share of failed answers
)

// Tracker holds the health record of one upstream. It does no locking; its owner
// must.
type Tracker struct {
	awaitingSince time.Time // since when bytes are due, from the first send or from the last bytes received; zero: none are due
	failures      int
	exclusions    int // exclusions in a row
	excludedUntil time.Time
	cause         cause   // of the present exclusion, or of the trial after it
	failedAnswers float64 // decaying count of failed answers
	answers       float64 // decaying count of answers
	failedSince   bool    // an answer has failed since the last exclusion
}

// answerDecay is the factor by which the weight of earlier answers shrinks with
// each new one: about the last twenty count.
const answerDecay = 0.95

// RecordSend records a request that was handed to the upstream.
func (r *Tracker) RecordSend(now time.Time) {
	if r.awaitingSince.IsZero() {
		r.awaitingSince = now
	}
}

// RecordBytes records bytes of any answer; outstanding is whether more are due.
// Bytes that arrive after an exclusion end it, and those that arrive during one for silence:
// the upstream is not silent any more. Other exclusions go on, and one for the share of failed
// answers lasts until EndShare.
func (r *Tracker) RecordBytes(now time.Time, outstanding bool) {
	r.failures = 0
	if r.cause != causeErrorShare && (r.cause == causeSilence || !now.Before(r.excludedUntil)) {
		r.endExclusion()
	}
	r.awaitingSince = time.Time{}
	if outstanding {
		r.awaitingSince = now
	}
}

// IsAwaitingBytes reports whether bytes are due and none have arrived since.
func (r *Tracker) IsAwaitingBytes() bool { return !r.awaitingSince.IsZero() }

// AwaitingSince returns since when bytes are due; zero: none are.
func (r *Tracker) AwaitingSince() time.Time { return r.awaitingSince }

// Forget drops failures and exclusions, which were not the upstream's; outstanding is
// whether bytes are due, which then are from now on.
func (r *Tracker) Forget(now time.Time, outstanding bool) {
	*r = Tracker{}
	if outstanding {
		r.awaitingSince = now
	}
}

// ClearOutstanding records that no request is outstanding any more.
func (r *Tracker) ClearOutstanding() { r.awaitingSince = time.Time{} }

// RecordAnswer records the end of an answer; failed is whether the upstream ran the
// request and failed it.
func (r *Tracker) RecordAnswer(failed bool) {
	r.answers = r.answers*answerDecay + 1
	r.failedAnswers *= answerDecay
	if failed {
		r.failedAnswers++
		r.failedSince = true
	}
}

// ErrorShare returns the decaying share of failed answers and the decaying count
// of answers that it is based on.
func (r *Tracker) ErrorShare() (share, answers float64) {
	if r.answers == 0 {
		return 0, 0
	}
	return r.failedAnswers / r.answers, r.answers
}

// RecordFailure records an exchange that was refused, reset, cut off or garbled.
// It reports whether the upstream is newly excluded because of it.
func (r *Tracker) RecordFailure(p Policy, now time.Time) bool {
	r.failures++
	if r.failures < p.MaxConsecutiveFailures && r.exclusions == 0 {
		return false
	}
	return r.exclude(p, now, causeFailures)
}

// Exclude excludes the upstream for a while. It reports whether the exclusion is
// new.
func (r *Tracker) Exclude(p Policy, now time.Time) bool { return r.exclude(p, now, causeFailures) }

// ExcludeFailing is Exclude for an upstream whose share of failed answers is too high. It needs
// an answer that has failed since the last exclusion: without one the share says nothing new,
// and would exclude the upstream again before a request could lower it. When the time is over,
// the upstream gets single requests until EndShare.
func (r *Tracker) ExcludeFailing(p Policy, now time.Time) bool {
	return r.failedSince && r.exclude(p, now, causeErrorShare)
}

// EndShare records that the share of failed answers is not too high any more.
func (r *Tracker) EndShare(now time.Time) {
	if r.cause == causeErrorShare && !now.Before(r.excludedUntil) {
		r.endExclusion()
	}
}

// ExcludeSilent is Exclude for an upstream from which nothing arrives.
func (r *Tracker) ExcludeSilent(p Policy, now time.Time) bool {
	return r.exclude(p, now, causeSilence)
}

func (r *Tracker) exclude(p Policy, now time.Time, why cause) bool {
	if now.Before(r.excludedUntil) {
		return false
	}
	exclusion := p.FirstExclusion << min(r.exclusions, 8)
	r.excludedUntil = now.Add(min(exclusion, p.MaxExclusion))
	r.exclusions++
	r.cause, r.failedSince = why, false
	r.awaitingSince = time.Time{}
	return true
}

func (r *Tracker) endExclusion() {
	r.excludedUntil, r.exclusions, r.cause = time.Time{}, 0, causeFailures
}

// IsUnresponsive reports whether bytes are due and none have arrived for longer
// than p.UnresponsiveAfter plus allow.
func (r *Tracker) IsUnresponsive(p Policy, now time.Time, allow time.Duration) bool {
	return r.IsAwaitingBytes() && now.After(r.UnresponsiveSince(p, allow))
}

// UnresponsiveSince returns since when IsUnresponsive holds, or when it will, while bytes are due.
func (r *Tracker) UnresponsiveSince(p Policy, allow time.Duration) time.Time {
	return r.awaitingSince.Add(p.UnresponsiveAfter + allow)
}

// Status returns how to treat the upstream at now.
func (r *Tracker) Status(now time.Time) Status {
	switch {
	case r.excludedUntil.IsZero():
		return Up
	case now.Before(r.excludedUntil):
		return Down
	default:
		return HalfOpen
	}
}
