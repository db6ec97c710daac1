// Package dispatch carries one admitted request to an upstream and its answer
// back: it picks the upstream, sends attempts, checks that each answer belongs
// to its attempt, finds out what became of attempts whose answer was lost, and
// relays the answer whole. What may be tried again is decided in core/retry.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/route"
)

// Work is one admitted request.
type Work struct {
	RequestID  string
	Team       string
	Class      class.Class
	Pool       string
	Key        route.ModelKey // of a model request
	Service    bool           // a call to a plain service
	Method     string
	Path       string // at the upstream
	Query      string
	Header     http.Header // to pass on
	Body       []byte
	BodyStream io.Reader // instead of Body, when it was too large to hold; sent once at most
	BodyLength int64     // of BodyStream; -1: unknown
	Stream     bool      // the caller asked for server-sent events
	Deadline   time.Time
	Repeatable bool
	Prefix     uint64 // salted prefix hash; 0: none
	Grant      Grant  // the claim of a request that may not be repeated; else nil
	KeepBytes  int64  // most bytes of an answer to keep for its claim
}

// Answer is a whole answer, as kept for replay.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	Truncated   bool   `json:"truncated,omitempty"` // over the bound: it ran, but its answer was not kept
}

// Grant is the claim under which a request that may not be repeated runs.
type Grant interface {
	// Dispatching makes durable which upstream the attempt goes to, before
	// its first byte is written. On an error the attempt must not be sent.
	Dispatching(ctx context.Context, upstream, incarnation, attempt string) error
	// Complete keeps the answer; it may finish later in the background.
	Complete(ctx context.Context, a Answer)
	// NotRun frees the key, so that a retry may run.
	NotRun(ctx context.Context)
	// Unknown keeps the key: no retry runs until the fate is known.
	Unknown(ctx context.Context)
}

// Head is what is known of an answer when its first byte is due.
type Head struct {
	Status      int
	Header      http.Header
	Attempt     string
	Upstream    string
	Incarnation string
}

// Sink takes the answer to the caller. Head comes once, before any Write.
// After an error the caller is gone.
type Sink interface {
	Head(h Head)
	Write(p []byte) error
	Flush() error
}

// View is the host's picture of the upstreams; node/upstream/view implements it.
type View interface {
	Snapshot() *route.Snapshot
	Dispatched(upstream string)
	Finished(upstream string)
	Answer(upstream, incarnation, load string)
	Leaving(upstream, incarnation string) bool
	Down(upstream string)
	NotReady(upstream string, key route.ModelKey)
	Incarnation(upstream string) string
}
