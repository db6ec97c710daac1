// Package engineapi is the wire protocol between an entry host and a model
// engine or plain service: paths, headers and message types. It is the only
// place that knows them, besides docs/design/upstream-protocol.md, which
// explains them.
package engineapi

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers on the way to an upstream and back.
const (
	// HeaderAttempt carries the attempt id; the upstream must echo it. An
	// answer under another id belongs to another request.
	HeaderAttempt = "Peridot-Attempt"
	// HeaderPriority carries the class for the engine's own queue: 0 bulk, 1 standard, 2 urgent.
	HeaderPriority = "Peridot-Priority"
	// HeaderDeadline carries the time left in milliseconds when the request left the entry host.
	HeaderDeadline = "Peridot-Deadline-Ms"
	// HeaderRefused on an answer of status 503 or 429 promises that the request
	// did not run and never will. Its value is one of the Refused constants.
	HeaderRefused = "Peridot-Refused"
	// HeaderLoad rides on every answer: "running waiting sequence taken_ms" of
	// the engine at that time, taken_ms on the clock of Report.TakenMs.
	HeaderLoad = "Peridot-Load"
	// HeaderIncarnation names the engine process that answered.
	HeaderIncarnation = "Peridot-Incarnation"
	// HeaderForIncarnation names the only process that may run the attempt; a
	// request that may not be repeated always carries it. Any other process
	// refuses with RefusedRestarted: what the former one answered about the
	// attempt, "unseen" above all, died with its memory.
	HeaderForIncarnation = "Peridot-For-Incarnation"
)

// Values of HeaderRefused.
const (
	RefusedDraining      = "leaving"    // the upstream is going away: no new work, ever, in this incarnation
	RefusedNotLoaded     = "not_loaded" // the model or adapter is not resident
	RefusedQueueFull     = "full"       // the queue is full
	RefusedAttemptClosed = "settled"    // this attempt id was reported unseen, cancelled or refused before
	RefusedRestarted     = "restarted"  // the attempt was meant for a former process
)

// Paths. {id} is an attempt id.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathReport      = "/engine/v1/report"        // GET ?residents=DIGEST -> Report; without residents when they still have that digest
	PathOrders      = "/engine/v1/orders"        // POST Order -> OrderAnswer
	PathEvents      = "/engine/v1/events"        // GET ?after=N -> []CacheEvent
	PathAttempt     = "/engine/v1/attempts/{id}" // GET -> Attempt, or status 410 when it cannot tell any more; DELETE cancels
	PathResume      = "/engine/v1/attempts/{id}/stream"
	// GET ?after=N: the stream's events after position N, then live ones
	PathService = "/service/" // + path: plain services answer any method below it
)

// A streamed answer is server-sent events. Each event has the line
//
//	id: <attempt id>.<position>
//
// with positions 1, 2, 3, … without gaps, then one "data:" line and an empty
// line. The last event's data is StreamEnd; a stream that ends without it is
// not complete.
const StreamEnd = "[DONE]"

// ModelState is the state of one resident model or adapter.
type ModelState string

// The states in a report.
const (
	StateLoading   ModelState = "loading"
	StateReady     ModelState = "ready"
	StateUnloading ModelState = "unloading"
)

// Resident is one model, or one adapter of a model, in an engine's memory.
type Resident struct {
	Model    string     `json:"model"`
	Adapter  string     `json:"adapter,omitempty"` // "" for the base model
	Version  string     `json:"version"`
	State    ModelState `json:"state"`
	MemoryMB int        `json:"memory_mb"`
	Op       string     `json:"op"` // the order that brought it
}

