// Package ledger accounts for accelerator memory: it has a row per upstream with
// what the reports of the upstream confirm and what unconfirmed orders may still
// make resident. The sum never exceeds the capacity. The package does no I/O: each
// method takes a row and returns the next one, which node/planner commits before
// it acts on it.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"peridotpier.example/core/config"
)

// Artifact is what takes memory: one version of a model, or of an adapter.
type Artifact struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
}

// isAdapterOf reports whether the artifact is an adapter of the model, in any
// version.
func (a Artifact) isAdapterOf(model string) bool { return a.Adapter != "" && a.Model == model }

// State is the state of a resident as its engine reports it.
type State string

// The states of a resident, as in the engine protocol.
const (
	Loading   State = "loading"
	Ready     State = "ready"
	Unloading State = "unloading"
)

// Resident is an artifact that a report shows in memory.
type Resident struct {
	Artifact
	State    State `json:"state"`
	MemoryMB int   `json:"mb"`
}

// Kind is the kind of a charge.
type Kind string

// The kinds of a charge.
const (
	Load    Kind = "load"    // an order that may still make the artifact resident
	Unload  Kind = "unload"  // an order that may still unload the artifact; takes no memory
	Carried Kind = "carried" // resident in an earlier incarnation that may still be the live one
)

// Charge is memory that is reserved until a report resolves whether it is used, or
// an unload whose effect no report has resolved yet.
type Charge struct {
	Artifact
	Kind        Kind      `json:"kind"`
	MemoryMB    int       `json:"mb,omitempty"`
	Op          string    `json:"op,omitempty"`
	Incarnation string    `json:"for,omitempty"` // incarnation that the order is for
	Fence       uint64    `json:"fence,omitempty"`
	SendBy      time.Time `json:"send_by"` // the order must not be sent after this time
	Until       time.Time `json:"until"`   // a report received at or after this time resolves the charge
}

// LastReport identifies the newest known report of one incarnation.
type LastReport struct {
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// Row is the account of one upstream.
type Row struct {
	Upstream    string         `json:"upstream"`
	CapacityMB  int            `json:"capacity_mb"`
	Fencing     config.Fencing `json:"fencing"`
	Epoch       uint64         `json:"epoch"`          // of the planner that made the last reservation
	Fence       uint64         `json:"fence"`          // of the newest order
	LastReports []LastReport   `json:"seen,omitempty"` // newest incarnation last
	OverheadMB  int            `json:"overhead_mb,omitempty"`
	Residents   []Resident     `json:"residents,omitempty"`
	Charges     []Charge       `json:"charges,omitempty"`
}

// Bounds are the times that the ledger assumes. docs/design/ledger.md says where
// each comes from.
type Bounds struct {
	SendWindow   time.Duration // from the reservation to the last time that its order is sent
	MaxInFlight  time.Duration // from sending an order to the last moment that an engine may begin it
	MaxReportAge time.Duration // maximum age of a report when it is received
	MaxClockSkew time.Duration // between the clocks of two hosts
}

// DefaultBounds returns the bounds that apply unless a site configures others.
func DefaultBounds() Bounds {
	return Bounds{SendWindow: 10 * time.Second, MaxInFlight: 90 * time.Second, MaxReportAge: 60 * time.Second, MaxClockSkew: 5 * time.Second}
}

// OrderExpiry returns how long after its reservation an order stays unconfirmed
// unless a fence or a report resolves it.
func (b Bounds) OrderExpiry() time.Duration {
	return b.SendWindow + b.MaxInFlight + b.MaxReportAge + b.MaxClockSkew
}

// carriedExpiry returns how long what a former incarnation had resident stays
// charged.
func (b Bounds) carriedExpiry() time.Duration { return b.MaxReportAge + b.MaxClockSkew }

// Sizes of a row and its fences.
const (
	fenceBits       = 24 // orders of one planner epoch: 16 million
	maxCharges      = 32 // keeps a row small; with more unconfirmed orders the planner must wait
	maxIncarnations = 8  // incarnations whose last report is kept
)

// New returns the row of an upstream of which nothing is known. Nothing can be
// reserved on it before its first report.
func New(upstream string, capacityMB int, fencing config.Fencing) Row {
	return Row{Upstream: upstream, CapacityMB: capacityMB, Fencing: fencing}
}

// Incarnation returns the newest incarnation seen; empty before the first report.
func (r Row) Incarnation() string {
	if len(r.LastReports) == 0 {
		return ""
	}
	return r.LastReports[len(r.LastReports)-1].Incarnation
}

// CommittedMB returns the most memory that may be in use, now or after any
// unconfirmed order. An artifact that is both resident and charged counts once.
func (r Row) CommittedMB() int {
	sum := r.OverheadMB
	for _, m := range r.artifacts() {
		sum += m.mb
	}
	return sum
}

// FreeMB returns the memory that may still be reserved; never below zero.
func (r Row) FreeMB() int { return max(r.CapacityMB-r.CommittedMB(), 0) }

// sizedArtifact is an artifact with its size.
type sizedArtifact struct {
	Artifact
	mb int
}

// artifacts returns each artifact that may be in memory, once, at its largest
// size.
func (r Row) artifacts() []sizedArtifact {
	out := make([]sizedArtifact, 0, len(r.Residents)+len(r.Charges))
	add := func(a Artifact, mb int) {
		for i := range out {
			if out[i].Artifact == a {
				out[i].mb = max(out[i].mb, mb)
				return
			}
		}
		out = append(out, sizedArtifact{a, mb})
	}
	for _, m := range r.Residents {
		add(m.Artifact, m.MemoryMB)
	}
	for _, c := range r.Charges {
		if c.Kind != Unload {
			add(c.Artifact, c.MemoryMB)
		}
	}
	return out
}

// MayBeResident reports whether the artifact is or may become resident.
func (r Row) MayBeResident(a Artifact) bool {
	for i := range r.Residents {
		if r.Residents[i].Artifact == a {
			return true
		}
	}
	for i := range r.Charges {
		if r.Charges[i].Kind != Unload && r.Charges[i].Artifact == a {
			return true
		}
	}
	return false
}

// IsConfirmedReady reports whether the artifact was reported ready and no
// unconfirmed order may still unload it. Only such a replica allows another one to
// be unloaded.
func (r Row) IsConfirmedReady(a Artifact) bool {
	ready := slices.ContainsFunc(r.Residents, func(m Resident) bool { return m.Artifact == a && m.State == Ready })
	return ready && !r.HasUnconfirmed(a, Unload)
}

// MayBeUnloading reports whether the artifact is resident and is being unloaded,
// or may be about to be.
func (r Row) MayBeUnloading(a Artifact) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Artifact == a && (m.State == Unloading || r.HasUnconfirmed(a, Unload))
	})
}

// HasUnconfirmed reports whether an order of the kind for the artifact is
// unconfirmed.
func (r Row) HasUnconfirmed(a Artifact, k Kind) bool {
	return slices.ContainsFunc(r.Charges, func(c Charge) bool { return c.Kind == k && c.Artifact == a })
}

// clone copies the slices that the next row will change, so that the former row
// stays as it was committed.
func (r Row) clone() Row {
	r.LastReports, r.Residents, r.Charges = slices.Clone(r.LastReports), slices.Clone(r.Residents), slices.Clone(r.Charges)
	return r
}

// compareResidents orders residents by model, adapter and version.
func compareResidents(a, b Resident) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
