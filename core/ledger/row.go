// Package ledger keeps the books of accelerator memory: a row per upstream
// with what its reports confirm and what orders in doubt might still make
// resident. The sum never exceeds the capacity. It does no I/O: each method
// takes a row and gives back the next one, which node/planner commits before
// it acts.
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

// isAdapterOf says whether the thing is an adapter of the model, in any version.
func (a Artifact) isAdapterOf(model string) bool { return a.Adapter != "" && a.Model == model }

// State is the state of a resident as its engine reports it.
type State string

// The states; they equal those of the engine protocol.
const (
	Loading   State = "loading"
	Ready     State = "ready"
	Unloading State = "unloading"
)

// Resident is what a report shows in memory.
type Resident struct {
	Artifact
	State    State `json:"state"`
	MemoryMB int   `json:"mb"`
}

// Kind says what a charge stands for.
type Kind string

// The kinds of charge.
const (
	Load    Kind = "load"    // an order that may still make the thing resident
	Unload  Kind = "unload"  // an order that may still make it go; takes no memory
	Carried Kind = "carried" // resident in an earlier incarnation that may still be the live one
)

// Charge is memory, or doubt about it, that no report has settled yet.
type Charge struct {
	Artifact
	Kind        Kind      `json:"kind"`
	MemoryMB    int       `json:"mb,omitempty"`
	Op          string    `json:"op,omitempty"`
	Incarnation string    `json:"for,omitempty"` // the incarnation that the order is for
	Fence       uint64    `json:"fence,omitempty"`
	SendBy      time.Time `json:"send_by"` // after it the order must not be sent any more
	Until       time.Time `json:"until"`   // a report read after it settles the charge
}

// LastReport is the newest report known of one incarnation.
type LastReport struct {
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// Row is the books of one upstream.
type Row struct {
	Upstream    string         `json:"upstream"`
	CapacityMB  int            `json:"capacity_mb"`
	Fencing     config.Fencing `json:"fencing"`
	Epoch       uint64         `json:"epoch"`          // of the planner that last reserved
	Fence       uint64         `json:"fence"`          // of the newest order
	LastReports []LastReport   `json:"seen,omitempty"` // newest incarnation last
	OverheadMB  int            `json:"overhead_mb,omitempty"`
	Residents   []Resident     `json:"residents,omitempty"`
	Charges     []Charge       `json:"charges,omitempty"`
}

// Bounds are what the books assume of the world. docs/design/ledger.md says
// where each comes from.
type Bounds struct {
	SendWindow   time.Duration // from the reservation to the last sending of its order
	MaxInFlight  time.Duration // from sending an order to the last moment that an engine may begin it
	MaxReportAge time.Duration // greatest age of a report when it is read
	MaxClockSkew time.Duration // between the clocks of two hosts
}

// DefaultBounds are in force unless a site says otherwise.
func DefaultBounds() Bounds {
	return Bounds{SendWindow: 10 * time.Second, MaxInFlight: 90 * time.Second, MaxReportAge: 60 * time.Second, MaxClockSkew: 5 * time.Second}
}

// orderExpiry is how long after its reservation an order is in doubt unless a
// fence or a report settles it.
func (b Bounds) orderExpiry() time.Duration {
	return b.SendWindow + b.MaxInFlight + b.MaxReportAge + b.MaxClockSkew
}

func (b Bounds) carriedExpiry() time.Duration { return b.MaxReportAge + b.MaxClockSkew }

// Sizes of a row.
const (
	fenceBits       = 24 // orders of one planner epoch: 16 million
	maxCharges      = 32 // keeps a row small; more doubt than that means wait
	maxIncarnations = 8  // incarnations remembered
)

// New makes the row of an upstream of which nothing is known. Nothing may be
// reserved on it before its first report.
func New(upstream string, capacityMB int, fencing config.Fencing) Row {
	return Row{Upstream: upstream, CapacityMB: capacityMB, Fencing: fencing}
}

// Incarnation is the newest one seen.
func (r Row) Incarnation() string {
	if len(r.LastReports) == 0 {
		return ""
	}
	return r.LastReports[len(r.LastReports)-1].Incarnation
}

// CommittedMB is the most memory that may be taken, now or by any order still
// in doubt. A thing that is both resident and in doubt counts once.
func (r Row) CommittedMB() int {
	sum := r.OverheadMB
	for _, m := range r.artifacts() {
		sum += m.mb
	}
	return sum
}

// FreeMB is what may still be reserved; never below zero.
func (r Row) FreeMB() int { return max(r.CapacityMB-r.CommittedMB(), 0) }

type sizedArtifact struct {
	Artifact
	mb int
}

// artifacts lists each thing that may be in memory, once, at its largest size.
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

// MayBeResident says whether the thing is or may become resident.
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

// IsConfirmedReady says whether the thing was reported ready and no order in doubt may
// still take it away. Only a firm replica lets another be unloaded.
func (r Row) IsConfirmedReady(a Artifact) bool {
	ready := slices.ContainsFunc(r.Residents, func(m Resident) bool { return m.Artifact == a && m.State == Ready })
	return ready && !r.HasUnconfirmed(a, Unload)
}

// MayBeUnloading says whether the thing is resident and unloads, or may be about to.
func (r Row) MayBeUnloading(a Artifact) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Artifact == a && (m.State == Unloading || r.HasUnconfirmed(a, Unload))
	})
}

// HasUnconfirmed says whether an order of the kind for the thing is in doubt.
func (r Row) HasUnconfirmed(a Artifact, k Kind) bool {
	return slices.ContainsFunc(r.Charges, func(c Charge) bool { return c.Kind == k && c.Artifact == a })
}

// clone copies what the next row will change, so that the row before stays as
// it was committed.
func (r Row) clone() Row {
	r.LastReports, r.Residents, r.Charges = slices.Clone(r.LastReports), slices.Clone(r.Residents), slices.Clone(r.Charges)
	return r
}

func compareResidents(a, b Resident) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
