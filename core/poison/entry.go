package poison

import "time"

// State is the state of a request in a Ledger.
type State uint8

// The states.
const (
	Cleared   State = iota // no longer suspected
	Suspected              // an upstream crashed while the request ran there
	Barred                 // it is considered to crash upstreams, and refused
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"cleared", "suspected", "barred"}[s] }

// Entry is what a Ledger knows of one request.
type Entry struct {
	Fingerprint
	State       State
	CrashCount  int       // recent crashes of upstreams on which it ran
	BarredUntil time.Time // when the bar ends, if the request is barred
	BarCount    int       // how often it has been barred
}

// IsHeavy reports whether the entry is a part of prompts that ran at so many upstreams which
// crashed, and was not answered since, that chance does not explain it.
func (e *Entry) IsHeavy() bool {
	return e.IsPart() && e.State == Suspected && e.CrashCount >= DefaultPolicy.MinBlindPartCrashes
}

// Cause is the cause of a transition.
type Cause uint8

// The causes.
const (
	ByCrashes       Cause = iota // upstreams crashed while running the request
	ByReport                     // another ledger barred it
	ByCompletion                 // it ran to completion
	ByExpiry                     // the bar expired
	ByOperator                   // an operator released it
	ByOtherSuspects              // other requests explain its crashes better
)

// String returns the cause's name in logs.
func (c Cause) String() string {
	return [...]string{"crashes", "report", "completion", "time", "operator", "others"}[c]
}

// Transition is the beginning or the end of a bar.
type Transition struct {
	Entry
	Cause     Cause
	Upstreams []string // that crashed while the request ran there
}
