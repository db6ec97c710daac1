package host

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
)

// UpstreamsPath is where a host lists the upstreams that ask for something on their answers.
const UpstreamsPath = "/upstreams"

// RestrictedUpstream is one of them, as the page has it.
type RestrictedUpstream struct {
	Upstream    string   `json:"upstream"`
	Service     string   `json:"service"`
	Draining    bool     `json:"leaving"`
	Limit       *float64 `json:"limit_per_s,omitempty"` // requests from all hosts together; left out: none
	BackoffMs   int64    `json:"rest_ms"`               // until it takes something of this host again
	InSlowStart bool     `json:"slow_start"`            // after a rest requests come back little by little
	SinceMs     int64    `json:"since_ms"`              // since limit or leaving was heard of first; 0: never
	Source      string   `json:"source"`                // who heard that
}

// addUpstreamsPage adds the page to e.
func (h *Host) addUpstreamsPage(e *echo.Echo) {
	e.GET(UpstreamsPath, func(c *echo.Context) error {
		out := []RestrictedUpstream{}
		now := time.Now()
		for _, a := range h.fleet.Restrictions() {
			u := RestrictedUpstream{Upstream: a.Upstream, Service: a.Service, Draining: a.Draining, BackoffMs: a.Backoff.Milliseconds(), InSlowStart: a.InSlowStart, Source: a.Source}
			if a.Limit.Stated {
				u.Limit = &a.Limit.PerSecond
			}
			if !a.SignalledAt.IsZero() {
				u.SinceMs = now.Sub(a.SignalledAt).Milliseconds()
			}
			out = append(out, u)
		}
		return c.JSON(http.StatusOK, out)
	})
}
