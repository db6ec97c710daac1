package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// The errors of a refused reservation, and of an order past its send window.
var (
	ErrNoRoom             = errors.New("no room in accelerator memory")
	ErrNoReport           = errors.New("no report received from the upstream")
	ErrOldEpoch           = errors.New("a planner of a later epoch owns the row")
	ErrTooManyUnconfirmed = errors.New("too many unconfirmed orders")
	ErrNoBase             = errors.New("the adapter's base model is not resident")
	ErrAdaptersResident   = errors.New("adapters of the model are resident")
	ErrNotResident        = errors.New("the artifact is not resident")
	ErrMayBeResident      = errors.New("the artifact is or may become resident")
	ErrPastWindow         = errors.New("the window for sending the order has passed")
)

// Change is a load or unload that a planner requests at an upstream.
type Change struct {
	Kind     Kind // Load or Unload
	Artifact Artifact
	MemoryMB int // size of what is loaded
}

// Reserve charges an order to the row before it is sent, and fails with one of the
// errors above if that is not allowed. The order's fence increases with every
// order to the upstream, over all planners: an engine that checks fences does not
// begin an order after one that followed it, even when both come from one planner.
func (r Row) Reserve(now time.Time, b Bounds, epoch uint64, op string, change Change) (Row, Charge, error) {
	if err := r.checkChange(epoch, change); err != nil {
		return r, Charge{}, fmt.Errorf("%s %v on %s: %w", change.Kind, change.Artifact, r.Upstream, err)
	}
	next := r.clone()
	next.Epoch = epoch
	next.Fence = max(r.Fence+1, epoch<<fenceBits)
	charge := Charge{Artifact: change.Artifact, Kind: change.Kind, MemoryMB: change.MemoryMB, Op: op, Incarnation: r.Incarnation(), Fence: next.Fence,
		SendBy: now.Add(b.SendWindow), Until: now.Add(b.OrderExpiry())}
	if change.Kind == Unload {
		charge.MemoryMB = 0
	}
	next.Charges = append(next.Charges, charge)
	return next, charge, nil
}

// checkChange returns the reason why a change is not allowed; nil: it is allowed.
func (r Row) checkChange(epoch uint64, change Change) error {
	switch {
	case epoch < r.Epoch:
		return ErrOldEpoch
	case len(r.LastReports) == 0:
		return ErrNoReport
	case len(r.Charges) >= maxCharges:
		return ErrTooManyUnconfirmed
	case change.Kind == Unload:
		return r.checkUnload(change.Artifact)
	default:
		return r.checkLoad(change)
	}
}

// checkLoad returns the reason why a load is not allowed; nil: it is allowed.
func (r Row) checkLoad(change Change) error {
	if change.Artifact.Adapter != "" && !r.isBaseReady(change.Artifact.Model) {
		return ErrNoBase
	}
	// The engine would hold both copies until the last request on the old one
	// has ended, while the ledger counts an artifact once: the engine would
	// exceed its memory right after the model was loaded again.
	if r.MayBeUnloading(change.Artifact) {
		return ErrMayBeResident
	}
	next := r
	next.Charges = append(slices.Clone(r.Charges), Charge{Artifact: change.Artifact, Kind: Load, MemoryMB: change.MemoryMB})
	if next.CommittedMB() > r.CapacityMB {
		return ErrNoRoom
	}
	return nil
}

// CanUnload reports whether the artifact is resident and no adapter on top of it
// is or may become resident.
func (r Row) CanUnload(a Artifact) bool { return r.checkUnload(a) == nil }

// checkUnload refuses to unload a base model while adapters of it are or may
// become resident: how an engine treats them then is not known.
func (r Row) checkUnload(a Artifact) error {
	resident := slices.ContainsFunc(r.Residents, func(m Resident) bool { return m.Artifact == a })
	if !resident {
		return ErrNotResident
	}
	if a.Adapter != "" {
		return nil
	}
	for _, other := range r.artifacts() {
		if other.isAdapterOf(a.Model) && !r.hasOtherBase(a) {
			return ErrAdaptersResident
		}
	}
	return nil
}

// isBaseReady reports whether a version of the base model is ready and not about
// to be unloaded.
func (r Row) isBaseReady(model string) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Model == model && m.Adapter == "" && m.State == Ready && !r.HasUnconfirmed(m.Artifact, Unload)
	})
}

// hasOtherBase reports whether another version of the base model stays resident.
func (r Row) hasOtherBase(a Artifact) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Model == a.Model && m.Adapter == "" && m.Version != a.Version && r.IsConfirmedReady(m.Artifact)
	})
}

// CheckSendWindow returns ErrPastWindow if the order must not be sent any more:
// the time for which the ledger keeps it as unconfirmed counts from the end of its
// window.
func (c Charge) CheckSendWindow(now time.Time) error {
	if now.After(c.SendBy) {
		return ErrPastWindow
	}
	return nil
}
