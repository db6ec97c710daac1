// Package balance picks the upstream for one attempt of a routed request.
// Filters remove the upstreams that must not receive it, a score predicts when
// each of the others would begin to answer, and the upstream with the lowest
// score is picked. The package does no I/O and has no clock; one pick works on
// one snapshot.
package balance

import "time"

// Endpoint is one upstream at the time of the snapshot. Its load figures cover
// the requests of all hosts, as far as this host knows them.
type Endpoint struct {
	ID                  string
	Address             string
	Software            string // version of its software; "": not known
	Slots               int
	SameDataCentre      bool          // it is in the data centre of the sending host
	RemoteMs            float64       // round trip between its data centre and the sending host's, if it is another; 0: not known
	HasIdleConn         bool          // the sending host has an idle connection to it
	Draining            bool          // it takes no new requests
	Down                bool          // it is excluded after failures or missing answers
	HalfOpen            bool          // it was down, and receives one probe request at a time
	ProbeInFlight       bool          // the probe request of a half-open endpoint has not ended
	Tried               bool          // it already received an attempt of this request
	ModelResident       bool          // the request's model is in the accelerator's memory
	AdapterResident     bool          // so is its adapter
	InFlight            int           // requests sent to it that have not ended
	PendingPromptTokens int           // prompt tokens sent to it that have produced no first event yet
	InFlightTokens      int           // prompt and expected answer tokens of all in-flight requests
	CachedTokens        int           // prompt tokens of this request that are probably in its cache
	WarmupRemaining     time.Duration // for how much longer it is slow after its start
	Slowdown            float64       // how long work takes there, as a multiple of the usual time of its service; 0: not known
	// LateStreams is how many responses are expected to be late if the request goes there:
	// streams that run there, since its prompt is read beside them, and its own stream
	// because of the prompts that follow.
	LateStreams float64
	// Backoff is how long nothing may be sent to it, because it asked for that or
	// because its limit is used up; 0 if a request may be sent now.
	Backoff time.Duration
}

// Request holds the properties of a request that a pick depends on.
type Request struct {
	Model        string // "" if any upstream of the service can answer
	Adapter      string // "" if it needs none
	Software     string // version of the software that began the stream; "" if any may answer
	PromptTokens int
	OutputTokens int // expected tokens of the answer
	CacheTokens  int // capacity of one upstream's token cache; 0 if it is not bounded
	// MaxPendingPromptTokens is how many prompt tokens may be waiting for prefill
	// at one upstream, this request's included, so that the streams there do not
	// pause for too long; 0 if they are not bounded.
	MaxPendingPromptTokens int
	// Usual are the usual times of the request's work at the upstreams of its service, if
	// these differ in speed: among equal ones the order does not depend on them.
	Usual  Times
	Waited time.Duration // since its host asked where it may be sent
	InTime time.Duration // from then until its objective; 0: not known, or over
}

// Reason is the result of checking one or all endpoints.
type Reason uint8

// The reasons. Hosts send each other these numbers; closeness orders them.
const (
	Found         Reason = iota
	NoUpstream           // the service has no upstream that may be used
	NoModel              // there are usable upstreams, but the model is not resident on any
	NoAdapter            // the model is resident, but not together with the adapter
	AllFull              // the upstreams that could answer have no capacity left
	AllPrefilling        // the upstreams that could answer are busy with the prompts of others
	AllBackoff           // the upstreams that could answer asked for a backoff, or are at their limits
)

// ReasonFromCode converts a reason received from another host. A code that only
// a later release knows is treated as AllFull.
func ReasonFromCode(n uint32) Reason {
	if n > uint32(AllBackoff) {
		return AllFull
	}
	return Reason(n)
}

// closeness ranks the reasons: the higher the rank, the fewer conditions are missing.
var closeness = [...]int{NoUpstream: 0, NoModel: 1, AllBackoff: 2, NoAdapter: 3, AllFull: 4, AllPrefilling: 5, Found: 6}

// CloserToFound reports whether fewer conditions are missing for r than for o.
func (r Reason) CloserToFound(o Reason) bool { return closeness[r] > closeness[o] }

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"found", "no_server", "no_model", "no_adapter", "all_full", "all_reading", "all_backoff"}[r]
}

// Decision is the result of a pick.
type Decision struct {
	Index         int // of the picked endpoint in the snapshot; -1 if there is none
	Reason        Reason
	PredictedWait time.Duration // predicted time until the first event
	// AdapterTarget is the index of the endpoint on which the adapter should be
	// loaded when Reason is NoAdapter; -1 if there is none.
	AdapterTarget int
	// MinBackoff is the shortest backoff of the endpoints that were skipped for theirs.
	MinBackoff time.Duration
}

// Pick chooses an endpoint for the request. random returns numbers in
// [0, 1), which only decide between endpoints of nearly equal scores, so that
// hosts with the same view choose different ones.
func Pick(endpoints []Endpoint, r *Request, random func() float64) Decision {
	best := Decision{Index: -1, Reason: NoUpstream, AdapterTarget: -1}
	lowest, lowestTarget, wait := 0.0, 0.0, 0.0
	mixed := runsSeveralVersions(endpoints)
	times := r.Usual.assumed()
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
		s := score(e, r, times) + random()*tieBreakMs
		streams := streamDelayMs(s, e, r)
		s += streams
		if mixed && isLastOfItsVersion(e, endpoints) {
			s += lastOfVersionMs
		}
		if reason == NoAdapter {
			if best.AdapterTarget < 0 || s < lowestTarget {
				best.AdapterTarget, lowestTarget = i, s
			}
			continue
		}
		if best.Index < 0 || s < lowest {
			best.Index, lowest, wait = i, s, s-streams
			best.Reason = Found
		}
	}
	if best.Index >= 0 {
		best.PredictedWait = time.Duration(wait * float64(time.Millisecond))
	}
	return best
}

// runsSeveralVersions reports whether endpoints run more than one version of their software.
func runsSeveralVersions(endpoints []Endpoint) bool {
	for i := range endpoints {
		if endpoints[i].Software != endpoints[0].Software {
			return true
		}
	}
	return false
}

// isLastOfItsVersion reports whether no other endpoint could go on with a stream that begins
// at e.
func isLastOfItsVersion(e *Endpoint, endpoints []Endpoint) bool {
	for i := range endpoints {
		o := &endpoints[i]
		if o != e && o.Software == e.Software && !o.Draining && !o.Down {
			return false
		}
	}
	return true
}

// MayGoOn reports whether an upstream with a version of its software may go on with a
// stream that a version began; "" if the stream has not begun.
func MayGoOn(software, began string) bool { return began == "" || software == began }

// Check returns the reason why an endpoint cannot take a request, or Found if it can.
func Check(e *Endpoint, r *Request) Reason {
	switch {
	case e.Draining, e.Tried, e.Down, e.HalfOpen && e.ProbeInFlight, !MayGoOn(e.Software, r.Software):
		return NoUpstream
	case r.Model != "" && !e.ModelResident:
		return NoModel
	case e.Backoff > 0: // checked before the adapter: no adapter is loaded on an endpoint in backoff
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
