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
	Version          uint64          `json:"version"` // of the configuration in force here; 0: none
	Preset           string          `json:"preset"`
	Freshness        string          `json:"standing"` // "confirmed", "unconfirmed" or "urgent_only"
	InFlight         int             `json:"in_flight"`
	Upstreams        []Upstream      `json:"upstreams"`
	Peers            []Peer          `json:"peers"`
	Leases           []Lease         `json:"leases"`
	UnresolvedClaims int             `json:"unsettled_claims"` // ends of claims that wait for the platform
	Metrics          json.RawMessage `json:"-"`
	UptimeSeconds    float64         `json:"uptime_s"`
}

// Upstream is one upstream as this host sees it.
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
	Ready       []string `json:"ready"` // models and adapters that it can answer
}

// Peer is one entry host as this host sees it.
type Peer struct {
	Host        string `json:"host"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Linked      bool   `json:"linked"`
}

// Lease is one role that this host holds or wants.
type Lease struct {
	Name  string `json:"name"`
	Held  bool   `json:"held"`
	Epoch uint64 `json:"epoch"`
}

// Rollout tells where a version is in force.
type Rollout struct {
	Version uint64              `json:"version"`
	Hosts   []query.HostVersion `json:"hosts"`
	Waiting []query.HostVersion `json:"waiting"` // live hosts that have not confirmed it
}

// Applied is the answer to a change.
type Applied struct {
	Head revision.Head `json:"head"`
}

// Configuration is the document in force.
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

// Move is one change of placement that a switch would make.
type Move struct {
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
	Upstream string `json:"upstream"`
	Reason   string `json:"reason,omitempty"`
}

// DryRun is what a switch of preset would do.
type DryRun struct {
	Preset    string        `json:"preset"`
	Moves     []Move        `json:"moves"`
	Bound     time.Duration `json:"bound_ns"` // within which the moves are done
	Converged bool          `json:"at_rest"`  // whether nothing more would move after them, at the present demand
	Pools     int           `json:"pools"`    // that answered
}

// Add joins another pool's forecast. Pools move side by side, within the
// weight store's limits, which each bound counts for itself: their sum holds.
func (d *DryRun) Add(o DryRun) {
	d.Converged = (d.Converged || d.Pools == 0) && o.Converged
	d.Pools += max(o.Pools, 1)
	d.Moves = append(d.Moves, o.Moves...)
	d.Bound += o.Bound
}

// AuditPage is one page of the trail; Next is the `before` of the next one, 0 at the end.
type AuditPage struct {
	Entries []revision.Entry `json:"entries"`
	Next    uint64           `json:"next"`
}

// RequestList lists live requests of this host.
type RequestList struct {
	Requests []inflight.Request `json:"requests"`
}

// Problem is an error as operators get it.
type Problem struct {
	Code    string         `json:"code"`
	Message string         `json:"message"`
	Outcome string         `json:"outcome,omitempty"` // "unknown": it may have taken effect
	Faults  []config.Fault `json:"faults,omitempty"`
}
