// Package engineapi defines the wire protocol between an entry host and a model
// engine or plain service: paths, headers and message types. Nothing else defines
// them; docs/design/upstream-protocol.md explains them.
package engineapi

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers of requests to an upstream and of its answers.
const (
	// HeaderAttempt carries the attempt id; the upstream must echo it. An
	// answer with another id belongs to another request.
	HeaderAttempt = "Peridot-Attempt"
	// HeaderPriority carries the priority class for the engine's queue: 0 bulk, 1 standard, 2 urgent.
	HeaderPriority = "Peridot-Priority"
	// HeaderDeadline carries the remaining time in milliseconds when the entry host sent the request.
	HeaderDeadline = "Peridot-Deadline-Ms"
	// HeaderRefused on an answer with status 503 or 429 guarantees that the request
	// did not run and never will. Its value is one of the Refused constants.
	HeaderRefused = "Peridot-Refused"
	// HeaderLoad is sent with every answer: "running waiting sequence taken_ms" of
	// the engine at that time, with taken_ms on the clock of Report.TakenMs.
	HeaderLoad = "Peridot-Load"
	// HeaderIncarnation names the engine process that answered.
	HeaderIncarnation = "Peridot-Incarnation"
	// HeaderForIncarnation names the only incarnation that may run the attempt; a
	// request that may not be repeated always carries it. Any other incarnation
	// refuses with RefusedRestarted: it does not know what the former one answered
	// about the attempt, above all whether it reported the attempt as unseen.
	HeaderForIncarnation = "Peridot-For-Incarnation"
)

// Values of HeaderRefused.
const (
	RefusedDraining      = "leaving"    // the upstream is draining: this incarnation accepts no new requests any more
	RefusedNotLoaded     = "not_loaded" // the model or adapter is not resident
	RefusedQueueFull     = "full"       // the queue is full
	RefusedAttemptClosed = "settled"    // this attempt id was reported unseen, cancelled or refused before
	RefusedRestarted     = "restarted"  // the attempt was meant for another incarnation
)

// Paths. {id} is an attempt id.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathReport      = "/engine/v1/report"               // GET ?residents=DIGEST -> Report; without residents while they have that digest
	PathOrders      = "/engine/v1/orders"               // POST Order -> OrderAnswer
	PathEvents      = "/engine/v1/events"               // GET ?after=N -> []CacheEvent
	PathAttempt     = "/engine/v1/attempts/{id}"        // GET -> Attempt, or status 410 when the outcome is no longer known; DELETE cancels
	PathResume      = "/engine/v1/attempts/{id}/stream" // GET ?after=N -> the stream's events after position N, then live ones
	PathService     = "/service/"                       // + path: plain services answer any method below it
)

// StreamEnd is the data of the last event of a streamed answer; a stream that ends
// without it is incomplete. A streamed answer consists of server-sent events. Each
// event has the line
//
//	id: <attempt id>.<position>
//
// with positions 1, 2, 3, … without gaps, then one "data:" line and an empty line.
const StreamEnd = "[DONE]"

// ModelState is the state of one resident model or adapter.
type ModelState string

// The states of a resident in a report.
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
	Op       string     `json:"op"` // id of the order that loaded it
}

// Report is an engine's report of its own state. It may be seconds old when it
// is received: TakenMs is the engine's monotonic milliseconds since its start.
type Report struct {
	Upstream    string     `json:"upstream"`
	Incarnation string     `json:"incarnation"` // new at every process start
	Sequence    uint64     `json:"sequence"`    // rises by one with each report of an incarnation
	TakenMs     int64      `json:"taken_ms"`
	Draining    bool       `json:"leaving"`
	Role        string     `json:"role"` // "serve" or "prefill" or "decode"
	Running     int        `json:"running"`
	Waiting     int        `json:"waiting"`
	MaxBatch    int        `json:"max_batch"`
	MemoryMB    int        `json:"memory_mb"`
	UsedMB      int        `json:"used_mb"`
	Epoch       uint64     `json:"epoch"`               // highest fencing number seen; 0 where the engine ignores them
	LastOps     []string   `json:"last_ops,omitempty"`  // ids of the newest orders received, newest last
	Residents   []Resident `json:"residents,omitempty"` // including those being loaded, which already take memory
	// Digest identifies the residents. A reader that sends it gets the report without
	// the residents while they are the same: they take most of a report's bytes and
	// seldom change. "" where the upstream sends no digest.
	Digest string `json:"residents_digest,omitempty"`
}

