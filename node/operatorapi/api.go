// Package operatorapi implements the HTTP interface for operators, on its own
// listener: health, readiness and metrics, the state of this host and of the site,
// and the commands that change the configuration and the preset in force. Every
// change is recorded in the audit trail under the operator's name.
package operatorapi

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v5"
	"go.uber.org/zap"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/command"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/query"
	"peridotpier.example/node/settings"
)

// maxDocumentBytes is the largest configuration that can be applied, as stated in
// docs/configuration.md.
const maxDocumentBytes = 8 << 20

// Changes executes the commands that change the configuration;
// *command.Configuration implements it.
type Changes interface {
	Apply(ctx context.Context, a command.ApplyRequest) (revision.Head, error)
	UsePreset(ctx context.Context, u command.UsePresetRequest) (revision.Head, error)
}

// Audit reads the audit trail; *query.AuditReader implements it.
type Audit interface {
	Page(ctx context.Context, before uint64, limit int) ([]revision.Entry, error)
}

// Site answers queries about this host and all others; node/server implements it.
type Site interface {
	// Status returns the state of this host.
	Status() Status
	// Rollout returns which hosts have which configuration version in force.
	Rollout(ctx context.Context) (Rollout, error)
	// FindRequest and CancelRequest find a request on any host.
	FindRequest(ctx context.Context, id string) (inflight.Request, bool, error)
	CancelRequest(ctx context.Context, id string) (bool, error)
	// DryRun returns the moves that a switch to a preset would make.
	DryRun(ctx context.Context, preset string) (DryRun, error)
}

// Deps are the dependencies of an API.
type Deps struct {
	Operators []settings.OperatorKey
	Changes   Changes
	Audit     Audit
	Config    *query.ConfigReader
	Site      Site
	Ready     func() bool
	Requests  *inflight.Registry
	Metrics   *metrics.Set
	Log       *event.Log
}

// API is the HTTP handler for operators.
type API struct {
	deps Deps
	keys map[apikey.Hash]string // name of the operator by the hash of the key
	echo *echo.Echo
}

// New returns an API that serves the operators in deps.
func New(deps Deps) *API {
	a := &API{deps: deps, keys: map[apikey.Hash]string{}, echo: echo.New()}
	for _, o := range deps.Operators {
		if h, err := apikey.Parse(o.KeyHash); err == nil { // the check of the settings refuses others
			a.keys[h] = o.Name
		}
	}
	e := a.echo
	e.HTTPErrorHandler = a.writeProblem
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", a.ready)
	e.GET("/debug/vars", a.authenticated(a.vars))
	e.GET("/v1/status", a.authenticated(a.status))
	e.GET("/v1/everywhere", a.authenticated(a.rollout))
	e.GET("/v1/configuration", a.authenticated(a.configuration))
	e.POST("/v1/configuration", a.authenticated(a.apply))
	e.GET("/v1/presets", a.authenticated(a.presets))
	e.POST("/v1/presets/:preset", a.authenticated(a.usePreset))
	e.GET("/v1/audit", a.authenticated(a.audit))
	e.GET("/v1/requests", a.authenticated(a.requests))
	e.GET("/v1/requests/:id", a.authenticated(a.request))
	e.DELETE("/v1/requests/:id", a.authenticated(a.cancel))
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.echo.ServeHTTP(w, r) }

// call is a request of an authenticated operator.
type call struct {
	*echo.Context
	operator string
}

func (c *call) ctx() context.Context { return c.Request().Context() }

func (a *API) authenticated(h func(*call) error) echo.HandlerFunc {
	return func(c *echo.Context) error {
		key, ok := apikey.OfHeader(c.Request().Header.Get(echo.HeaderAuthorization))
		name, known := a.keys[key]
		if !ok || !known {
			a.deps.Log.Emit(event.OperatorRefused, zap.String(event.FieldPeer, c.Request().RemoteAddr))
			return problemError{http.StatusUnauthorized, Problem{Code: "unauthorized", Message: "send your operator's key as Authorization: Bearer KEY"}}
		}
		return h(&call{Context: c, operator: name})
	}
}

// ready is separate from health: a host that is draining or has no configuration
// is alive and must not be restarted, but must get no new requests.
func (a *API) ready(c *echo.Context) error {
	if !a.deps.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (a *API) vars(c *call) error {
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(a.deps.Metrics.String()))
}
