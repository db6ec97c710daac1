package admit

import (
	"time"

	"peridotpier.example/core/class"
)

// Item is one request that asks for a slot.
type Item struct {
	ID          uint64
	Team        string
	Weight      int // of the team, 1 or more
	Class       class.Class
	Deadline    time.Time     // zero: none
	MinDuration time.Duration // least time it takes once it has a slot; 0: not known
}

// Verdict is the answer to an arrival.
type Verdict uint8

// The verdicts.
const (
	Refused Verdict = iota // not run, and never will
	Admitted
	Queued
)

// Cause says why a request was refused.
type Cause uint8

// The causes.
const (
	CauseNone                Cause = iota
	CauseNoCapacity                // the pool has no slots at all
	CauseBulkDisabled              // the preset takes no bulk
	CauseQueueFull                 // and no other team holds more of the queue
	CauseDeadlineUnreachable       // it could not be done in time
	CauseDisplaced                 // its team held most of a full queue
)

// Refusal is the final word on one request: it did not run.
type Refusal struct {
	ID         uint64
	Cause      Cause
	RetryAfter time.Duration
}

// Result is what a change set free: requests that now hold a slot, and
// requests given up.
type Result struct {
	Granted []uint64
	Refused []Refusal
}
