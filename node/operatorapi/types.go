package operatorapi

import (
	"encoding/json"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/query"
)

// Status is the state of one host.
type Status struct {
	Host             string          `json:"host"`
	DataCentre       string          `json:"data_centre"`
	Incarnation      string          `json:"incarnation"`
	Ready            bool            `json:"ready"`
	Draining         bool            `json:"draining"`
	Version          uint64          `json:"version"` // of the configuration in force here; 0 if there is none
	Preset           string          `json:"preset"`
	Freshness        string          `json:"standing"` // "confirmed", "unconfirmed" or "urgent_only"
	InFlight         int             `json:"in_flight"`
	Upstreams        []Upstream      `json:"upstreams"`
	Peers            []Peer          `json:"peers"`
	Leases           []Lease         `json:"leases"`
	UnresolvedClaims int             `json:"unsettled_claims"` // outcomes of claims not yet written to the platform
	Metrics          json.RawMessage `json:"-"`
	UptimeSeconds    float64         `json:"uptime_s"`
}

// Upstream is the state of one upstream as this host knows it.
type Upstream struct {
	Name        string   `json:"name"`
	Pool        string   `json:"pool"`
	DataCentre  string   `json:"data_centre"`
	Incarnation string   `json:"incarnation"`
	Draining    bool     `json:"leaving"`
	Down        bool     `json:"down"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	ReportAgeMs int64    `json:"report_age_ms"`
	Ready       []string `json:"ready"` // models and adapters that can serve requests
}

// Peer is the state of one entry host as this host knows it.
type Peer struct {
	Host        string `json:"host"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Linked      bool   `json:"linked"`
}

// Lease is one lease that this host holds or campaigns for.
type Lease struct {
	Name  string `json:"name"`
	Held  bool   `json:"held"`
	Epoch uint64 `json:"epoch"`
}

// Rollout lists the hosts that have confirmed a configuration version, and those
// that have not.
type Rollout struct {
	Version uint64              `json:"version"`
	Hosts   []query.HostVersion `json:"hosts"`
	Waiting []query.HostVersion `json:"waiting"` // live hosts that have not confirmed it
}

// Applied is the answer to an accepted change.
type Applied struct {
	Head revision.Head `json:"head"`
}

// Configuration is the configuration document in force with its head.
type Configuration struct {
	Head     revision.Head   `json:"head"`
	Document json.RawMessage `json:"document"`
}

// Presets lists the presets and the one in force.
type Presets struct {
	Version uint64          `json:"version"`
	InForce string          `json:"in_force"`
	Presets []config.Preset `json:"presets"`
}

// Move is one change of placement that a switch of preset would make.
type Move struct {
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
	Upstream string `json:"upstream"`
	Reason   string `json:"reason,omitempty"`
}

// DryRun is a forecast of what a switch of preset would do.
type DryRun struct {
	Preset    string        `json:"preset"`
	Moves     []Move        `json:"moves"`
	Bound     time.Duration `json:"bound_ns"` // time within which the moves are done
	Converged bool          `json:"at_rest"`  // nothing more would move after these moves, at the present demand
	Pools     int           `json:"pools"`    // number of pools that answered
}

// Add adds the forecast of other pools. Pools move in parallel, within the limits
// of the weight store. Each bound counts those limits for its own pool only, so
// the sum of the bounds holds for all of them.
func (d *DryRun) Add(o DryRun) {
	d.Converged = (d.Converged || d.Pools == 0) && o.Converged
	d.Pools += max(o.Pools, 1)
	d.Moves = append(d.Moves, o.Moves...)
	d.Bound += o.Bound
}

// AuditPage is one page of the audit trail. Next is the parameter `before` of the
// next page, or 0 at the end.
type AuditPage struct {
	Entries []revision.Entry `json:"entries"`
	Next    uint64           `json:"next"`
}

// RequestList lists the live requests of this host.
type RequestList struct {
	Requests []inflight.Request `json:"requests"`
}

// Problem is the body of an error answer to an operator.
type Problem struct {
	Code    string         `json:"code"`
	Message string         `json:"message"`
	Outcome string         `json:"outcome,omitempty"` // "unknown" if the change may have taken effect
	Faults  []config.Fault `json:"faults,omitempty"`
}
