// Package residency records, for one upstream, which models and adapters are
// resident, being loaded or being unloaded, and decides which order may be sent to
// the upstream next. It does no I/O and has no clock.
//
// Two rules keep the upstream's memory from being overcommitted. Each order names
// the number of orders that the upstream has accepted so far, and the upstream
// refuses it when that number has moved on: of two orders with the same number
// only one is ever carried out, however late the other arrives. And memory that is
// being freed counts as used until the upstream shows that it is free.
package residency

import (
	"sort"
	"time"

	"peridotpier.example/core/deploy"
)

// Op is the operation of an order.
type Op uint8

// The operations of an order.
const (
	Load Op = iota
	Unload
)

// String returns the name of the operation, as orders and logs have it.
func (o Op) String() string { return [...]string{"load", "unload"}[o] }

// Order loads or unloads a model or an adapter at an upstream.
type Order struct {
	Op       Op
	Model    string
	Adapter  string // empty: the order is for the model itself
	Expected uint64 // number of orders that the upstream has accepted so far
}

// Phase is the load state of a model or adapter at an upstream.
type Phase uint8

// The phases of a model or adapter.
const (
	Ready Phase = iota
	Loading
	Unloading
)

// model is a model that is present at the upstream in any phase.
type model struct {
	spec       *deploy.Model // nil: the deployment does not list the model
	phase      Phase
	adapters   map[string]*adapter
	readySince time.Time // when the model was first seen ready; zero: not yet
	lastUsed   time.Time // when the last request was sent for the model
}

// adapter is an adapter of a model at the upstream.
type adapter struct {
	phase      Phase
	phaseSince time.Time // when the phase was entered
	lastUsed   time.Time
}

// Record holds what is known of the memory of one upstream. Its owner must guard
// it against concurrent use.
type Record struct {
	engine            *deploy.Engine
	maxAdapterMB      float64 // size of the largest adapter, in megabytes
	sequence          uint64  // number of orders that the upstream has accepted, as last observed
	models            map[string]*model
	currentOrder      *Order             // accepted order for a model that is not done yet; nil: none
	formerHolderOrder bool               // an order of a former lease holder is being carried out
	needsReport       bool               // the upstream's report must be received before the next order
	unconfirmed       []UnconfirmedOrder // orders to the current process of the upstream
	inherited         []UnconfirmedOrder // orders to its former process under the same name
	lastRefused       *Order             // the last order, if it was refused and no report has been applied since
	traits            *Traits            // of the upstream's service; nil: nothing is recorded
}

// New returns the record of an upstream, made from the upstream's own description.
// The description is sufficient to route requests but not to send orders: it lags
// behind, and does not show an order of a former lease holder that is being
// carried out.
func New(e *deploy.Engine, u *deploy.Upstream, now time.Time) *Record {
	rec := &Record{engine: e, models: map[string]*model{}, maxAdapterMB: findMaxAdapterMB(e)}
	rec.ApplyDescription(u.Residents, now)
	for _, m := range rec.models {
		m.readySince = now.Add(-assumedReadyFor)
	}
	return rec
}

// assumedReadyFor is how long a model counts as ready that was present when the
// record was made. It was loaded under a former lease holder; if it counted as
// just loaded, it would be kept in place while demand moves on.
const assumedReadyFor = time.Minute

// ApplyDescription applies the residents that the upstream's description lists.
// The description lags, so it is ignored while an order is being carried out.
// Requests are routed by it, but before the next order for a model a report must
// be received: memory that only a late description shows as free may have been
// taken since.
func (rec *Record) ApplyDescription(residents []deploy.Resident, now time.Time) {
	if rec.currentOrder == nil && !rec.formerHolderOrder {
		rec.reconcileModels(residents, nil, now)
		rec.needsReport = true
	}
}

// Sequence returns the number of orders that the upstream has accepted, as last
// observed.
func (rec *Record) Sequence() uint64 { return rec.sequence }

