package callerapi

import (
	"github.com/labstack/echo/v5"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/fault"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/metrics"
)

// authenticated wraps h: it determines the caller's team before anything but the
// headers of the request is read.
func (a *API) authenticated(h func(*call) error) echo.HandlerFunc {
	return func(c *echo.Context) error {
		a.deps.Metrics.Count(metrics.Requests, 1)
		id := inflight.NewID(a.cfg.Host)
		c.Response().Header().Set(HeaderRequestID, id)
		state, ok := a.deps.Config.Current()
		if !ok {
			return fault.NotRun(fault.StepConfig, "", fault.CodeStoreUnavailable, "no configuration is in force on this host yet").WithRetryAfter(noConfigRetryAfter)
		}
		key, ok := apikey.OfHeader(c.Request().Header.Get(echo.HeaderAuthorization))
		if !ok {
			return fault.NotRun(fault.StepAuthenticate, "", fault.CodeInvalidAPIKey, "send your team's key as Authorization: Bearer KEY")
		}
		team, ok := state.Index.TeamByKey(key)
		if !ok {
			return fault.NotRun(fault.StepAuthenticate, "", fault.CodeInvalidAPIKey, "this key belongs to no team")
		}
		return h(&call{Context: c, id: id, team: team, state: state})
	}
}
