package host

import (
	"net/http"

	"github.com/labstack/echo/v5"
)

// readinessPage shows the load balancer whether to send callers to this host.
func (h *Host) readinessPage() http.Handler {
	e := echo.New()
	e.GET("/*", func(c *echo.Context) error {
		if !h.isReady() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

// metricsPage serves the counters and histograms, one on each line, and the pages of
// quarantined requests, of upstreams with restrictions and of this host's status.
func (h *Host) metricsPage() http.Handler {
	e := echo.New()
	e.GET("/metrics", func(c *echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
		h.deps.Metrics.WriteText(c.Response())
		return nil
	})
	h.addQuarantinePage(e)
	h.addUpstreamsPage(e)
	h.addStatusPage(e)
	return e
}
