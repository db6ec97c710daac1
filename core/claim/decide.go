package claim

import "time"

// Action is what to do with an arrival.
type Action uint8

// The actions.
const (
	Run        Action = iota // write New over the row that was judged, then run
	Replay                   // give the stored answer
	InProgress               // another is at it; come back after Decision.After
	Settle                   // ask the upstream for the fate of Row.Route, apply Judge, decide again
	Reused                   // the key belongs to another body
	Own                      // the row is this arrival's own claim: its write took effect
)

// Decision is the answer of Decide.
type Decision struct {
	Action Action
	After  time.Duration // for InProgress
}

// Decide says what an arrival gets, given the row seen under its key (nil:
// none). A row that must be taken over is only taken over as it was seen, so
// that of two arrivals which decide alike one wins.
func Decide(row *Row, a Arrival, now time.Time) Decision {
	switch {
	case row == nil:
		return Decision{Action: Run}
	case row.ID == a.ID:
		return Decision{Action: Own}
	case expired(row, now) && !row.mayHaveRun():
		return Decision{Action: Run}
	case row.Body != a.Body:
		return Decision{Action: Reused}
	}
	wait := time.UnixMilli(row.Overdue).Sub(now)
	switch {
	case row.State == Completed:
		return Decision{Action: Replay}
	case row.State == NotRun:
		return Decision{Action: Run}
	case row.State == Unknown:
		return Decision{Action: Settle}
	case wait > 0:
		return Decision{Action: InProgress, After: wait}
	case row.State == Claimed:
		// The owner dispatches only after it wrote Dispatched over this very
		// row, which fails once the row is taken over.
		return Decision{Action: Run}
	default:
		return Decision{Action: Settle}
	}
}

func expired(row *Row, now time.Time) bool { return now.UnixMilli() >= row.Expires }

// mayHaveRun says whether the row's attempt is out of sight: such a row is
// settled before its key is forgotten.
func (r Row) mayHaveRun() bool { return r.State == Dispatched || r.State == Unknown }

// Fate is what an upstream says of an attempt.
type Fate uint8

// The fates.
const (
	FateUntold    Fate = iota // the upstream could not be asked, or does not know
	FateUnseen                // never reached it, and refused from now on
	FateRefused               // reached it and was refused before execution
	FateRunning               // being executed
	FateCompleted             // done; Report.Answer holds what it keeps of it
	FateCancelled             // stopped halfway
)

// Report is an upstream's word on an attempt.
type Report struct {
	Fate        Fate
	Incarnation string // of the upstream that answers
	Answer      Answer
}

// Judge applies an upstream's word to a row. Settled is false when the word
// settles nothing; the row then is the one given, but Unknown.
//
// "Unseen" from another incarnation settles nothing: a restarted upstream has
// no memory, and the attempt may have run before. One would notice a dispatch
// note packed twice after an engine's restart.
func Judge(row Row, rep Report) (next Row, settled bool) {
	var err error
	switch rep.Fate {
	case FateCompleted:
		next, err = row.Complete(rep.Answer)
	case FateRefused:
		next, err = row.Release()
	case FateUnseen:
		if row.Route.Incarnation == "" || rep.Incarnation != row.Route.Incarnation {
			return lost(row), false
		}
		next, err = row.Release()
	default:
		return lost(row), false
	}
	return next, err == nil
}

func lost(row Row) Row {
	next, err := row.Lose()
	if err != nil {
		return row
	}
	return next
}

// Sweep is what to do with a row that a sweeper meets.
type Sweep uint8

// The answers of Sweepable.
const (
	Keep        Sweep = iota
	Forget            // delete it as it was seen
	SettleFirst       // its attempt is out of sight: ask for its fate first
)

// Sweepable judges a row for the sweeper. A row whose attempt may have run is
// kept for a second lifetime when no fate can be learned.
func Sweepable(row Row, ttl time.Duration, now time.Time) Sweep {
	switch {
	case !expired(&row, now):
		return Keep
	case !row.mayHaveRun() || now.UnixMilli() >= row.Expires+ttl.Milliseconds():
		return Forget
	default:
		return SettleFirst
	}
}
