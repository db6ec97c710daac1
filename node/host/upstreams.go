package host

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
)

// UpstreamsPath is where a host lists the upstreams that ask for something on their answers.
const UpstreamsPath = "/upstreams"

// AskingUpstream is one of them, as the page has it.
type AskingUpstream struct {
	Upstream string   `json:"upstream"`
	Service  string   `json:"service"`
	Leaving  bool     `json:"leaving"`
	Limit    *float64 `json:"limit_per_s,omitempty"` // requests from all hosts together; left out: none
	RestMs   int64    `json:"rest_ms"`               // until it takes something of this host again
	Starting bool     `json:"slow_start"`            // after a rest requests come back little by little
	SinceMs  int64    `json:"since_ms"`              // since limit or leaving was heard of first; 0: never
	Source   string   `json:"source"`                // who heard that
}

// upstreams adds the page to e.
func (h *Host) upstreams(e *echo.Echo) {
	e.GET(UpstreamsPath, func(c *echo.Context) error {
		out := []AskingUpstream{}
		now := time.Now()
		for _, a := range h.fleet.Restrictions() {
			u := AskingUpstream{Upstream: a.Upstream, Service: a.Service, Leaving: a.Draining, RestMs: a.Backoff.Milliseconds(), Starting: a.InSlowStart, Source: a.Source}
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