// ParamResidents is the query parameter with the digest of the residents that the
// reader already has.
const ParamResidents = "residents"

// Compact returns the report without its residents if known is their digest, else
// the complete report.
func (r Report) Compact(known string) Report {
	if known != "" && known == r.Digest {
		r.Residents = nil
	}
	return r
}

// ResidentsDigest returns a digest of a list of residents.
func ResidentsDigest(residents []Resident) string {
	d := xxhash.New()
	for _, r := range residents {
		_, _ = fmt.Fprintf(d, "%q %q %q %q %q %d\n", r.Model, r.Adapter, r.Version, r.State, r.Op, r.MemoryMB) // a Digest's writes never fail
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

// OrderKind is the kind of change that an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderRole          OrderKind = "role"
)

// Order asks an engine to load or unload a model or adapter, or to change its role.
type Order struct {
	Op          string    `json:"op"`    // id of the order
	Epoch       uint64    `json:"epoch"` // fencing number: the lease epoch of the planner
	Kind        OrderKind `json:"kind"`
	Model       string    `json:"model,omitempty"`
	Adapter     string    `json:"adapter,omitempty"`
	Version     string    `json:"version,omitempty"`
	MemoryMB    int       `json:"memory_mb,omitempty"`
	Role        string    `json:"role,omitempty"`
	Incarnation string    `json:"incarnation,omitempty"` // when set, only this incarnation may carry out the order
}

// LoadName returns the name of the order's load at the weight store. Planner and
// engine request the grant under the same name, so that the load takes one slot of
// the store, not two.
func (o Order) LoadName() string {
	name := o.Model + "@" + o.Version
	if o.Adapter != "" {
		name = o.Model + "+" + o.Adapter + "@" + o.Version
	}
	return name + "#" + o.Op
}

// OrderAnswer is the answer to an order. Accepted means started, not completed: a
// later report shows the completion.
type OrderAnswer struct {
	Accepted    bool   `json:"accepted"`
	Reason      string `json:"reason,omitempty"` // "old_epoch", "no_memory", "wrong_incarnation", "unknown_model"
	Incarnation string `json:"incarnation"`
}

// AttemptState is the state of an attempt as known to the upstream.
type AttemptState string

// The states of an attempt.
const (
	AttemptUnseen    AttemptState = "unseen" // never received by this incarnation
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptCancelled AttemptState = "cancelled"
	AttemptRefused   AttemptState = "refused"
)

// Attempt is the answer to a query for an attempt. After it has answered
// AttemptUnseen, the upstream refuses the attempt id permanently, so that a request
// still in transit cannot run after it was reported as not run.
type Attempt struct {
	ID          string       `json:"id"`
	State       AttemptState `json:"state"`
	Position    int          `json:"position"` // events produced so far
	Status      int          `json:"status,omitempty"`
	ContentType string       `json:"content_type,omitempty"`
	Body        []byte       `json:"body,omitempty"` // complete answer of a completed attempt that was not streamed
	Incarnation string       `json:"incarnation"`
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
// Events arrive late and with gaps: they are hints only.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the prefix as sent in HeaderPrefix
	Stored   bool   `json:"stored"`
}

// HeaderTeam names the calling team to a plain service, so that the service can
// separate teams itself; callers cannot set it.
const HeaderTeam = "Peridot-Team"

// HeaderPrefix carries the salted hash of the prompt's prefix, in hex, so that
// the engine's cache events can be matched without disclosing the prompt.
const HeaderPrefix = "Peridot-Prefix"
