package poison

import "time"

// State is what is held of a request.
type State uint8

// The states.
const (
	Cleared   State = iota // nothing, by now
	Suspected              // an upstream ended while it ran there
	Barred                 // it ends upstreams
)

// String names the state in logs.
func (s State) String() string { return [...]string{"cleared", "suspected", "barred"}[s] }

// Entry is what is known of one request.
type Entry struct {
	Fingerprint
	State       State
	CrashCount  int       // upstreams that ended while it ran there, lately
	BarredUntil time.Time // of one that is barred: when the bar ends
	BarCount    int       // how often it was barred
}

// Cause says what changed what is held of a request.
type Cause uint8

// The causes.
const (
	ByCrashes       Cause = iota // upstreams ended under it
	ByReport                     // another ledger found out
	ByCompletion                 // it ran to its end
	ByExpiry                     // the bar was over
	ByOperator                   // an operator released it
	ByOtherSuspects              // others explain the crashes better
)

// String names the cause in logs.
func (c Cause) String() string {
	return [...]string{"crashes", "report", "completion", "time", "operator", "others"}[c]
}

// Transition is a bar that began, or one that ended.
type Transition struct {
	Entry
	Cause     Cause
	Upstreams []string // that ended while the request ran there
}
