package host

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"peridotpier.example/core/poison"
)

// QuarantinePath is the path where a host lists suspected and barred requests. DELETE of
// a digest below it ends a bar.
const QuarantinePath = "/quarantine"

// QuarantinedRequest is one request, or part of prompts, that is suspected of crashing
// upstreams, or barred because of it, as listed at QuarantinePath.
type QuarantinedRequest struct {
	Content string `json:"content"` // digest of the request or the part, as in logs
	Place   uint8  `json:"place"`   // of a part in its prompts, from 1; 0: a request
	State   string `json:"state"`   // suspected or barred
	ForMs   int64  `json:"for_ms"`  // time until the bar ends
	Crashes int    `json:"crashes"` // recent crashes of upstreams while the request ran there
	Bars    int    `json:"bars"`    // how often it was barred
}

// addQuarantinePage adds the page of quarantined requests to e.
func (h *Host) addQuarantinePage(e *echo.Echo) {
	e.GET(QuarantinePath, func(c *echo.Context) error {
		out := []QuarantinedRequest{}
		now := time.Now()
		for _, x := range h.guard.Entries() {
			out = append(out, QuarantinedRequest{Content: x.Digest.String(), Place: x.Place, State: x.State.String(), ForMs: max(x.BarredUntil.Sub(now), 0).Milliseconds(),
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
