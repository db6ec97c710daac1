package residency

import (
	"time"

	"peridotpier.example/core/deploy"
)

// Report is the state of an upstream as the upstream itself reports it.
type Report struct {
	Residents       []deploy.Resident
	LoadingAdapters []deploy.Resident // adapters that are being loaded, by model
	Sequence        uint64            // number of orders that the upstream has accepted
	Busy            bool              // an order for a model is being carried out
}

// adapterReportLag is how long the effect recorded for an order for an adapter
// overrides a report, which shows the upstream as it was some hundred milliseconds
// ago.
const adapterReportLag = time.Second

// Reconcile applies a report and reports whether it did so. A report that is older
// than the record is ignored.
func (rec *Record) Reconcile(r Report, now time.Time) bool {
	if r.Sequence < rec.sequence {
		return false
	}
	rec.learnTraits(r)
	advanced := r.Sequence > rec.sequence
	rec.sequence, rec.needsReport = r.Sequence, false
	rec.inherited = unexpired(rec.inherited, now)
	rec.reconcileCurrentOrder(r, advanced)
	rec.formerHolderOrder = r.Busy && rec.currentOrder == nil
	rec.reconcileModels(r.Residents, r.LoadingAdapters, now)
	return true
}

// reconcileModels makes the record list the models that are resident and those
// that are being loaded.
func (rec *Record) reconcileModels(residents, loading []deploy.Resident, now time.Time) {
	listed := map[string]*deploy.Resident{}
	for i := range residents {
		listed[residents[i].Model] = &residents[i]
	}
	for name := range rec.models {
		if listed[name] == nil && !rec.isCurrentOrder(Load, name) {
			delete(rec.models, name)
		}
	}
	for name, res := range listed {
		rec.reconcileModel(name, res, loading, now)
	}
}

// reconcileCurrentOrder clears the current order when the report shows that it is
// done; advanced is true when the report counts more orders than the record.
func (rec *Record) reconcileCurrentOrder(r Report, advanced bool) {
	if rec.currentOrder == nil {
		return
	}
	resident := false
	for i := range r.Residents {
		resident = resident || r.Residents[i].Model == rec.currentOrder.Model
	}
	done := rec.currentOrder.Op == Load && resident || rec.currentOrder.Op == Unload && !resident
	if done || !r.Busy && advanced {
		rec.currentOrder = nil
	}
}

// isCurrentOrder reports whether the current order is the given operation on the
// model.
func (rec *Record) isCurrentOrder(op Op, name string) bool {
	return rec.currentOrder != nil && rec.currentOrder.Op == op && rec.currentOrder.Model == name
}

// reconcileModel updates a resident model and its adapters from what a report or a
// description lists.
func (rec *Record) reconcileModel(name string, res *deploy.Resident, loading []deploy.Resident, now time.Time) {
	m := rec.models[name]
	if m == nil {
		m = &model{lastUsed: now}
		rec.addModel(name, m)
	}
	if m.readySince.IsZero() {
		m.readySince = now
	}
	m.phase = Ready
	if rec.isCurrentOrder(Unload, name) {
		m.phase = Unloading
	}
	reported := map[string]Phase{}
	for _, a := range res.Adapters {
		reported[a] = Ready
	}
	for _, c := range loading {
		if c.Model == name {
			for _, a := range c.Adapters {
				reported[a] = Loading
			}
		}
	}
	for a, p := range reported {
		ad := m.adapters[a]
		switch {
		case ad == nil:
			m.adapters[a] = &adapter{phase: p, phaseSince: now, lastUsed: now}
		case ad.phase != p && now.Sub(ad.phaseSince) > adapterReportLag:
			ad.phase, ad.phaseSince = p, now
		}
	}
	for a, ad := range m.adapters {
		if _, ok := reported[a]; !ok && now.Sub(ad.phaseSince) > adapterReportLag {
			delete(m.adapters, a)
		}
	}
}
