// Package residency keeps, for one upstream, the account of the models and
// adapters that it holds, is loading or dropping, and decides which order may
// be sent to it next. It does no I/O and has no clock.
//
// Two things keep its memory from being overcommitted. An order names the
// number of orders that the upstream has accepted so far, and the upstream
// refuses it when that number has moved on: of two orders with one number only
// one is ever carried out, however late the other arrives. And room that is
// being freed counts as taken until the upstream shows that it is free.
package residency

import (
	"sort"
	"time"

	"peridotpier.example/core/deploy"
)

// Op is what an order does.
type Op uint8

// The operations.
const (
	Load Op = iota
	Unload
)

// String names the operation in logs.
func (o Op) String() string { return [...]string{"load", "unload"}[o] }

// Order changes what an upstream holds.
type Order struct {
	Op       Op
	Model    string
	Adapter  string // "": the model itself
	Expected uint64 // orders that the upstream has accepted
}

// Phase is where a model or adapter is on its way.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Loading
	Unloading
)

// model is a model at the upstream.
type model struct {
	spec       *deploy.Model // nil: the deployment does not name it
	phase      Phase
	adapters   map[string]*adapter
	readySince time.Time // when it was first seen ready
	lastUsed   time.Time // its last request
}

type adapter struct {
	phase      Phase
	phaseSince time.Time // of the phase
	lastUsed   time.Time
}

// Record is the account of one upstream. Its owner guards it.
type Record struct {
	engine            *deploy.Engine
	maxAdapterMB      float64 // of the largest adapter, in megabytes
	sequence          uint64
	models            map[string]*model
	currentOrder      *Order             // a model's order that was accepted and is not done
	formerHolderOrder bool               // an order of a former holder is being carried out
	needsReport       bool               // the upstream's report must be seen before the next order
	unconfirmed       []UnconfirmedOrder // orders to this process
	inherited         []UnconfirmedOrder // orders to its former process under the same name
	lastRefused       *Order             // the last order, if it was refused and no report has come since
	traits            *Traits            // of its service; nil: nothing is learnt
}

// New opens the book of an upstream from its own description. What it shows is
// good enough to send requests by, not to give orders by: it lags, and does not
// tell of an order of a former holder that is being carried out.
func New(e *deploy.Engine, u *deploy.Upstream, now time.Time) *Record {
	rec := &Record{engine: e, models: map[string]*model{}, maxAdapterMB: findMaxAdapterMB(e)}
	rec.ApplyDescription(u.Residents, now)
	for _, m := range rec.models {
		m.readySince = now.Add(-assumedReadyFor)
	}
	return rec
}

// assumedReadyFor is how long a model counts as held that was there when the book was
// opened. It was loaded under a former holder of the lease; to take it for new
// would keep it in place while demand moves on.
const assumedReadyFor = time.Minute

// ApplyDescription takes what the upstream's description lists, which lags. It is
// passed over while an order is under way. Requests go by it; before the next
// order for a model the report must be seen, since room that only a late
// description shows may long be taken.
func (rec *Record) ApplyDescription(residents []deploy.Resident, now time.Time) {
	if rec.currentOrder == nil && !rec.formerHolderOrder {
		rec.reconcileModels(residents, nil, now)
		rec.needsReport = true
	}
}

// Sequence is the number of orders that the upstream has accepted, as known.
func (rec *Record) Sequence() uint64 { return rec.sequence }

// NeedsReportForModel says that the upstream's report is needed before the next order. An
// order's end does not change the upstream's number, so one that a former
// holder gave must be seen to be over: else a load could be accepted beside
// what that one brought.
func (rec *Record) NeedsReportForModel() bool { return rec.needsReport || rec.formerHolderOrder }

// NeedsReport says that the upstream's report is needed before any order, also one
// for an adapter. An order for an adapter may go out while a former holder's
// order for a model is being carried out: that one left room for all adapters.
func (rec *Record) NeedsReport() bool { return rec.needsReport }

// Busy says that a model's order is being carried out.
func (rec *Record) Busy() bool { return rec.currentOrder != nil || rec.formerHolderOrder }

// HasFormerHolderOrder says that it is one of a former holder, whose end only the
// upstream's report shows.
func (rec *Record) HasFormerHolderOrder() bool { return rec.formerHolderOrder }

