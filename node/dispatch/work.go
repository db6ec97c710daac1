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
	Key          route.ModelKey // of a model request
	PlainService bool           // a call to a plain service
	Method       string
	Path         string // at the upstream
	Query        string
	Header       http.Header // to pass on
	Body         []byte
	BodyStream   io.Reader // instead of Body, when it was too large to hold; sent once at most
	BodyLength   int64     // of BodyStream; -1: unknown
	Stream       bool      // the caller asked for server-sent events
	Deadline     time.Time
	Repeatable   bool
	Prefix       uint64  // salted prefix hash; 0: none
	MaxTokens    int     // that the caller allows; 0: not said
	IdleStepMs   float64 // one decoding step of the model alone, milliseconds; 0: not known
	// Claim takes out the claim of a request that may not be repeated, naming
	// its first attempt; nil for all others. A repeat of a request that ran
	// gets the stored answer in place of a grant.
	Claim            func(ctx context.Context, first claim.Route) (Grant, *nodeclaim.Answer, error)
	MaxRetainedBytes int64 // most bytes of an answer to keep for its claim
}

// Grant is the claim under which a request that may not be repeated runs;
// *claim.Grant of node/claim implements it.
type Grant interface {
	// Dispatching makes durable which attempt goes where, before its first
	// byte is written. On an error the attempt must not be sent.
	RecordDispatch(ctx context.Context, r claim.Route, deadline time.Time) error
	// Complete keeps the answer; it may finish later in the background.
	Complete(ctx context.Context, a nodeclaim.Answer) error
	// NotRun frees the key, so that a retry may run.
	Release(ctx context.Context) error
	// Unknown keeps the key: no retry runs until the fate is known.
	MarkUnknown(ctx context.Context) error
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
	WriteHead(h Head)
	Write(p []byte) error
	Flush() error
}

// View is the host's picture of the upstreams; node/upstream/view implements it.
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
