// Package outcome holds what can be said about the execution of a request or
// of one attempt at it, and what may follow from each.
package outcome

// Outcome says whether a request ran.
type Outcome uint8

// The outcomes. The zero value is Unknown: an outcome that nobody set must
// never be read as "not run", since a retry would then run the request twice.
const (
	Unknown   Outcome = iota // may have run, in part or in whole
	NotRun                   // certainly did not run and never will
	Completed                // ran, and its whole answer is at hand
)

// String returns the outcome as it stands in error bodies and reports.
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

// MarshalText writes the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the outcome's name; any other text is Unknown.
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

// MayRetry says whether another attempt may be dispatched after one that
// ended with o. A repeatable request may follow anything but completion; any
// other may follow only an attempt that certainly did not run.
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