// ReadyResidents is what requests may be sent for.
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

// IsReady says whether requests for a model, and an adapter if one is named,
// may be sent.
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

// HasModel says whether a model is there in any phase.
func (rec *Record) HasModel(name string) bool { return rec.models[name] != nil }

// MarkUsed notes a request.
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

// usedMB are the megabytes that all models and adapters there take, in any
// phase: what is being dropped is there until it is gone.
func (rec *Record) usedMB() float64 {
	sum := 0.0
	for _, m := range rec.models {
		if m.spec != nil {
			sum += m.spec.WeightsMB + float64(len(m.adapters))*m.spec.AdapterMB
		}
	}
	return sum + rec.inheritedLoadsMB()
}

// UsedAdapterSlots is how many places of adapters are taken, or may be.
func (rec *Record) UsedAdapterSlots() int {
	n := len(rec.inheritedLoads(func(d *UnconfirmedOrder) bool { return d.Order.Adapter != "" }))
	for _, m := range rec.models {
		n += len(m.adapters)
	}
	return n
}

// adapterReserveMB is kept free beside models, in megabytes for each place of an
// adapter, so that a model's load never takes the room that adapters need.
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

// addModel enters a model. Its figures are looked up here once: the account is read
// several times a second for each of hundreds of upstreams, and a deployment
// names hundreds of models.
func (rec *Record) addModel(name string, m *model) {
	m.adapters = map[string]*adapter{}
	m.spec, _ = rec.engine.Model(name)
	rec.models[name] = m
}

// FreeMB is the megabytes that another model's weights may take now.
func (rec *Record) FreeMB() float64 {
	return rec.engine.MemoryMB - rec.usedMB() - rec.adapterReserveMB()
}

// HasRoomFor says whether a model could be loaded now.
func (rec *Record) HasRoomFor(name string) bool {
	spec, ok := rec.engine.Model(name)
	return ok && rec.models[name] == nil && spec.WeightsMB <= rec.FreeMB()
}

// ModelLoadOrder returns the order that loads a model, if it may be sent now.
func (rec *Record) ModelLoadOrder(name string) (Order, bool) {
	if rec.currentOrder != nil || rec.NeedsReportForModel() || !rec.HasRoomFor(name) {
		return Order{}, false
	}
	return Order{Op: Load, Model: name, Expected: rec.sequence}, true
}

// ModelUnloadOrder returns the order that drops a model, if it may be sent now.
func (rec *Record) ModelUnloadOrder(name string) (Order, bool) {
	m := rec.models[name]
	if rec.currentOrder != nil || rec.NeedsReportForModel() || m == nil || m.phase != Ready {
		return Order{}, false
	}
	return Order{Op: Unload, Model: name, Expected: rec.sequence}, true
}

// MarkSent notes an order that is about to go out: what it takes away is not used
// from now on.
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

// MarkAccepted notes that an order was taken; done says that it has taken effect.
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

// MarkRefused notes that an order was not taken: something else than what is known
// holds at the upstream.
func (rec *Record) MarkRefused(o Order) {
	rec.needsReport, rec.sequence = true, 0 // whatever number the next report shows is right
	rec.lastRefused = &o
	rec.revertSent(o)
}

// MarkUnanswered notes that no answer came to an order. It may have been taken,
// or be taken late.
func (rec *Record) MarkUnanswered(o Order, now time.Time) {
	rec.needsReport = true
	rec.unconfirmed = append(unexpired(rec.unconfirmed, now), UnconfirmedOrder{Order: o, Until: now.Add(MaxOrderDelay)})
}

// revertSent takes back what Sent noted.
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

// ModelStatus is a model at the upstream, for planning.
type ModelStatus struct {
	Model    string
	Ready    bool
	ReadyFor time.Duration // since it was first seen there
	IdleFor  time.Duration // since its last request
}

// Models lists the models there in any phase.
func (rec *Record) Models(now time.Time) []ModelStatus {
	var out []ModelStatus
	for name, m := range rec.models {
		out = append(out, ModelStatus{Model: name, Ready: m.phase == Ready, ReadyFor: now.Sub(m.readySince), IdleFor: now.Sub(m.lastUsed)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}
