package load

import (
	"time"

	"peridotpier.example/core/outcome"
)

// Verdict is what the check of an answer's content found.
type Verdict string

// The verdicts.
const (
	VerdictNone       Verdict = ""        // no answer to check
	VerdictComplete   Verdict = "whole"   // all of it, and the caller's own
	VerdictTruncated  Verdict = "cut"     // ended early without a word
	VerdictMismatched Verdict = "crossed" // not the answer to this call
	VerdictAbandoned  Verdict = "left"    // still coming when the caller lost patience
)

// Try is one request on the wire; an invocation may need several.
type Try struct {
	EntryHost string
	Sent      time.Time
	Returned  time.Time
	Status    int
	Code      string
	Outcome   outcome.Outcome
	Lost      bool // the connection ended without a word on the outcome
	Resumed   bool // went on with a stream that had broken off
}

// Invocation is one call of a caller from its first try to its last word.
type Invocation struct {
	Arrival          Arrival
	Key              string // idempotency key; "" when none
	Intended         time.Time
	Started          time.Time
	Returned         time.Time
	Tries            []Try
	Status           int
	Code             string // of the error that it ended with
	Outcome          outcome.Outcome
	Verdict          Verdict
	Digest           uint64        // of the answer's text
	TimeToFirstToken time.Duration // to the first token, from Intended; 0: none came
	Total            time.Duration // to the last byte, from Intended
	Skipped          bool          // not sent: the generator was at its bound
	gaps             []time.Duration
}

// Lost says that the caller never got a word on what became of its call.
func (v *Invocation) Lost() bool {
	return !v.Skipped && v.Verdict == VerdictNone && v.lastTryLost()
}

// MetDeadline says that the answer came whole and within the class's deadline.
func (v *Invocation) MetDeadline() bool {
	return v.Verdict == VerdictComplete && v.Total <= v.Arrival.Source.Deadline
}

// AllTriesNotRun says that the caller was told "not run" on every one of its tries.
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

// lastTryLost says that the last try ended without a word on the outcome.
func (v *Invocation) lastTryLost() bool { return len(v.Tries) > 0 && v.Tries[len(v.Tries)-1].Lost }
