package host

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
)

// UpstreamsPath is the path where a host lists the upstreams with restrictions that they
// signalled on their answers.
const UpstreamsPath = "/upstreams"

// RestrictedUpstream is one upstream with restrictions, as listed at UpstreamsPath.
type RestrictedUpstream struct {
	Upstream    string   `json:"upstream"`
	Service     string   `json:"service"`
	Draining    bool     `json:"leaving"`
	Limit       *float64 `json:"limit_per_s,omitempty"`    // requests per second from all hosts together; left out if there is no limit
	Brittle     *int     `json:"refusals_per_s,omitempty"` // refusals a second that a brittle upstream stands; left out if it is not brittle
	BackoffMs   int64    `json:"rest_ms"`                  // time until it accepts requests of this host again
	InSlowStart bool     `json:"slow_start"`               // the request rate rises gradually after a backoff
	SinceMs     int64    `json:"since_ms"`                 // time since the limit or the draining was first observed; 0 if never
	Source      string   `json:"source"`                   // which source reported the limit or the draining
}

// addUpstreamsPage adds the page of upstreams with restrictions to e.
func (h *Host) addUpstreamsPage(e *echo.Echo) {
	e.GET(UpstreamsPath, func(c *echo.Context) error {
		out := []RestrictedUpstream{}
		now := time.Now()
		for _, a := range h.fleet.Restrictions() {
			u := RestrictedUpstream{Upstream: a.Upstream, Service: a.Service, Draining: a.Draining, BackoffMs: a.Backoff.Milliseconds(), InSlowStart: a.InSlowStart, Source: a.Source}
			if a.Limit.Stated {
				u.Limit = &a.Limit.PerSecond
			}
			if a.Brittle.Stated {
				u.Brittle = &a.Brittle.Refusals
			}
			if !a.SignalledAt.IsZero() {
				u.SinceMs = now.Sub(a.SignalledAt).Milliseconds()
			}
			out = append(out, u)
		}
		return c.JSON(http.StatusOK, out)
	})
}
