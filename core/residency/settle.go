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

// adapterLag is how long an adapter's own order is believed against a report,
// which shows the upstream as it was some hundred milliseconds ago.
const adapterLag = time.Second

// Reconcile takes a report. One that is older than what is known is passed over;
// it says whether the report was taken.
func (b *Record) Reconcile(r Report, now time.Time) bool {
	if r.Sequence < b.sequence {
		return false
	}
	b.learn(r)
	moved := r.Sequence > b.sequence
	b.sequence, b.unsure = r.Sequence, false
	b.charged = lasting(b.charged, now)
	b.settleBusy(r, moved)
	b.foreign = r.Busy && b.busy == nil
	b.settleModels(r.Residents, r.LoadingAdapters, now)
	return true
}

// settleModels enters what is there.
func (b *Record) settleModels(residents, coming []deploy.Resident, now time.Time) {
	held := map[string]*deploy.Resident{}
	for i := range residents {
		held[residents[i].Model] = &residents[i]
	}
	for name := range b.models {
		if held[name] == nil && !b.isBusy(Load, name) {
			delete(b.models, name)
		}
	}
	for name, h := range held {
		b.settleModel(name, h, coming, now)
	}
}

// settleBusy looks whether the order that is being carried out is done.
func (b *Record) settleBusy(r Report, moved bool) {
	if b.busy == nil {
		return
	}
	there := false
	for i := range r.Residents {
		there = there || r.Residents[i].Model == b.busy.Model
	}
	done := b.busy.Op == Load && there || b.busy.Op == Unload && !there
	if done || !r.Busy && moved {
		b.busy = nil
	}
}

func (b *Record) isBusy(op Op, name string) bool {
	return b.busy != nil && b.busy.Op == op && b.busy.Model == name
}

func (b *Record) settleModel(name string, h *deploy.Resident, coming []deploy.Resident, now time.Time) {
	m := b.models[name]
	if m == nil {
		m = &model{used: now}
		b.add(name, m)
	}
	if m.since.IsZero() {
		m.since = now
	}
	m.phase = Ready
	if b.isBusy(Unload, name) {
		m.phase = Unloading
	}
	shown := map[string]Phase{}
	for _, a := range h.Adapters {
		shown[a] = Ready
	}
	for _, c := range coming {
		if c.Model == name {
			for _, a := range c.Adapters {
				shown[a] = Loading
			}
		}
	}
	for a, p := range shown {
		own := m.adapters[a]
		switch {
		case own == nil:
			m.adapters[a] = &adapter{phase: p, since: now, used: now}
		case own.phase != p && now.Sub(own.since) > adapterLag:
			own.phase, own.since = p, now
		}
	}
	for a, own := range m.adapters {
		if _, ok := shown[a]; !ok && now.Sub(own.since) > adapterLag {
			delete(m.adapters, a)
		}
	}
}
