// Package outcome holds what is known about the execution of a request or of one
// attempt at it, and whether it may be retried.
package outcome

// Outcome is what is known about whether a request ran.
type Outcome uint8

// The outcomes. The zero value is Unknown: an outcome that was never set must
// not be read as NotRun, since a retry would then run the request twice.
const (
	Unknown   Outcome = iota // may have run, in part or completely
	NotRun                   // certainly did not run and never will
	Completed                // ran, and its complete answer is available
)

// String returns the outcome as written in error bodies and reports.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText sets o from its name; any other text sets Unknown.
func (o *Outcome) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*o = NotRun
	case "completed":
		*o = Completed
	default:
		*o = Unknown
	}
	return nil
}

// MayRetry reports whether another attempt may be dispatched after one that ended
// with o. A repeatable request may be retried unless it completed; any other only
// after an attempt that certainly did not run.
func (o Outcome) MayRetry(repeatable bool) bool {
	switch o {
	case NotRun:
		return true
	case Completed:
		return false
	default:
		return repeatable
	}
}
