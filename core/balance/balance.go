// Package balance picks the upstream for one attempt of a routed request:
// filters drop those that must not get it, a score predicts when each of the
// rest would begin to answer, and the lowest wins. It does no I/O and has no
// clock; one pick sees one snapshot.
package balance

import "time"

// Endpoint is one upstream at the time of the snapshot. Loads are of all hosts
// together as far as this host knows them.
type Endpoint struct {
	ID                  string
	Address             string
	Slots               int
	SameDataCentre      bool // in this host's data centre
	HasIdleConn         bool // the sending host has an idle connection to it
	Draining            bool
	Down                bool // its answers, or their absence, speak against it
	HalfOpen            bool // was down; one request at a time is let through
	ProbeInFlight       bool // that one request is out
	Tried               bool // had an attempt of this request
	ModelResident       bool
	AdapterResident     bool
	ExecutingOrder      bool          // carries out an order
	InFlight            int           // sent and not ended
	PendingPromptTokens int           // prompt tokens sent whose first event has not come
	InFlightTokens      int           // prompt and expected answer of all requests there
	CachedTokens        int           // prompt tokens of this request that it probably keeps
	WarmupRemaining     time.Duration // slow for this much longer after its start
	// Backoff is for how long it asked to be sent nothing more, or what it takes is
	// used up; 0: it takes a request now.
	Backoff time.Duration
}

// Request is what picking needs to know of a request.
type Request struct {
	Model        string // "": any upstream of the service answers
	Adapter      string // "": none
	PromptTokens int    // tokens
	OutputTokens int    // tokens to expect
	CacheTokens  int    // that one upstream has room for; 0: not bounded
	// Reading is how many prompt tokens may wait to be read at an upstream
	// beside others, so that streams there keep their pace; 0: not bounded.
	MaxPendingPromptTokens int
}

// Reason says why no endpoint was found.
type Reason uint8

// The reasons. Hosts tell each other their numbers; nearness orders them.
const (
	Found         Reason = iota
	NoUpstream           // the service has no upstream that may be used
	NoModel              // usable ones exist; none holds the model
	NoAdapter            // holders exist; none has the adapter
	AllFull              // those that could answer have no room
	AllPrefilling        // those that could answer read prompts of others just now
	AllBackoff           // those that could answer asked to be sent nothing for now
)

// ReasonFromCode reads a reason that another host told; one of a later release counts as
// no room.
func ReasonFromCode(n uint32) Reason {
	if n > uint32(AllBackoff) {
		return AllFull
	}
	return Reason(n)
}

// closeness orders the reasons: the higher, the less is missing.
var closeness = [...]int{NoUpstream: 0, NoModel: 1, AllBackoff: 2, NoAdapter: 3, AllFull: 4, AllPrefilling: 5, Found: 6}

// CloserToFound says whether less is missing than for another reason.
func (r Reason) CloserToFound(o Reason) bool { return closeness[r] > closeness[o] }

// String names the reason in logs.
func (r Reason) String() string {
	return [...]string{"found", "no_server", "no_model", "no_adapter", "all_full", "all_reading", "all_backoff"}[r]
}

// Decision is the result of a pick.
type Decision struct {
	Index         int // in the snapshot; -1: none
	Reason        Reason
	PredictedWait time.Duration // until the first event
	// Home is where an adapter should be loaded when Reason is NoAdapter; -1: nowhere.
	AdapterTarget int
	// Backoff is the shortest of those that were passed over for theirs.
	MinBackoff time.Duration
}

// Pick chooses an endpoint for the request. Draw gives random numbers in
// [0, 1); they only part equals, so that hosts with the same view spread.
func Pick(endpoints []Endpoint, r *Request, draw func() float64) Decision {
	best := Decision{Index: -1, Reason: NoUpstream, AdapterTarget: -1}
	lowest, lowestHome := 0.0, 0.0
	for i := range endpoints {
		e := &endpoints[i]
		reason := Check(e, r)
		if best.Index < 0 && reason.CloserToFound(best.Reason) {
			best.Reason = reason
		}
		if reason == AllBackoff && (best.MinBackoff == 0 || e.Backoff < best.MinBackoff) {
			best.MinBackoff = e.Backoff
		}
		if reason != Found && reason != NoAdapter {
			continue
		}
		s := score(e, r) + draw()*tieBreakMs
		if reason == NoAdapter {
			if best.AdapterTarget < 0 || s < lowestHome {
				best.AdapterTarget, lowestHome = i, s
			}
			continue
		}
		if best.Index < 0 || s < lowest {
			best.Index, lowest = i, s
			best.Reason = Found
		}
	}
	if best.Index >= 0 {
		best.PredictedWait = time.Duration(lowest * float64(time.Millisecond))
	}
	return best
}

// Check says what keeps a request from an endpoint; Found: nothing does.
func Check(e *Endpoint, r *Request) Reason {
	switch {
	case e.Draining, e.Tried, e.Down, e.HalfOpen && e.ProbeInFlight:
		return NoUpstream
	case r.Model != "" && !e.ModelResident:
		return NoModel
	case e.Backoff > 0: // before what would be loaded there
		return AllBackoff
	case r.Adapter != "" && !e.AdapterResident:
		return NoAdapter
	case isFull(e, r):
		return AllFull
	case prefillSaturated(e, r):
		return AllPrefilling
	}
	return Found
}
