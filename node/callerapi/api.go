// Package callerapi is the callers' interface: an OpenAI-compatible subset for
// models, plain services below /v1/services, and a caller's own requests. It
// knows a caller's team by its key and shows it nothing of other teams.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/core/place"
	"peridotpier.example/core/revision"
	"peridotpier.example/core/token"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/query"
)

// Headers of callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderClass          = "Peridot-Class"
	HeaderDeadline       = "Peridot-Deadline-Ms"
	HeaderRequestID      = "Peridot-Request"
	HeaderResume         = "Peridot-Resume"
	HeaderReplayed       = "Peridot-Replayed"
	headerLastEvent      = "Last-Event-ID"
)

// Bounds of what a caller may ask for.
const (
	// maxDeadline bounds a caller's own deadline; a resume token lives as long.
	maxDeadline = 10 * time.Minute
	// maxKeyBytes bounds an idempotency key, in bytes.
	maxKeyBytes = 255
	// maxBufferedBody is the largest body that is held whole, so that it can be sent
	// again; larger ones are passed on as they come, to one upstream only.
	maxBufferedBody = 1 << 20
)

// Config is what the interface needs to know of its host.
type Config struct {
	Host       string // name, part of request ids
	PrefixSalt string // secret shared by the hosts, so that prefix hashes tell an engine nothing
	// BodyBound is how long a caller may take to send a body; 0: the default.
	BodyTimeout time.Duration
}

// Admission lets a request in or refuses it.
type Admission interface {
	Admit(ctx context.Context, r AdmitRequest) (release func(), err error)
}

// AdmitRequest is what admission needs to know.
type AdmitRequest struct {
	Team     string
	Class    class.Class
	Pool     string
	Deadline time.Time
}

// Claims claims requests that may not be repeated.
type Claims interface {
	Claim(ctx context.Context, r nodeclaim.Request) (dispatch.Grant, *nodeclaim.Answer, error)
}

// Demand counts what is asked for, from arrival to end.
type Demand interface {
	Begin(k place.Key)
	End(k place.Key, refused bool)
}

// Tokens makes and checks resume tokens with the keys in force at the moment;
// *keys.Ring implements it, and *token.Keys where keys never change.
type Tokens interface {
	Encode(t token.Token) (string, error)
	Decode(s, team string, now time.Time) (token.Token, error)
}

// ConfigSource tells what is in force on this host; *query.ConfigReader implements it.
type ConfigSource interface {
	Current() (*query.State, bool)
	Freshness() revision.Freshness
}

// Deps are what the interface works with.
type Deps struct {
	Config     ConfigSource
	Admission  Admission
	Claims     Claims
	Dispatcher *dispatch.Dispatcher
	Demand     Demand
	Tokens     Tokens
	Requests   *inflight.Registry
	Metrics    *metrics.Set
	Log        *event.Log
	Now        func() time.Time
}

// API serves callers.
type API struct {
	cfg  Config
	deps Deps
	echo *echo.Echo
}

// New makes the interface.
func New(cfg Config, deps Deps) *API {
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = bodyTimeout
	}
	a := &API{cfg: cfg, deps: deps, echo: echo.New()}
	e := a.echo
	e.HTTPErrorHandler = a.writeProblem
	e.POST("/v1/chat/completions", a.authenticated(a.generate))
	e.POST("/v1/completions", a.authenticated(a.generate))
	e.GET("/v1/models", a.authenticated(a.models))
	e.GET("/v1/models/:model", a.authenticated(a.model))
	e.Any("/v1/services/:service", a.authenticated(a.service))
	e.Any("/v1/services/:service/*", a.authenticated(a.service))
	e.GET("/v1/requests", a.authenticated(a.requests))
	e.GET("/v1/requests/:id", a.authenticated(a.request))
	e.DELETE("/v1/requests/:id", a.authenticated(a.cancel))
	e.GET("/v1/requests/:id/stream", a.authenticated(a.resume))
	return a
}

// ServeHTTP implements http.Handler.
//
// The body's bound is set before anything is judged, for a refusal does not
// read the body, and the HTTP server then reads the rest of it: without a bound
// a body that drips would keep its connection and goroutine for good, though
// the caller was refused. It is lifted once the body is there.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer a.logPanic(w)
	if r.ContentLength != 0 {
		setReadDeadline(w, time.Now().Add(a.cfg.BodyTimeout))
	}
	a.echo.ServeHTTP(w, r)
}

// logPanic logs the panic of a handler with its request's id. The connection
// is broken off as the HTTP server has it.
func (a *API) logPanic(w http.ResponseWriter) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		a.deps.Log.Panic(w.Header().Get(HeaderRequestID), v)
	}
	panic(http.ErrAbortHandler)
}

// call is one authenticated request with the configuration that it is wholly
// judged under, whatever is accepted while it runs.
type call struct {
	*echo.Context
	id    string
	team  *config.Team
	state *query.State
}

func (c *call) ctx() context.Context { return c.Request().Context() }
