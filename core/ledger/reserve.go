package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// The reasons for which a reservation is refused.
var (
	ErrNoRoom     = errors.New("no room in accelerator memory")
	ErrNoReport   = errors.New("no report seen of the upstream")
	ErrOldEpoch   = errors.New("a planner of a later epoch holds the row")
	ErrInDoubt    = errors.New("too many orders in doubt")
	ErrNoBase     = errors.New("the adapter's base model is not resident")
	ErrAdapters   = errors.New("adapters of the model are resident")
	ErrNotHeld    = errors.New("the thing is not resident")
	ErrHeld       = errors.New("the thing is or may become resident")
	ErrPastWindow = errors.New("the window for sending the order has passed")
)

// Want is what a planner wants an upstream to do.
type Want struct {
	Kind     Kind // Load or Unload
	Thing    Thing
	MemoryMB int // of a load
}

// Reserve enters an order into the books before it is sent. The order's fence
// rises with every order of the upstream, over all planners: an engine that
// checks it will not begin an order after one that followed it, even when both
// come from one planner.
func (r Row) Reserve(now time.Time, b Bounds, epoch uint64, op string, w Want) (Row, Charge, error) {
	if err := r.allows(epoch, w); err != nil {
		return r, Charge{}, fmt.Errorf("%s %v on %s: %w", w.Kind, w.Thing, r.Upstream, err)
	}
	next := r.clone()
	next.Epoch = epoch
	next.Fence = max(r.Fence+1, epoch<<fenceBits)
	c := Charge{Thing: w.Thing, Kind: w.Kind, MemoryMB: w.MemoryMB, Op: op, For: r.Incarnation(), Fence: next.Fence,
		SendBy: now.Add(b.SendWindow), Until: now.Add(b.settleLoad())}
	if w.Kind == Unload {
		c.MemoryMB = 0
	}
	next.Charges = append(next.Charges, c)
	return next, c, nil
}

func (r Row) allows(epoch uint64, w Want) error {
	switch {
	case epoch < r.Epoch:
		return ErrOldEpoch
	case len(r.Seen) == 0:
		return ErrNoReport
	case len(r.Charges) >= maxCharges:
		return ErrInDoubt
	case w.Kind == Unload:
		return r.allowsUnload(w.Thing)
	default:
		return r.allowsLoad(w)
	}
}

func (r Row) allowsLoad(w Want) error {
	if w.Thing.Adapter != "" && !r.baseResident(w.Thing.Model) {
		return ErrNoBase
	}
	// The engine would hold both copies until the last request on the old one
	// has ended, and the books count a thing once: one would notice an engine
	// over its memory right after a model came back to where it had just left.
	if r.Going(w.Thing) {
		return ErrHeld
	}
	next := r
	next.Charges = append(slices.Clone(r.Charges), Charge{Thing: w.Thing, Kind: Load, MemoryMB: w.MemoryMB})
	if next.CommittedMB() > r.CapacityMB {
		return ErrNoRoom
	}
	return nil
}

// CanUnload says whether the thing is resident and nothing on top of it is or
// may become so.
func (r Row) CanUnload(t Thing) bool { return r.allowsUnload(t) == nil }

// allowsUnload keeps a base model while adapters of it are or may become
// resident: what an engine does with them is not known.
func (r Row) allowsUnload(t Thing) error {
	held := slices.ContainsFunc(r.Residents, func(m Resident) bool { return m.Thing == t })
	if !held {
		return ErrNotHeld
	}
	if t.Adapter != "" {
		return nil
	}
	for _, other := range r.things() {
		if other.isAdapterOf(t.Model) && !r.otherBase(t) {
			return ErrAdapters
		}
	}
	return nil
}

func (r Row) baseResident(model string) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Model == model && m.Adapter == "" && m.State == Ready && !r.Doubted(m.Thing, Unload)
	})
}

// otherBase says whether another version of the base model stays.
func (r Row) otherBase(t Thing) bool {
	return slices.ContainsFunc(r.Residents, func(m Resident) bool {
		return m.Model == t.Model && m.Adapter == "" && m.Version != t.Version && r.Firm(m.Thing)
	})
}

// Sendable says whether the order may still be sent. Past its window it never
// is: the time for which the books hold it in doubt counts from there.
func (c Charge) Sendable(now time.Time) error {
	if now.After(c.SendBy) {
		return ErrPastWindow
	}
	return nil
}
