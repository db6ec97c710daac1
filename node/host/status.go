package host

import (
	"maps"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"peridotpier.example/node/coordinator/permits/queue"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/store"
)

// StatusPath is the path where a host shows its coordinator, the state that it uses and
// the counts of calls and bytes between hosts.
const StatusPath = "/status"

// Status is the content of the status page.
type Status struct {
	Host          string           `json:"host"`
	DataCentre    string           `json:"data_centre"`
	Ready         bool             `json:"ready"`
	Coordinator   string           `json:"coordinator"` // address of the acting coordinator; empty if none is known
	HoldsLease    bool             `json:"holds"`       // this host holds the lease
	Acting        bool             `json:"acts"`        // this host is the acting coordinator
	Hosts         int              `json:"hosts"`       // largest number of hosts that a coordinator reported; 0: none did
	ReportMs      int64            `json:"report_ms"`   // time between two reports of this host without changes
	Upstreams     int              `json:"upstreams"`
	PartitionedMs int64            `json:"upstreams_unreachable_ms"` // for how long this host has reached no upstream; 0: it reaches some
	PartitionedBy string           `json:"upstreams_unreachable_by"` // what raised the suspicion
	Detours       []string         `json:"detours"`                  // where other hosts forward this host's requests then
	StoreEra      uint64           `json:"store_era"`                // newest era of the store that this host has seen
	ListEra       uint64           `json:"list_era"`                 // era of the store that the list of upstreams corresponds to
	ListVersion   uint64           `json:"list_version"`             // and the version in it
	Configuration uint64           `json:"configuration"`
	Software      map[string]int   `json:"software"`         // upstreams by service and version of their software
	Streams       int              `json:"streams_known"`    // whose version this host knows
	TakenUp       map[string]int64 `json:"streams_taken_up"` // by callers, by what became of them
	Unproven      map[string]int64 `json:"answers_unproven"` // answers that are not proven to be the request's, by service and upstream, and by class of status and owner
	Speeds        []UpstreamSpeed  `json:"upstream_speeds"`  // upstreams that differ from the others of their service
	PeerCalls     map[string]int64 `json:"peer_calls"`       // calls of other hosts to this one, by kind
	PeerBytes     map[string]int64 `json:"peer_bytes"`       // bytes of reports to this host, and of its answers by field
	StoreCalls    map[string]int64 `json:"store_calls"`      // calls of this host to the store, by table and reason
	// Waiting describes the teams whose requests wait for a permit at this host, if it is the
	// acting coordinator, the longest queue first.
	Waiting []queue.TeamStatus `json:"waiting,omitempty"`
	Limits  TeamLimits         `json:"limits"`
	Places  Places             `json:"places"` // where models are and why
}

// softwareVersions counts the upstreams by service and version, as SERVICE VERSION.
func (h *Host) softwareVersions() map[string]int {
	out := map[string]int{}
	for _, e := range h.fleet.All() {
		out[e.Service()+" "+e.Software()]++
	}
	return out
}

// addStatusPage adds the status page to e.
func (h *Host) addStatusPage(e *echo.Echo) {
	e.GET(StatusPath, func(c *echo.Context) error {
		s := Status{Host: h.settings.Host, DataCentre: h.settings.DataCentre, Ready: h.isReady(), Coordinator: h.link.CoordinatorAddress(),
			HoldsLease: h.coord.HoldsLease(), Acting: h.coord.Acting(), Hosts: h.link.Hosts(), ReportMs: h.link.ReportPeriod().Milliseconds(),
			Upstreams: len(h.fleet.All()), StoreEra: h.deps.Platform.Eras.Newest(), ListEra: store.EraOf(h.feed.UpstreamsVersion()), ListVersion: store.NumberOf(h.feed.UpstreamsVersion()), PeerCalls: h.deps.Metrics.CountsByKind(metrics.PeerCalls),
			PeerBytes: h.deps.Metrics.CountsByKind(metrics.PeerBytes), StoreCalls: h.deps.Metrics.CountsByKind(metrics.StoreCalls)}
		s.Software, s.Streams, s.TakenUp = h.softwareVersions(), h.origins.Len(), h.deps.Metrics.CountsByKind(metrics.StreamsTakenUp)
		s.Unproven = h.deps.Metrics.CountsByUpstream(metrics.AnswersUnproven)
		maps.Copy(s.Unproven, h.deps.Metrics.CountsByKind(metrics.AnswersUnprovenKinds))
		s.Speeds = h.upstreamSpeeds(time.Now())
		s.Detours, s.Waiting = h.link.DetourHosts(), h.coord.Permits().Waiting()
		s.Places = h.places()
		s.Limits = h.teamLimits()
		if way := h.reach.Status(); !way.Since.IsZero() {
			s.PartitionedMs, s.PartitionedBy = max(time.Since(way.Since).Milliseconds(), 1), string(way.Cause)
		}
		if t := h.config.Current(); t != nil {
			s.Configuration = t.Config.Version
		}
		return c.JSON(http.StatusOK, s)
	})
}
