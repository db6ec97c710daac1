package admit

import (
	"time"

	"peridotpier.example/core/class"
)

// Item is one request for a slot.
type Item struct {
	ID          uint64
	Team        string
	Weight      int // of the team; at least 1
	Class       class.Class
	Deadline    time.Time     // zero if there is none
	MinDuration time.Duration // minimum time it takes once it has a slot; 0 if not known
}

// Verdict is the decision on an arriving request.
type Verdict uint8

// The verdicts.
const (
	Refused Verdict = iota // the request has not run and will not run
	Admitted
	Queued
)

// Cause is the reason why a request was refused.
type Cause uint8

// The causes.
const (
	CauseNone                Cause = iota
	CauseNoCapacity                // the pool has no slots
	CauseBulkDisabled              // the preset does not accept bulk requests
	CauseQueueFull                 // the queue is full, and no other team has more of it
	CauseDeadlineUnreachable       // the request cannot be completed before its deadline
	CauseDisplaced                 // the queue is full, and the request's team had the most of it
)

// Refusal is the final result for one request: it has not run.
type Refusal struct {
	ID         uint64
	Cause      Cause
	RetryAfter time.Duration
}

// Result lists the effects of a change: the requests that now have a slot, and the
// requests that were refused.
type Result struct {
	Granted []uint64
	Refused []Refusal
}
