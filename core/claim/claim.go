// Package claim is the state machine of a request that may not be repeated: what
// its row in the table service holds, which transitions it may make, and how a
// request that arrives with the same idempotency key is answered.
//
// Safety never depends on a clock. The times in a row only determine when another
// process should try to resolve an open claim; every write is conditional on the
// row being the one that the decision was based on.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"
)

// State is how far the request of a claim has come.
type State string

// The states. NotRun frees the key; Completed and Unknown keep it until the row
// expires.
const (
	Claimed    State = "claimed"    // the key is taken; no attempt has been dispatched under this row
	Dispatched State = "dispatched" // the attempt in Route may have reached its upstream
	Completed  State = "completed"
	NotRun     State = "not_run"
	Unknown    State = "unknown" // the owner could not find out the outcome of the attempt in Route
)

// ErrState is returned when a row's state does not allow the requested
// transition.
var ErrState = errors.New("claim is not in a state for this change")

// Owner identifies the process that owns a claim.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"` // new at every start of the process
}

// Route identifies the attempt that a claim covers.
type Route struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation,omitempty"` // of the upstream when the route was chosen; "" if not known
	Attempt     string `json:"attempt"`
}

// Answer is a stored answer of an upstream.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`  // name of the object that holds a body too large for the row
	Dropped     bool   `json:"dropped,omitempty"` // the body was not kept: it was too large, or it was streamed
}

// Row is a claim as it is stored.
type Row struct {
	ID        string  `json:"id"`
	BodyHash  string  `json:"body"` // hash of the request; another request under the same key is refused
	Owner     Owner   `json:"owner"`
	Route     Route   `json:"route"`
	State     State   `json:"state"`
	Answer    *Answer `json:"answer,omitempty"`
	OverdueMs int64   `json:"overdue_ms"` // Unix milliseconds; from then on other processes may resolve an open claim
	ExpiresMs int64   `json:"expires_ms"` // Unix milliseconds; from then on the key may be used again
	// Op identifies the write that left the row in this state. A writer that got
	// no answer recognises its own write by it, even after the service has
	// forgotten the operation id.
	Op string `json:"op"`
}

// Arrival is a request with an idempotency key, as it arrives.
type Arrival struct {
	ID           string // claim id, new for each arrival
	BodyHash     string
	Owner        Owner
	Route        Route         // zero if not chosen yet
	OverdueAfter time.Duration // until other processes may resolve the claim: the time to the request's deadline and a grace period
	TTL          time.Duration // how long the key is remembered
}

// Key returns the row key for a team's idempotency key. It hashes both, so that
// the result has a fixed length and one team cannot forge another team's key.
func Key(team, key string) string {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0}) // without the separator, team "a" with key "bc" would collide with team "ab" and key "c"
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))
}

// New returns the row of an arrival that may run.
func New(a Arrival, now time.Time) Row {
	r := Row{ID: a.ID, BodyHash: a.BodyHash, Owner: a.Owner, Route: a.Route, State: Claimed,
		OverdueMs: now.Add(a.OverdueAfter).UnixMilli(), ExpiresMs: now.Add(a.TTL).UnixMilli()}
	if a.Route.Attempt != "" {
		r.State = Dispatched
	}
	return r
}

// IsOpen reports whether the request may still run or be running.
func (r Row) IsOpen() bool { return r.State == Claimed || r.State == Dispatched }

// Dispatch records the attempt that is about to be sent. The attempt before it,
// if any, must have ended without running.
func (r Row) Dispatch(route Route, overdue time.Time) (Row, error) {
	if !r.IsOpen() {
		return r, ErrState
	}
	r.State, r.Route, r.OverdueMs = Dispatched, route, max(r.OverdueMs, overdue.UnixMilli())
	return r, nil
}

// Complete stores the answer. An Unknown claim may complete too, since its answer
// may arrive late.
func (r Row) Complete(a Answer) (Row, error) {
	if r.State != Dispatched && r.State != Unknown {
		return r, ErrState
	}
	r.State, r.Answer = Completed, &a
	return r, nil
}

// Release frees the key after an attempt that certainly did not run.
func (r Row) Release() (Row, error) {
	if r.State == Completed {
		return r, ErrState
	}
	r.State = NotRun
	return r, nil
}

// MarkUnknown records that the attempt's outcome is not known.
func (r Row) MarkUnknown() (Row, error) {
	if r.State != Dispatched && r.State != Unknown {
		return r, ErrState
	}
	r.State = Unknown
	return r, nil
}
