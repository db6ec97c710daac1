package claim

import "time"

// Action is what to do with an arrival.
type Action uint8

// The actions.
const (
	Run            Action = iota // write New over the row that was judged, then run
	Replay                       // give the stored answer
	InProgress                   // another is at it; come back after Decision.After
	ResolveOutcome               // ask the upstream for the fate of Row.Route, apply Judge, decide again
	KeyReused                    // the key belongs to another body
	OwnClaim                     // the row is this arrival's own claim: its write took effect
)

// Decision is the answer of Decide.
type Decision struct {
	Action     Action
	RetryAfter time.Duration // for InProgress
}

// Decide says what an arrival gets, given the row seen under its key (nil:
// none). A row that must be taken over is only taken over as it was seen, so
// that of two arrivals which decide alike one wins.
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
		// The owner dispatches only after it wrote Dispatched over this very
		// row, which fails once the row is taken over.
		return Decision{Action: Run}
	default:
		return Decision{Action: ResolveOutcome}
	}
}

func expired(row *Row, now time.Time) bool { return now.UnixMilli() >= row.ExpiresMs }

// mayHaveRun says whether the row's attempt is out of sight: such a row is
// settled before its key is forgotten.
func (r Row) mayHaveRun() bool { return r.State == Dispatched || r.State == Unknown }

// AttemptState is what an upstream says of an attempt.
type AttemptState uint8

// The fates.
const (
	AttemptUnknown   AttemptState = iota // the upstream could not be asked, or does not know
	AttemptUnseen                        // never reached it, and refused from now on
	AttemptRefused                       // reached it and was refused before execution
	AttemptRunning                       // being executed
	AttemptCompleted                     // done; Report.Answer holds what it keeps of it
	AttemptCancelled                     // stopped halfway
)

// Report is an upstream's word on an attempt.
type Report struct {
	State       AttemptState
	Incarnation string // of the upstream that answers
	Answer      Answer
}

// ApplyReport applies an upstream's word to a row. Settled is false when the word
// settles nothing; the row then is the one given, but Unknown.
//
// "Unseen" from another incarnation settles nothing: a restarted upstream has
// no memory, and the attempt may have run before. One would notice a dispatch
// note packed twice after an engine's restart.
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

// ExpiryAction is what to do with a row that a sweeper meets.
type ExpiryAction uint8

// The answers of Sweepable.
const (
	Keep                ExpiryAction = iota
	Delete                           // delete it as it was seen
	ResolveBeforeDelete              // its attempt is out of sight: ask for its fate first
)

// DecideExpiry judges a row for the sweeper. A row whose attempt may have run is
// kept for a second lifetime when no fate can be learned.
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
