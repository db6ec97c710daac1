// Package dispatch sends one admitted request to an upstream and forwards its
// answer to the caller. It picks the upstream, makes the attempts, checks that
// each answer belongs to its attempt, resolves the outcome of attempts whose
// answer was lost, and forwards the answer complete or not at all. Package
// core/retry decides what may be tried again.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/class"
	"peridotpier.example/core/route"
	nodeclaim "peridotpier.example/node/claim"
)

// Work is one admitted request.
type Work struct {
	RequestID    string
	Team         string
	Class        class.Class
	Pool         string
	Key          route.ModelKey // model and adapter of a model request
	PlainService bool           // the request is a call to a plain service
	Method       string
	Path         string // path at the upstream
	Query        string
	Header       http.Header // header to forward to the upstream
	Body         []byte
	BodyStream   io.Reader // replaces a Body that was too large to hold in memory; sent at most once
	BodyLength   int64     // length of BodyStream in bytes; -1: unknown
	Stream       bool      // the caller asked for server-sent events
	Deadline     time.Time
	Repeatable   bool
	Prefix       uint64  // salted prefix hash; 0: none
	MaxTokens    int     // maximum answer length that the caller allows, in tokens; 0: not given
	IdleStepMs   float64 // one decoding step of the model on an idle upstream, in milliseconds; 0: unknown
	// Claim claims a request that must not run twice and records its first
	// attempt; it is nil for all other requests. A repeat of a request that has
	// run gets the stored answer instead of a grant.
	Claim            func(ctx context.Context, first claim.Route) (Grant, *nodeclaim.Answer, error)
	MaxRetainedBytes int64 // maximum size of an answer that is retained for its claim
}

// Grant is the claim under which a request that must not run twice runs;
// *claim.Grant of node/claim implements it.
type Grant interface {
	// RecordDispatch durably records the attempt and its upstream before the
	// first byte of the attempt is written. On an error the attempt must not be
	// sent.
	RecordDispatch(ctx context.Context, r claim.Route, deadline time.Time) error
	// Complete stores the answer; it may finish later in the background.
	Complete(ctx context.Context, a nodeclaim.Answer) error
	// Release frees the key, so that a retry may run.
	Release(ctx context.Context) error
	// MarkUnknown keeps the key: no retry runs until the outcome is known.
	MarkUnknown(ctx context.Context) error
}

// Head is the part of an answer that precedes its body.
type Head struct {
	Status      int
	Header      http.Header
	Attempt     string
	Upstream    string
	Incarnation string
	// EndsWithConn means that only the end of the upstream's connection ends the body,
	// which may have been truncated. The caller must not be told a stronger end.
	EndsWithConn bool
}

// Sink writes the answer to the caller. WriteHead is called once, before any
// Write. An error means that the caller has disconnected.
type Sink interface {
	WriteHead(h Head)
	Write(p []byte) error
	Flush() error
}

// View is the host's view of the upstreams; node/upstream/view implements it.
type View interface {
	Snapshot() *route.Snapshot
	AttemptStarted(upstream string)
	AttemptFinished(upstream string)
	ObserveAnswer(upstream, incarnation, load string)
	MarkDraining(upstream, incarnation string) bool
	MarkDown(upstream string)
	MarkNotReady(upstream string, key route.ModelKey)
	Incarnation(upstream string) string
	ObserveStepTime(upstream string, step time.Duration)
	ObserveFirstToken(upstream string, first time.Duration)
	ObserveAnswerLength(upstream string, tokens int)
	MarkRestarted(upstream, from, to string)
}
