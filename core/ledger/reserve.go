package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// The reasons for which a reservation is refused.
var (
	ErrNoRoom             = errors.New("no room in accelerator memory")
	ErrNoReport           = errors.New("no report seen of the upstream")
	ErrOldEpoch           = errors.New("a planner of a later epoch holds the row")
	ErrTooManyUnconfirmed = errors.New("too many orders in doubt")
	ErrNoBase             = errors.New("the adapter's base model is not resident")
	ErrAdaptersResident   = errors.New("adapters of the model are resident")
	ErrNotResident        = errors.New("the thing is not resident")
	ErrMayBeResident      = errors.New("the thing is or may become resident")
	ErrPastWindow         = errors.New("the window for sending the order has passed")
)

// Change is what a planner wants an upstream to do.
type Change struct {
	Kind     Kind // Load or Unload
	Artifact Artifact
	MemoryMB int // of a load
}

// Reserve enters an order into the books before it is sent. The order's fence
// rises with every order of the upstream, over all planners: an engine that
// checks it will not begin an order after one that followed it, even when both
// come from one planner.
func (r Row) Reserve(now time.Time, b Bounds, epoch uint64, op string, change Change) (Row, Charge, error) {
	if err := r.checkChange(epoch, change); err != nil {
		return r, Charge{}, fmt.Errorf("%s %v on %s: %w", change.Kind, change.Artifact, r.Upstream, err)
	}
	next := r.clone()
	next.Epoch = epoch
	next.Fence = max(r.Fence+1, epoch<<fenceBits)
	charge := Charge{Artifact: change.Artifact, Kind: change.Kind, MemoryMB: change.MemoryMB, Op: op, Incarnation: r.Incarnation(), Fence: next.Fence,
		SendBy: now.Add(b.SendWindow), Until: now.Add(b.orderExpiry())}
	if change.Kind == Unload {
		charge.MemoryMB = 0
	}
	next.Charges = append(next.Charges, charge)
	return next, charge, nil
}

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

func (r Row) checkLoad(change Change) error {
	if change.Artifact.Adapter != "" && !r.isBaseReady(change.Artifact.Model) {
		return ErrNoBase
	}
	// The engine would hold both copies until the last request on the old one
	// has ended, and the books count a thing once: one would notice an engine
	// over its memory right after a model came back to where it had just left.
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

// CanUnload says whether the thing is resident and nothing on top of it is or
// may become so.
func (r Row) CanUnload(a Artifact) bool { return r.checkUnload(a) == nil }

// checkUnload keeps a base model while adapters of it are or may become
// resident: what an engine does with them is not known.
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

func (r Row) isBaseReady(model string) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Model == model && m.Adapter == "" && m.State == Ready && !r.HasUnconfirmed(m.Artifact, Unload)
	})
}

// hasOtherBase says whether another version of the base model stays.
func (r Row) hasOtherBase(a Artifact) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Model == a.Model && m.Adapter == "" && m.Version != a.Version && r.IsConfirmedReady(m.Artifact)
	})
}

// CheckSendWindow says whether the order may still be sent. Past its window it never
// is: the time for which the books hold it in doubt counts from there.
func (c Charge) CheckSendWindow(now time.Time) error {
	if now.After(c.SendBy) {
		return ErrPastWindow
	}
	return nil
}