// NeedsReportForModel reports whether the upstream's report is needed before the
// next order for a model. The end of an order does not change the upstream's
// number of orders, so an order of a former lease holder must be seen to be done:
// otherwise a load could be accepted in addition to what that order loaded.
func (rec *Record) NeedsReportForModel() bool { return rec.needsReport || rec.formerHolderOrder }

// NeedsReport reports whether the upstream's report is needed before any order,
// including one for an adapter. An order for an adapter may be sent while an order
// of a former lease holder for a model is being carried out, since that order left
// room for all adapters.
func (rec *Record) NeedsReport() bool { return rec.needsReport }

// Busy reports whether an order for a model is being carried out.
func (rec *Record) Busy() bool { return rec.currentOrder != nil || rec.formerHolderOrder }

// HasFormerHolderOrder reports whether an order of a former lease holder is being
// carried out. Only the upstream's report shows that such an order is done.
func (rec *Record) HasFormerHolderOrder() bool { return rec.formerHolderOrder }

// ReadyResidents returns the models and adapters that requests may be sent for,
// sorted by name.
func (rec *Record) ReadyResidents() []deploy.Resident {
	var out []deploy.Resident
	for name, m := range rec.models {
		if m.phase != Ready {
			continue
		}
		r := deploy.Resident{Model: name}
		for a, ad := range m.adapters {
			if ad.phase == Ready {
				r.Adapters = append(r.Adapters, a)
			}
		}
		sort.Strings(r.Adapters)
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// IsReady reports whether requests may be sent for a model and, if a is not empty,
// for that adapter of it.
func (rec *Record) IsReady(name, a string) bool {
	m := rec.models[name]
	if m == nil || m.phase != Ready {
		return false
	}
	if a == "" {
		return true
	}
	ad := m.adapters[a]
	return ad != nil && ad.phase == Ready
}

// HasModel reports whether a model is present in any phase.
func (rec *Record) HasModel(name string) bool { return rec.models[name] != nil }

// MarkUsed records that a request for a model, or for an adapter of it, was sent.
func (rec *Record) MarkUsed(name, a string, now time.Time) {
	m := rec.models[name]
	if m == nil {
		return
	}
	m.lastUsed = now
	if ad := m.adapters[a]; ad != nil {
		ad.lastUsed = now
	}
}

// usedMB returns the megabytes that all models and adapters take, in any phase:
// what is being unloaded takes its memory until the unload is done. Loads that a
// former process of the upstream may have left are included.
func (rec *Record) usedMB() float64 {
	sum := 0.0
	for _, m := range rec.models {
		if m.spec != nil {
			sum += m.spec.WeightsMB + float64(len(m.adapters))*m.spec.AdapterMB
		}
	}
	return sum + rec.inheritedLoadsMB()
}

// UsedAdapterSlots returns how many adapter slots are, or may be, in use.
func (rec *Record) UsedAdapterSlots() int {
	n := len(rec.inheritedLoads(func(d *UnconfirmedOrder) bool { return d.Order.Adapter != "" }))
	for _, m := range rec.models {
		n += len(m.adapters)
	}
	return n
}

// adapterReserveMB returns the megabytes to keep free beside models: the size of
// the largest adapter for each free adapter slot, so that the load of a model
// never takes the memory that adapters need.
func (rec *Record) adapterReserveMB() float64 {
	return max(rec.maxAdapterMB*float64(rec.engine.AdapterSlots-rec.UsedAdapterSlots()), 0)
}

func findMaxAdapterMB(e *deploy.Engine) float64 {
	largest := 0.0
	for i := range e.Models {
		largest = max(largest, e.Models[i].AdapterMB)
	}
	return largest
}

// addModel adds a model to the record. Its figures are looked up here once: the
// record is read several times a second for each of hundreds of upstreams, and a
// deployment lists hundreds of models.
func (rec *Record) addModel(name string, m *model) {
	m.adapters = map[string]*adapter{}
	m.spec, _ = rec.engine.Model(name)
	rec.models[name] = m
}

// FreeMB returns the megabytes that another model's weights may take now.
func (rec *Record) FreeMB() float64 {
	return rec.engine.MemoryMB - rec.usedMB() - rec.adapterReserveMB()
}

// HasRoomFor reports whether a model is not present and its weights fit now.
func (rec *Record) HasRoomFor(name string) bool {
	spec, ok := rec.engine.Model(name)
	return ok && rec.models[name] == nil && spec.WeightsMB <= rec.FreeMB()
}

// ModelLoadOrder returns the order that loads a model; false if it may not be sent
// now.
func (rec *Record) ModelLoadOrder(name string) (Order, bool) {
	if rec.currentOrder != nil || rec.NeedsReportForModel() || !rec.HasRoomFor(name) {
		return Order{}, false
	}
	return Order{Op: Load, Model: name, Expected: rec.sequence}, true
}

// ModelUnloadOrder returns the order that unloads a model; false if it may not be
// sent now.
func (rec *Record) ModelUnloadOrder(name string) (Order, bool) {
	m := rec.models[name]
	if rec.currentOrder != nil || rec.NeedsReportForModel() || m == nil || m.phase != Ready {
		return Order{}, false
	}
	return Order{Op: Unload, Model: name, Expected: rec.sequence}, true
}

// MarkSent records an order that is about to be sent. What the order unloads is
// not used from now on.
func (rec *Record) MarkSent(o Order, now time.Time) {
	m := rec.models[o.Model]
	if m == nil || o.Op == Load {
		return
	}
	if o.Adapter == "" {
		m.phase = Unloading
		return
	}
	if ad := m.adapters[o.Adapter]; ad != nil {
		ad.phase, ad.phaseSince = Unloading, now
	}
}

// MarkAccepted records that the upstream accepted an order; done is true when the
// order has already taken effect.
func (rec *Record) MarkAccepted(o Order, done bool, now time.Time) {
	if o.Expected >= rec.sequence {
		rec.sequence = o.Expected + 1
	}
	switch {
	case o.Adapter != "":
		rec.applyAdapterOrder(o, done, now)
	case o.Op == Load && rec.models[o.Model] == nil:
		rec.addModel(o.Model, &model{phase: Loading, lastUsed: now})
		rec.currentOrder = &o
	case o.Op == Unload && done:
		delete(rec.models, o.Model)
	case o.Op == Unload:
		rec.currentOrder = &o
	}
}

// MarkRefused records that the upstream refused an order: its state differs from
// what the record holds.
func (rec *Record) MarkRefused(o Order) {
	rec.needsReport, rec.sequence = true, 0 // accept whatever number the next report shows
	rec.lastRefused = &o
	rec.revertSent(o)
}

// MarkUnanswered records that an order got no answer. The upstream may have
// accepted it, or may accept it later.
func (rec *Record) MarkUnanswered(o Order, now time.Time) {
	rec.needsReport = true
	rec.unconfirmed = append(unexpired(rec.unconfirmed, now), UnconfirmedOrder{Order: o, Until: now.Add(MaxOrderDelay)})
}

// revertSent undoes what MarkSent recorded.
func (rec *Record) revertSent(o Order) {
	m := rec.models[o.Model]
	if m == nil || o.Op == Load {
		return
	}
	if o.Adapter == "" {
		m.phase = Ready
	} else if ad := m.adapters[o.Adapter]; ad != nil {
		ad.phase = Ready
	}
}

// ModelStatus describes a model at the upstream, for planning.
type ModelStatus struct {
	Model    string
	Ready    bool
	ReadyFor time.Duration // time since the model was first seen ready; 0: it was not yet
	IdleFor  time.Duration // time since the last request for the model
}

// Models returns the models that are present in any phase, sorted by name.
func (rec *Record) Models(now time.Time) []ModelStatus {
	var out []ModelStatus
	for name, m := range rec.models {
		st := ModelStatus{Model: name, Ready: m.phase == Ready, IdleFor: now.Sub(m.lastUsed)}
		if !m.readySince.IsZero() {
			st.ReadyFor = now.Sub(m.readySince)
		}
		out = append(out, st)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}
