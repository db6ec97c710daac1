// Package route picks the upstream for one attempt, over an immutable
// snapshot of the endpoints: filters drop those that must not be used, scorers
// rate the rest, a picker chooses. It does no I/O and has no clock.
package route

import (
	"time"

	"peridotpier.example/core/class"
)

// ModelKey is a model with, possibly, an adapter.
type ModelKey struct {
	Model   string
	Adapter string // "" for the base model
}

// Endpoint is one upstream as a host knows it at the time of the snapshot.
type Endpoint struct {
	// What the filters read comes first, together in one cache line.
	Draining                  bool
	Down                      bool // connections fail or went silent
	MaxBatch                  int
	Running                   int // from the newest report
	Waiting                   int
	DispatchedSinceReport     int // attempts that this host dispatched since that report was taken
	PeerDispatchedSinceReport int // the same, as peers tell
	CompletedSinceReport      int // this host's own attempts that ended there since that report was taken
	InFlight                  int // this host's own attempts now in flight there

	Upstream         string
	Address          string
	Pool             string
	DataCentre       string
	Incarnation      string
	Accelerators     int
	Ready            map[ModelKey]bool // what it can answer now; nil for plain services, which answer anything
	ReportAge        time.Duration
	IdleStepMs       float64 // time of one decoding step when alone, milliseconds; 0: the request's
	RecentStepMs     float64 // time of one decoding step as seen lately, milliseconds; 0: not seen
	PrefillMs        float64 // time of a typical prefill, milliseconds
	MeanAnswerTokens float64 // mean length of the answers that it gave lately; 0: not known
	DistanceMs       float64 // round trip from this host's data centre, milliseconds
	Prefixes         map[uint64]bool
}

// Snapshot is what one routing decision sees. It is shared by many requests
// at once and never changed after it was published.
type Snapshot struct {
	Taken     time.Time
	Endpoints []Endpoint
	ByModel   map[ModelKey][]int32 // indexes of endpoints where it is ready
	ByPool    map[string][]int32   // indexes of a pool's endpoints
}

// Request is what routing needs to know of a request.
type Request struct {
	Pool         string
	Key          ModelKey
	PlainService bool // a plain service: any endpoint of the pool will do
	Class        class.Class
	Prefix       uint64    // salted prefix hash; 0: none
	AnswerTokens int       // length to expect of the answer; 0: not known
	IdleStepMs   float64   // one decoding step of the model alone on an engine, milliseconds; 0: not known
	RemainingMs  float64   // time left until its deadline, milliseconds; 0: none
	Excluded     [4]string // upstreams that already refused or failed this request, filled from the front
}

// deadlineUnreachable says that the answer would come after the deadline even from an
// engine that had nothing else to do. Started, it would be thrown away in the
// end, at the cost of those behind it.
func (r *Request) deadlineUnreachable() bool {
	return r.RemainingMs > 0 && float64(r.AnswerTokens)*r.IdleStepMs > r.RemainingMs
}

// Reason says why no endpoint was found.
type Reason uint8

// The reasons.
const (
	Found               Reason = iota
	NoReplica                  // nobody holds the model
	AllBusy                    // holders exist, all over their bound
	AllExcluded                // holders exist, all leaving, down or already tried
	DeadlineUnreachable        // holders exist, none would answer before the deadline
)

// Decision is the answer of a Picker.
type Decision struct {
	Index  int // in Snapshot.Endpoints; -1 when none
	Reason Reason
	Score  float64 // predicted milliseconds to the end of the answer, or to the first token when its length is not known
}

// Source gives random numbers; *math/rand/v2.Rand is one.
type Source interface{ Uint64N(n uint64) uint64 }

// Picker chooses an endpoint.
type Picker interface {
	Pick(s *Snapshot, r *Request, src Source) Decision
}