// Report is an engine's own word on its state. It may be seconds old when it
// is read: TakenMs is the engine's monotonic milliseconds since its start.
type Report struct {
	Upstream    string     `json:"upstream"`
	Incarnation string     `json:"incarnation"` // new at every process start
	Sequence    uint64     `json:"sequence"`    // rises by one a report within an incarnation
	TakenMs     int64      `json:"taken_ms"`
	Draining    bool       `json:"leaving"`
	Role        string     `json:"role"` // "serve" or "prefill" or "decode"
	Running     int        `json:"running"`
	Waiting     int        `json:"waiting"`
	MaxBatch    int        `json:"max_batch"`
	MemoryMB    int        `json:"memory_mb"`
	UsedMB      int        `json:"used_mb"`
	Epoch       uint64     `json:"epoch"`               // highest fencing number seen; 0 where the engine ignores them
	LastOps     []string   `json:"last_ops,omitempty"`  // ids of the newest orders that reached it, newest last
	Residents   []Resident `json:"residents,omitempty"` // loading ones too: they already take memory
	// Digest names the residents. A reader that shows it gets the report
	// without them while they are the same: they are most of a report's bytes
	// and seldom change. "" where the upstream has no digest.
	Digest string `json:"residents_digest,omitempty"`
}

// ParamResidents is the query parameter in which a reader shows the digest of
// the residents that it knows.
const ParamResidents = "residents"

// Compact is the report for a reader that knows the residents of a digest.
func (r Report) Compact(known string) Report {
	if known != "" && known == r.Digest {
		r.Residents = nil
	}
	return r
}

// ResidentsDigest names a list of residents.
func ResidentsDigest(residents []Resident) string {
	d := xxhash.New()
	for _, r := range residents {
		_, _ = fmt.Fprintf(d, "%q %q %q %q %q %d\n", r.Model, r.Adapter, r.Version, r.State, r.Op, r.MemoryMB) // a Digest's writes never fail
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderRole          OrderKind = "role"
)

// Order asks an engine to change what it holds.
type Order struct {
	Op          string    `json:"op"`
	Epoch       uint64    `json:"epoch"` // fencing number: the lease epoch of the planner
	Kind        OrderKind `json:"kind"`
	Model       string    `json:"model,omitempty"`
	Adapter     string    `json:"adapter,omitempty"`
	Version     string    `json:"version,omitempty"`
	MemoryMB    int       `json:"memory_mb,omitempty"`
	Role        string    `json:"role,omitempty"`
	Incarnation string    `json:"incarnation,omitempty"` // when set, only this process may carry it out
}

// LoadName names the one load that the order asks for at the weight store:
// planner and engine ask for its grant under the same name, so that it takes
// one place, not two.
func (o Order) LoadName() string {
	name := o.Model + "@" + o.Version
	if o.Adapter != "" {
		name = o.Model + "+" + o.Adapter + "@" + o.Version
	}
	return name + "#" + o.Op
}

// OrderAnswer says what became of an order. Accepted means begun, not done:
// the report tells when it is done.
type OrderAnswer struct {
	Accepted    bool   `json:"accepted"`
	Reason      string `json:"reason,omitempty"` // "old_epoch", "no_memory", "wrong_incarnation", "unknown_model"
	Incarnation string `json:"incarnation"`
}

// AttemptState is the fate of an attempt as the upstream knows it.
type AttemptState string

// The fates.
const (
	AttemptUnseen    AttemptState = "unseen" // never reached this incarnation
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptCancelled AttemptState = "cancelled"
	AttemptRefused   AttemptState = "refused"
)

// Attempt is the answer to a question for an attempt's fate. After an answer
// AttemptUnseen the upstream refuses the attempt id for good, so that a
// request still on its way cannot run after it was reported as not run.
type Attempt struct {
	ID          string       `json:"id"`
	State       AttemptState `json:"state"`
	Position    int          `json:"position"` // events produced so far
	Status      int          `json:"status,omitempty"`
	ContentType string       `json:"content_type,omitempty"`
	Body        []byte       `json:"body,omitempty"` // whole answer of a completed, unstreamed attempt
	Incarnation string       `json:"incarnation"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
// Events come late and with gaps: they are hints.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the prefix as sent in HeaderPrefix
	Stored   bool   `json:"stored"`
}

// HeaderTeam tells a plain service which team calls, so that it can keep
// teams apart itself; callers cannot set it.
const HeaderTeam = "Peridot-Team"

// HeaderPrefix carries the salted hash of the prompt's prefix, in hex, so that
// the engine's cache events can be matched without showing the prompt.
const HeaderPrefix = "Peridot-Prefix"
