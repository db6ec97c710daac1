package host

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// UpstreamSpeed says how long work takes at an upstream, in percent of the usual time of
// its service.
type UpstreamSpeed struct {
	Upstream  string `json:"upstream"`
	Service   string `json:"service"`
	Expected  int    `json:"expected_percent"` // by which requests are sent there
	Learnt    int    `json:"learnt_percent"`   // from the times of its answers, at the coordinator
	Stated    int    `json:"stated_percent"`   // last stated by the upstream; 0: it states none
	StatedAge int64  `json:"stated_age_ms"`
}

// upstreamSpeeds returns the upstreams that are known to differ from the others of their
// service, the slowest first.
func (h *Host) upstreamSpeeds(now time.Time) []UpstreamSpeed {
	var out []UpstreamSpeed
	for _, e := range h.fleet.All() {
		s := e.Speed(now)
		if s.Expected == 1 {
			continue
		}
		out = append(out, UpstreamSpeed{e.ID(), e.Service(), percent(s.Expected), percent(s.Learnt), percent(s.Stated), s.StatedAge.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b UpstreamSpeed) int {
		return cmp.Or(cmp.Compare(b.Expected, a.Expected), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

func percent(multiple float64) int { return int(math.Round(100 * multiple)) }
