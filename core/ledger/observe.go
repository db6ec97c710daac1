package ledger

import (
	"slices"
	"time"

	"peridotpier.example/core/config"
)

// Report is the state of an engine's memory as the engine itself reports it.
type Report struct {
	Incarnation string
	Sequence    uint64
	Epoch       uint64 // highest fence that the engine has seen; 0 when it ignores fences
	UsedMB      int
	Residents   []Resident
	Read        time.Time // when this host received it; the engine made it up to Bounds.MaxReportAge earlier
}

// Observe applies a report and resolves the charges whose outcome the report
// shows. changed is false when the report holds nothing new, so that no write is
// needed.
//
// Only a report resolves a charge, never an answer to an order: a copy of an order
// that was refused or lost may still arrive.
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

// isStale reports whether a newer report of the same incarnation was applied
// before.
func (r Row) isStale(rep Report) bool {
	return slices.ContainsFunc(r.LastReports, func(s LastReport) bool {
		return s.Incarnation == rep.Incarnation && rep.Sequence <= s.Sequence
	})
}

// resolves reports whether a charge can no longer have any effect that the report
// does not show.
//
// An engine that checks fences begins no order below the highest fence it has
// seen. An engine that ignores them may begin a delayed copy after the order that
// followed it: a load after its unload. The engine would then hold a model that
// the ledger counts as free, and the next load would overcommit its memory. So
// orders to such an engine stay charged until none can be in flight and a report
// arrives that cannot have been made before that.
func (r Row) resolves(rep Report, c Charge) bool {
	if !rep.Read.Before(c.Until) {
		return true
	}
	return r.Fencing == config.FencingChecked && c.Kind != Carried && rep.Epoch > c.Fence
}

// carryOver keeps what the former incarnation had resident charged for a while.
// The report of an incarnation that was never seen before may be an old report
// that arrives late, after the live process has already reported. Loading the same
// artifacts again costs nothing, since an artifact counts once.
func (r *Row) carryOver(until time.Time) {
	for _, m := range r.Residents {
		r.Charges = append(r.Charges, Charge{Artifact: m.Artifact, Kind: Carried, MemoryMB: m.MemoryMB, SendBy: until, Until: until})
	}
}

// recordReport makes the report the last one of its incarnation, and that
// incarnation the newest.
func (r *Row) recordReport(rep Report) {
	r.LastReports = slices.DeleteFunc(r.LastReports, func(s LastReport) bool { return s.Incarnation == rep.Incarnation })
	r.LastReports = append(r.LastReports, LastReport{rep.Incarnation, rep.Sequence})
	if len(r.LastReports) > maxIncarnations {
		r.LastReports = r.LastReports[len(r.LastReports)-maxIncarnations:]
	}
}

// overheadMB returns the memory in use that no resident accounts for.
func overheadMB(rep Report) int {
	sum := 0
	for _, m := range rep.Residents {
		sum += m.MemoryMB
	}
	return max(rep.UsedMB-sum, 0)
}

// Pending returns the orders that may still be sent, again if necessary, and whose
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

// effectShown reports whether the residents already show the effect of an order.
func (r Row) effectShown(c Charge) bool {
	resident := slices.ContainsFunc(r.Residents, func(m Resident) bool { return m.Artifact == c.Artifact })
	return resident == (c.Kind == Load)
}
