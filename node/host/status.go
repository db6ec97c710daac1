package host

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"peridotpier.example/node/metrics"
)

// StatusPath is where a host shows whom it goes by and what it and the others tell
// each other.
const StatusPath = "/status"

// Status is what the page has.
type Status struct {
	Host          string           `json:"host"`
	DataCentre    string           `json:"data_centre"`
	Ready         bool             `json:"ready"`
	Coordinator   string           `json:"coordinator"` // address of the host that acts for all; empty: none is known
	HoldsLease    bool             `json:"holds"`       // this host holds the lease
	Acting        bool             `json:"acts"`        // this host acts for all
	Hosts         int              `json:"hosts"`       // that share the allowance of repeats
	ReportMs      int64            `json:"report_ms"`   // between two reports of this host that bring nothing new
	Upstreams     int              `json:"upstreams"`
	ListVersion   uint64           `json:"list_version"` // of the store, that the list of upstreams is of
	Configuration uint64           `json:"configuration"`
	PeerCalls     map[string]int64 `json:"peer_calls"`  // that others made of this host, by kind
	PeerBytes     map[string]int64 `json:"peer_bytes"`  // of reports to this host, and of its answers by field
	StoreCalls    map[string]int64 `json:"store_calls"` // of this host, by table and reason
}

// addStatusPage adds the page to e.
func (h *Host) addStatusPage(e *echo.Echo) {
	e.GET(StatusPath, func(c *echo.Context) error {
		s := Status{Host: h.settings.Host, DataCentre: h.settings.DataCentre, Ready: h.isReady(), Coordinator: h.link.CoordinatorAddress(),
			HoldsLease: h.coord.HoldsLease(), Acting: h.coord.Acting(), Hosts: h.link.Hosts(), ReportMs: h.link.ReportPeriod().Milliseconds(),
			Upstreams: len(h.fleet.All()), ListVersion: h.feed.UpstreamsVersion(), PeerCalls: h.deps.Metrics.CountsByKind(metrics.PeerCalls),
			PeerBytes: h.deps.Metrics.CountsByKind(metrics.PeerBytes), StoreCalls: h.deps.Metrics.CountsByKind(metrics.StoreCalls)}
		if t := h.config.Current(); t != nil {
			s.Configuration = t.Config.Version
		}
		return c.JSON(http.StatusOK, s)
	})
}
