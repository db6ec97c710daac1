package claim

import "time"

// Action is how to handle an arrival.
type Action uint8

// The actions.
const (
	Run            Action = iota // write New over the row that was read, then run the request
	Replay                       // return the stored answer
	InProgress                   // the request is being run already; retry after Decision.RetryAfter
	ResolveOutcome               // ask the upstream what became of the attempt in Row.Route, call ApplyReport, decide again
	KeyReused                    // the key was used with another request
	OwnClaim                     // the row is this arrival's own claim: its write took effect
)

// Decision is the result of Decide.
type Decision struct {
	Action     Action
	RetryAfter time.Duration // set for InProgress
}

// Decide returns how to handle an arrival, given the row read under its key; nil
// means that there is none. A row is replaced only if it is still the row that
// was read, so that one wins if two arrivals decide alike.
func Decide(row *Row, a Arrival, now time.Time) Decision {
	switch {
	case row == nil:
		return Decision{Action: Run}
	case row.ID == a.ID:
		return Decision{Action: OwnClaim}
	case expired(row, now) && !row.mayHaveRun():
		return Decision{Action: Run}
	case row.BodyHash != a.BodyHash:
		return Decision{Action: KeyReused}
	}
	wait := time.UnixMilli(row.OverdueMs).Sub(now)
	switch {
	case row.State == Completed:
		return Decision{Action: Replay}
	case row.State == NotRun:
		return Decision{Action: Run}
	case row.State == Unknown:
		return Decision{Action: ResolveOutcome}
	case wait > 0:
		return Decision{Action: InProgress, RetryAfter: wait}
	case row.State == Claimed:
		// The owner dispatches only after it wrote Dispatched over this very row,
		// and that write fails once the row has been replaced.
		return Decision{Action: Run}
	default:
		return Decision{Action: ResolveOutcome}
	}
}

func expired(row *Row, now time.Time) bool { return now.UnixMilli() >= row.ExpiresMs }

// mayHaveRun reports whether the attempt's outcome is not known. Such a claim is
// resolved before its key is forgotten.
func (r Row) mayHaveRun() bool { return r.State == Dispatched || r.State == Unknown }

// AttemptState is what an upstream reports about an attempt.
type AttemptState uint8

// The states of an attempt.
const (
	AttemptUnknown   AttemptState = iota // the upstream could not be asked, or does not know
	AttemptUnseen                        // never reached the upstream, which refuses it from now on
	AttemptRefused                       // reached the upstream and was refused before execution
	AttemptRunning                       // is being executed
	AttemptCompleted                     // completed; Report.Answer holds what the upstream keeps of the answer
	AttemptCancelled                     // stopped before its end
)

// Report is an upstream's report about an attempt.
type Report struct {
	State       AttemptState
	Incarnation string // of the upstream that sent the report
	Answer      Answer
}

// ApplyReport applies an upstream's report to a row. If the report does not
// resolve the attempt's outcome, resolved is false, and next is the row given,
// with state Unknown where its state allows that.
//
// AttemptUnseen from another incarnation resolves nothing: a restarted upstream
// has lost its memory of attempts, and this one may have run before the restart.
// Otherwise a request could run twice after an engine's restart.
func ApplyReport(row Row, rep Report) (next Row, resolved bool) {
	var err error
	switch rep.State {
	case AttemptCompleted:
		next, err = row.Complete(rep.Answer)
	case AttemptRefused:
		next, err = row.Release()
	case AttemptUnseen:
		if row.Route.Incarnation == "" || rep.Incarnation != row.Route.Incarnation {
			return markUnresolved(row), false
		}
		next, err = row.Release()
	default:
		return markUnresolved(row), false
	}
	return next, err == nil
}

func markUnresolved(row Row) Row {
	next, err := row.MarkUnknown()
	if err != nil {
		return row
	}
	return next
}

// ExpiryAction is what the sweeper should do with a row.
type ExpiryAction uint8

// The results of DecideExpiry.
const (
	Keep                ExpiryAction = iota
	Delete                           // delete the row if it has not changed since it was read
	ResolveBeforeDelete              // the attempt's outcome is not known: ask the upstream first
)

// DecideExpiry returns what the sweeper should do with a row. A row whose attempt
// may have run is kept for a second TTL if its outcome cannot be resolved.
func DecideExpiry(row Row, ttl time.Duration, now time.Time) ExpiryAction {
	switch {
	case !expired(&row, now):
		return Keep
	case !row.mayHaveRun() || now.UnixMilli() >= row.ExpiresMs+ttl.Milliseconds():
		return Delete
	default:
		return ResolveBeforeDelete
	}
}
