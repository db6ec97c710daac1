// Package balance picks the upstream for one attempt of a routed request:
// filters drop those that must not get it, a score predicts when each of the
// rest would begin to answer, and the lowest wins. It does no I/O and has no
// clock; one pick sees one snapshot.
package balance

import "time"

// Endpoint is one upstream at the time of the snapshot. Loads are of all hosts
// together as far as this host knows them.
type Endpoint struct {
	ID           string
	Address      string
	Slots        int
	Near         bool // in this host's data centre
	Warm         bool // the sending host has an idle connection to it
	Leaving      bool
	Down         bool // its answers, or their absence, speak against it
	Trial        bool // was down; one request at a time is let through
	Trying       bool // that one request is out
	Tried        bool // had an attempt of this request
	HoldsModel   bool
	HoldsAdapter bool
	Busy         bool          // carries out an order
	Requests     int           // sent and not ended
	Waiting      int           // prompt tokens sent whose first event has not come
	Tokens       int           // prompt and expected answer of all requests there
	Cached       int           // prompt tokens of this request that it probably keeps
	Cold         time.Duration // slow for this much longer after its start
}

// Request is what picking needs to know of a request.
type Request struct {
	Model       string // "": any upstream of the service answers
	Adapter     string // "": none
	Prompt      int    // tokens
	Output      int    // tokens to expect
	CacheTokens int    // that one upstream has room for; 0: not bounded
	// Reading is how many prompt tokens may wait to be read at an upstream
	// beside others, so that streams there keep their pace; 0: not bounded.
	Reading int
}

// Reason says why no endpoint was found.
type Reason uint8

// The reasons, in the order of what would help most.
const (
	Found      Reason = iota
	NoServer          // the service has no upstream that may be used
	NoModel           // usable ones exist; none holds the model
	NoAdapter         // holders exist; none has the adapter
	AllFull           // those that could answer have no room
	AllReading        // those that could answer read prompts of others just now
)

// String names the reason in logs.
func (r Reason) String() string {
	return [...]string{"found", "no_server", "no_model", "no_adapter", "all_full", "all_reading"}[r]
}

// Decision is the result of a pick.
type Decision struct {
	Index     int // in the snapshot; -1: none
	Reason    Reason
	Predicted time.Duration // until the first event
	// Home is where an adapter should be loaded when Reason is NoAdapter; -1: nowhere.
	Home int
}

// Pick chooses an endpoint for the request. Draw gives random numbers in
// [0, 1); they only part equals, so that hosts with the same view spread.
func Pick(endpoints []Endpoint, r *Request, draw func() float64) Decision {
	best := Decision{Index: -1, Reason: NoServer, Home: -1}
	lowest, lowestHome := 0.0, 0.0
	for i := range endpoints {
		e := &endpoints[i]
		reason := check(e, r)
		if reason > best.Reason && best.Index < 0 {
			best.Reason = reason
		}
		if reason != Found && reason != NoAdapter {
			continue
		}
		s := score(e, r) + draw()*drawMs
		if reason == NoAdapter {
			if best.Home < 0 || s < lowestHome {
				best.Home, lowestHome = i, s
			}
			continue
		}
		if best.Index < 0 || s < lowest {
			best.Index, lowest = i, s
			best.Reason = Found
		}
	}
	if best.Index >= 0 {
		best.Predicted = time.Duration(lowest * float64(time.Millisecond))
	}
	return best
}

// check runs the filters; the reasons are in the order in which they are met.
func check(e *Endpoint, r *Request) Reason {
	switch {
	case e.Leaving, e.Tried, e.Down, e.Trial && e.Trying:
		return NoServer
	case r.Model != "" && !e.HoldsModel:
		return NoModel
	case r.Adapter != "" && !e.HoldsAdapter:
		return NoAdapter
	case full(e, r):
		return AllFull
	case reading(e, r):
		return AllReading
	}
	return Found
}
