package residency

import (
	"time"

	"peridotpier.example/core/deploy"
)

// Report is what an upstream says of itself at some moment.
type Report struct {
	Residents       []deploy.Resident
	LoadingAdapters []deploy.Resident // adapters on their way
	Sequence        uint64
	Busy            bool
}

// adapterReportLag is how long an adapter's own order is believed against a report,
// which shows the upstream as it was some hundred milliseconds ago.
const adapterReportLag = time.Second

// Reconcile takes a report. One that is older than what is known is passed over;
// it says whether the report was taken.
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

// reconcileModels enters what is there.
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

// reconcileCurrentOrder looks whether the order that is being carried out is done.
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

func (rec *Record) isCurrentOrder(op Op, name string) bool {
	return rec.currentOrder != nil && rec.currentOrder.Op == op && rec.currentOrder.Model == name
}

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
