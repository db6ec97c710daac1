package ledger

import (
	"slices"
	"time"

	"peridotpier.example/core/config"
)

// Report is an engine's own word on its memory.
type Report struct {
	Incarnation string
	Sequence    uint64
	Epoch       uint64 // highest fence that the engine has seen; 0 when it ignores them
	UsedMB      int
	Residents   []Resident
	Read        time.Time // when it was read here; it was taken up to Bounds.ReportAge before
}

// Observe settles what a report can settle. changed is false when the report
// tells nothing new, so that it costs no write.
//
// Only a report ends a charge, never an answer to an order: an order that was
// refused or lost may have a copy on its way.
func (r Row) Observe(b Bounds, rep Report) (next Row, changed bool) {
	if rep.Incarnation == "" || r.isStale(rep) {
		return r, false
	}
	next = r.clone()
	if former := r.Incarnation(); former != "" && former != rep.Incarnation {
		next.carryOver(rep.Read.Add(b.carriedExpiry()))
	}
	next.Residents = slices.Clone(rep.Residents)
	slices.SortFunc(next.Residents, compareResidents)
	next.OverheadMB = overheadMB(rep)
	next.Charges = slices.DeleteFunc(next.Charges, func(c Charge) bool { return r.resolves(rep, c) })
	changed = r.Incarnation() != rep.Incarnation || !slices.Equal(r.Residents, next.Residents) ||
		len(r.Charges) != len(next.Charges) || r.OverheadMB != next.OverheadMB
	next.recordReport(rep)
	return next, changed
}

// isStale reports come late, after a newer one of the same incarnation.
func (r Row) isStale(rep Report) bool {
	return slices.ContainsFunc(r.LastReports, func(s LastReport) bool {
		return s.Incarnation == rep.Incarnation && rep.Sequence <= s.Sequence
	})
}

// resolves says whether nothing can come of a charge any more that the report
// does not show.
//
// An engine that checks fences begins no order below the highest fence it has
// seen. An engine that ignores them may begin a copy that was held up after
// the order that followed it: a load after its unload. One would notice a model
// resident that the books had released, and the next load overcommits. So its
// orders stay charged until none can be in flight, and until a report that
// cannot have been taken before that.
func (r Row) resolves(rep Report, c Charge) bool {
	if !rep.Read.Before(c.Until) {
		return true
	}
	return r.Fencing == config.FencingChecked && c.Kind != Carried && rep.Epoch > c.Fence
}

// carryOver keeps what the incarnation before had resident charged for a while.
// The report of an incarnation that was never seen before may be an old one
// that comes late, after the live process has already reported. Loading the
// same things anew costs nothing, as a thing counts once.
func (r *Row) carryOver(until time.Time) {
	for _, m := range r.Residents {
		r.Charges = append(r.Charges, Charge{Artifact: m.Artifact, Kind: Carried, MemoryMB: m.MemoryMB, SendBy: until, Until: until})
	}
}

func (r *Row) recordReport(rep Report) {
	r.LastReports = slices.DeleteFunc(r.LastReports, func(s LastReport) bool { return s.Incarnation == rep.Incarnation })
	r.LastReports = append(r.LastReports, LastReport{rep.Incarnation, rep.Sequence})
	if len(r.LastReports) > maxIncarnations {
		r.LastReports = r.LastReports[len(r.LastReports)-maxIncarnations:]
	}
}

// overheadMB is memory in use that no resident accounts for.
func overheadMB(rep Report) int {
	sum := 0
	for _, m := range rep.Residents {
		sum += m.MemoryMB
	}
	return max(rep.UsedMB-sum, 0)
}

// Pending lists the orders that may still be sent, again if need be, and whose
// effect no report shows yet.
func (r Row) Pending(now time.Time) []Charge {
	var out []Charge
	for _, c := range r.Charges {
		if c.Kind != Carried && c.Incarnation == r.Incarnation() && c.CheckSendWindow(now) == nil && !r.effectShown(c) {
			out = append(out, c)
		}
	}
	return out
}

func (r Row) effectShown(c Charge) bool {
	resident := slices.ContainsFunc(r.Residents, func(m Resident) bool { return m.Artifact == c.Artifact })
	return resident == (c.Kind == Load)
}
