// Package claim is the state machine of a request that may not be repeated:
// what its row in the table service holds, which changes it may go through,
// and what an arrival under the same idempotency key gets.
//
// Safety never rests on a clock. Times in a row only say when it is polite to
// look after somebody else's claim; every change is conditional on the row
// being the one that was judged.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"
)

// State is how far a claim has come.
type State string

// The states. NotRun frees the key; Completed and Unknown hold it until the
// row expires.
const (
	Claimed    State = "claimed"    // held; no attempt may have been dispatched
	Dispatched State = "dispatched" // the attempt in Route may have reached its upstream
	Completed  State = "completed"
	NotRun     State = "not_run"
	Unknown    State = "unknown" // the owner lost sight of the attempt in Route
)

// ErrState tells that a row's state does not allow the change asked for.
var ErrState = errors.New("claim is not in a state for this change")

// Owner is the process that holds a claim.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"` // new at every start of the process
}

// Route is the attempt that a claim covers.
type Route struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation,omitempty"` // of the upstream when the route was chosen; "" if not known
	Attempt     string `json:"attempt"`
}

// Answer is a stored answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`  // holds the body when it is too large for the row
	Dropped     bool   `json:"dropped,omitempty"` // the body was not kept: too large, or streamed and gone
}

// Row is one claim as it is stored.
type Row struct {
	ID        string  `json:"id"`
	BodyHash  string  `json:"body"` // hash of the request; another under the same key is refused
	Owner     Owner   `json:"owner"`
	Route     Route   `json:"route"`
	State     State   `json:"state"`
	Answer    *Answer `json:"answer,omitempty"`
	OverdueMs int64   `json:"overdue_ms"` // Unix milliseconds; from then on others may look after an open claim
	ExpiresMs int64   `json:"expires_ms"` // Unix milliseconds; from then on the key is forgotten
	// Op identifies the write that left the row so. A writer whose answer was
	// lost, even for longer than the service remembers operation ids, knows its
	// own write by it.
	Op string `json:"op"`
}

// Arrival is a request as it arrives with its key.
type Arrival struct {
	ID           string // claim id, new for each arrival
	BodyHash     string
	Owner        Owner
	Route        Route         // zero when not yet known
	OverdueAfter time.Duration // until others may look after the claim: the request's deadline and some
	TTL          time.Duration // how long the key is remembered
}

// Key scopes a caller's idempotency key by team, hashed so that a key cannot
// be made to look like another team's and has a fixed length.
func Key(team, key string) string {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0}) // without it, team "a" with key "bc" would meet team "ab" with key "c"
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))
}

// New makes the row of an arrival that may run.
func New(a Arrival, now time.Time) Row {
	r := Row{ID: a.ID, BodyHash: a.BodyHash, Owner: a.Owner, Route: a.Route, State: Claimed,
		OverdueMs: now.Add(a.OverdueAfter).UnixMilli(), ExpiresMs: now.Add(a.TTL).UnixMilli()}
	if a.Route.Attempt != "" {
		r.State = Dispatched
	}
	return r
}

// IsOpen says whether the request may still be run or running.
func (r Row) IsOpen() bool { return r.State == Claimed || r.State == Dispatched }

// Dispatch names the attempt that is about to go out. The attempt before it,
// if any, must have ended as not run.
func (r Row) Dispatch(route Route, overdue time.Time) (Row, error) {
	if !r.IsOpen() {
		return r, ErrState
	}
	r.State, r.Route, r.OverdueMs = Dispatched, route, max(r.OverdueMs, overdue.UnixMilli())
	return r, nil
}

// Complete stores the answer. An Unknown claim may complete too: its answer
// may come late.
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

// MarkUnknown marks the attempt as lost from sight.
func (r Row) MarkUnknown() (Row, error) {
	if r.State != Dispatched && r.State != Unknown {
		return r, ErrState
	}
	r.State = Unknown
	return r, nil
}
