// Package callerapi implements the HTTP interface for callers: an
// OpenAI-compatible subset for models, plain services below /v1/services, and the
// requests of a caller's own team. It identifies the team by its key and shows it
// nothing of other teams.
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

// Headers of callers' requests and of the answers to them.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderClass          = "Peridot-Class"
	HeaderDeadline       = "Peridot-Deadline-Ms"
	HeaderRequestID      = "Peridot-Request"
	HeaderResume         = "Peridot-Resume"
	HeaderReplayed       = "Peridot-Replayed"
	headerLastEvent      = "Last-Event-ID"
)

// Limits on the requests of callers.
const (
	// maxDeadline is the longest deadline that a caller may set; a resume token is
	// valid until the deadline of its request. A resumed stream gets maxDeadline.
	maxDeadline = 10 * time.Minute
	// maxKeyBytes is the largest length of an idempotency key, in bytes.
	maxKeyBytes = 255
	// maxBufferedBody is the size in bytes of the largest body that is buffered,
	// so that it can be sent again. Larger bodies of services are streamed, to one
	// upstream only.
	maxBufferedBody = 1 << 20
)

// Config is the configuration of an API.
type Config struct {
	Host       string // name of the host, part of request ids
	PrefixSalt string // secret shared by the hosts, so that prefix hashes reveal nothing to an engine
	// BodyTimeout bounds the time a caller may take to send a body; 0 means the default.
	BodyTimeout time.Duration
}

// Admission admits a request or refuses it.
type Admission interface {
	Admit(ctx context.Context, r AdmitRequest) (release func(), err error)
}

// AdmitRequest describes a request to admission.
type AdmitRequest struct {
	Team     string
	Class    class.Class
	Pool     string
	Deadline time.Time
}

// Claims claims requests that may run at most once.
type Claims interface {
	Claim(ctx context.Context, r nodeclaim.Request) (dispatch.Grant, *nodeclaim.Answer, error)
}

// Demand counts the requests for each model and adapter, from arrival to end.
type Demand interface {
	Begin(k place.Key)
	End(k place.Key, refused bool)
}

// Tokens encodes and verifies resume tokens with the keys in force at the time of
// the call. *keys.Ring implements it, as does *token.Keys where keys never change.
type Tokens interface {
	Encode(t token.Token) (string, error)
	Decode(s, team string, now time.Time) (token.Token, error)
}

// ConfigSource returns the configuration in force on this host and its freshness;
// *query.ConfigReader implements it.
type ConfigSource interface {
	Current() (*query.State, bool)
	Freshness() revision.Freshness
}

// Deps are the dependencies of an API.
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

// API is the HTTP handler for callers.
type API struct {
	cfg  Config
	deps Deps
	echo *echo.Echo
}

// New returns the handler of all paths that callers may use.
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
// The read deadline of the body is set before anything is checked: a refusal does
// not read the body, and the HTTP server then reads the rest of it. Without a
// deadline a body that arrives very slowly would keep its connection and goroutine
// forever, although the request was refused. The deadline is removed once the
// body has been read.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer a.logPanic(w)
	if r.ContentLength != 0 {
		setReadDeadline(w, time.Now().Add(a.cfg.BodyTimeout))
	}
	a.echo.ServeHTTP(w, r)
}

// logPanic logs the panic of a handler with the id of its request, and panics with
// http.ErrAbortHandler, so that the HTTP server aborts the connection.
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

// call is an authenticated request with the configuration that applies to all of
// it, even if a newer one is accepted while it runs.
type call struct {
	*echo.Context
	id    string
	team  *config.Team
	state *query.State
}

func (c *call) ctx() context.Context { return c.Request().Context() }
