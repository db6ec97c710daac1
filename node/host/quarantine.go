package host

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"peridotpier.example/core/poison"
)

// QuarantinePath is where a host lists what is held against requests, and below
// which a bar is ended by DELETE and the digest.
const QuarantinePath = "/quarantine"

// QuarantinedRequest is one request that is suspected of ending upstreams, or barred for
// it, as the page has it.
type QuarantinedRequest struct {
	Content string `json:"content"` // digest, as logs have it
	State   string `json:"state"`   // suspected or barred
	ForMs   int64  `json:"for_ms"`  // until the bar ends
	Crashes int    `json:"crashes"` // upstreams that ended while it ran there, lately
	Bars    int    `json:"bars"`    // how often it was barred
}

// addQuarantinePage adds the page to e.
func (h *Host) addQuarantinePage(e *echo.Echo) {
	e.GET(QuarantinePath, func(c *echo.Context) error {
		out := []QuarantinedRequest{}
		now := time.Now()
		for _, x := range h.guard.Entries() {
			out = append(out, QuarantinedRequest{Content: x.Digest.String(), State: x.State.String(), ForMs: max(x.BarredUntil.Sub(now), 0).Milliseconds(),
				Crashes: x.CrashCount, Bars: x.BarCount})
		}
		return c.JSON(http.StatusOK, out)
	})
	e.DELETE(QuarantinePath+"/:digest", func(c *echo.Context) error {
		d, err := poison.ParseDigest(c.Param("digest"))
		if err != nil {
			return c.String(http.StatusBadRequest, err.Error()+"\n")
		}
		if !h.guard.Release(d) {
			return c.String(http.StatusNotFound, "not barred\n")
		}
		return c.NoContent(http.StatusNoContent)
	})
}
