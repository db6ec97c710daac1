// Package route picks the upstream for one attempt from an immutable snapshot of the
// endpoints: filters remove those that must not be used, scorers rate the others, and a
// picker chooses one. It does no I/O and has no clock.
package route

import (
	"time"

	"peridotpier.example/core/class"
)

// ModelKey identifies a model, or an adapter together with its base model.
type ModelKey struct {
	Model   string
	Adapter string // "" for the base model
}

// Endpoint is one upstream as a host knows it at the time of the snapshot.
type Endpoint struct {
	// The fields that the filters read come first, so that they share one cache line.
	Draining                  bool
	Down                      bool // connections to it fail or are unresponsive
	MaxBatch                  int
	Running                   int // as of the newest report
	Waiting                   int
	DispatchedSinceReport     int // attempts that this host dispatched since that report was taken
	PeerDispatchedSinceReport int // the same for the other hosts, as reported by peers
	CompletedSinceReport      int // this host's attempts that ended there since that report was taken
	InFlight                  int // this host's attempts in flight there now

	Upstream         string
	Address          string
	Pool             string
	DataCentre       string
	Incarnation      string
	Accelerators     int
	Ready            map[ModelKey]bool // what it can answer now; nil for plain services, which answer any request
	ReportAge        time.Duration
	IdleStepMs       float64 // time of one decoding step without other requests, in milliseconds; 0 to use the request's
	RecentStepMs     float64 // time of one decoding step as recently observed, in milliseconds; 0 if not observed
	PrefillMs        float64 // time of a typical prefill, in milliseconds
	MeanAnswerTokens float64 // mean length of its recent answers in tokens; 0 if not known
	DistanceMs       float64 // round trip from this host's data centre, in milliseconds
	Prefixes         map[uint64]bool
}

// Snapshot is the input of a routing decision. It is shared by many concurrent requests
// and never changes after its publication.
type Snapshot struct {
	Taken     time.Time
	Endpoints []Endpoint
	ByModel   map[ModelKey][]int32 // indexes of the endpoints on which the model is ready
	ByPool    map[string][]int32   // indexes of a pool's endpoints
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Pool         string
	Key          ModelKey
	PlainService bool // the request can be answered by any endpoint of the pool
	Class        class.Class
	Prefix       uint64    // salted hash of the prompt's prefix; 0 if there is none
	AnswerTokens int       // expected length of the answer; 0 if not known
	IdleStepMs   float64   // time of one decoding step on an engine without other requests, in milliseconds; 0 if not known
	RemainingMs  float64   // time until the deadline, in milliseconds; 0 if there is none
	Excluded     [4]string // upstreams that have refused or failed this request, filled from the front
}

// deadlineUnreachable reports whether the answer would come after the deadline even from
// an idle engine. Such a request would be aborted in the end, at the cost of the requests
// behind it.
func (r *Request) deadlineUnreachable() bool {
	return r.RemainingMs > 0 && float64(r.AnswerTokens)*r.IdleStepMs > r.RemainingMs
}

// Reason is the reason why no endpoint was found.
type Reason uint8

// The reasons.
const (
	Found               Reason = iota
	NoReplica                  // no endpoint has the model
	AllBusy                    // all endpoints with the model are at their load bound
	AllExcluded                // all endpoints with the model are draining, down or already tried
	DeadlineUnreachable        // no endpoint with the model would answer before the deadline
)

// Decision is the result of a Picker.
type Decision struct {
	Index  int // index in Snapshot.Endpoints; -1 if there is none
	Reason Reason
	Score  float64 // predicted milliseconds to the end of the answer, or to its first token if its length is not known
}

// Source is a source of random numbers, such as *math/rand/v2.Rand.
type Source interface{ Uint64N(n uint64) uint64 }

// Picker picks an endpoint for a request.
type Picker interface {
	Pick(s *Snapshot, r *Request, src Source) Decision
}
