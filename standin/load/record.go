package load

import (
	"time"

	"peridotpier.example/core/outcome"
)

// Verdict is the result of the check of an answer.
type Verdict string

// Verdicts of the check.
const (
	VerdictNone       Verdict = ""        // no answer to check
	VerdictComplete   Verdict = "whole"   // complete, and the answer to this call
	VerdictTruncated  Verdict = "cut"     // ended early without an error
	VerdictMismatched Verdict = "crossed" // not the answer to this call
	VerdictAbandoned  Verdict = "left"    // the caller gave up while tokens were still coming
)

// Try is one request on the wire; an invocation may need several.
type Try struct {
	EntryHost string
	Sent      time.Time
	Returned  time.Time
	Status    int
	Code      string
	Outcome   outcome.Outcome
	Lost      bool // the connection ended without an outcome
	Resumed   bool // continued a stream that had broken off
}

// Invocation is one call of a caller, from its first try to its final outcome.
type Invocation struct {
	Arrival          Arrival
	Key              string // idempotency key; "": none
	Intended         time.Time
	Started          time.Time
	Returned         time.Time
	Tries            []Try
	Status           int
	Code             string // of the error with which it ended
	Outcome          outcome.Outcome
	Verdict          Verdict
	Digest           uint64        // of the text of the answer
	TimeToFirstToken time.Duration // from Intended; 0: no token came
	Total            time.Duration // from Intended to the last byte
	Skipped          bool          // not sent, because the generator was at its maximum of calls in flight
	gaps             []time.Duration
}

// Lost reports whether the caller never received an outcome of its call.
func (v *Invocation) Lost() bool {
	return !v.Skipped && v.Verdict == VerdictNone && v.lastTryLost()
}

// MetDeadline reports whether the answer came complete and within the deadline.
func (v *Invocation) MetDeadline() bool {
	return v.Verdict == VerdictComplete && v.Total <= v.Arrival.Source.Deadline
}

// AllTriesNotRun reports whether every try was answered with "not run".
func (v *Invocation) AllTriesNotRun() bool {
	for _, t := range v.Tries {
		if t.Outcome != outcome.NotRun {
			return false
		}
	}
	return len(v.Tries) > 0
}

// ending names how an invocation ended, for counts.
func (v *Invocation) ending() string {
	switch {
	case v.Skipped:
		return "skipped"
	case v.Verdict == VerdictComplete:
		return "late"
	case v.Verdict != VerdictNone:
		return string(v.Verdict)
	case v.Lost():
		return "lost"
	default:
		return v.Code
	}
}

// lastTryLost reports whether the last try ended without an outcome.
func (v *Invocation) lastTryLost() bool { return len(v.Tries) > 0 && v.Tries[len(v.Tries)-1].Lost }
