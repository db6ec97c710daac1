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
	spec     *deploy.Model // nil: the deployment does not name it
	phase    Phase
	adapters map[string]*adapter
	since    time.Time // when it was first seen ready
	used     time.Time // its last request
}

type adapter struct {
	phase Phase
	since time.Time // of the phase
	used  time.Time
}

// Record is the account of one upstream. Its owner guards it.
type Record struct {
	engine   *deploy.Engine
	adapter  float64 // of the largest adapter, in megabytes
	sequence uint64
	models   map[string]*model
	busy     *Order             // a model's order that was accepted and is not done
	foreign  bool               // an order of a former holder is being carried out
	unsure   bool               // the upstream's report must be seen before the next order
	doubts   []UnconfirmedOrder // orders to this process
	charged  []UnconfirmedOrder // orders to its former process under the same name
	refused  *Order             // the last order, if it was refused and no report has come since
	traits   *Traits            // of its service; nil: nothing is learnt
}

// New opens the book of an upstream from its own description. What it shows is
// good enough to send requests by, not to give orders by: it lags, and does not
// tell of an order of a former holder that is being carried out.
func New(e *deploy.Engine, u *deploy.Upstream, now time.Time) *Record {
	b := &Record{engine: e, models: map[string]*model{}, adapter: largestAdapter(e)}
	b.ApplyDescription(u.Residents, now)
	for _, m := range b.models {
		m.since = now.Add(-longThere)
	}
	return b
}

// longThere is how long a model counts as held that was there when the book was
// opened. It was loaded under a former holder of the lease; to take it for new
// would keep it in place while demand moves on.
const longThere = time.Minute

// ApplyDescription takes what the upstream's description lists, which lags. It is
// passed over while an order is under way. Requests go by it; before the next
// order for a model the report must be seen, since room that only a late
// description shows may long be taken.
func (b *Record) ApplyDescription(residents []deploy.Resident, now time.Time) {
	if b.busy == nil && !b.foreign {
		b.settleModels(residents, nil, now)
		b.unsure = true
	}
}

// Sequence is the number of orders that the upstream has accepted, as known.
func (b *Record) Sequence() uint64 { return b.sequence }

// NeedsReportForModel says that the upstream's report is needed before the next order. An
// order's end does not change the upstream's number, so one that a former
// holder gave must be seen to be over: else a load could be accepted beside
// what that one brought.
func (b *Record) NeedsReportForModel() bool { return b.unsure || b.foreign }

// NeedsReport says that the upstream's report is needed before any order, also one
// for an adapter. An order for an adapter may go out while a former holder's
// order for a model is being carried out: that one left room for all adapters.
func (b *Record) NeedsReport() bool { return b.unsure }

// Busy says that a model's order is being carried out.
func (b *Record) Busy() bool { return b.busy != nil || b.foreign }

// HasFormerHolderOrder says that it is one of a former holder, whose end only the
// upstream's report shows.
func (b *Record) HasFormerHolderOrder() bool { return b.foreign }

// ReadyResidents is what requests may be sent for.
func (b *Record) ReadyResidents() []deploy.Resident {
	var out []deploy.Resident
	for name, m := range b.models {
		if m.phase != Ready {
			continue
		}
		r := deploy.Resident{Model: name}
		for a, own := range m.adapters {
			if own.phase == Ready {
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
func (b *Record) IsReady(name, a string) bool {
	m := b.models[name]
	if m == nil || m.phase != Ready {
		return false
	}
	if a == "" {
		return true
	}
	own := m.adapters[a]
	return own != nil && own.phase == Ready
}

// HasModel says whether a model is there in any phase.
func (b *Record) HasModel(name string) bool { return b.models[name] != nil }

// MarkUsed notes a request.
func (b *Record) MarkUsed(name, a string, now time.Time) {
	m := b.models[name]
	if m == nil {
		return
	}
	m.used = now
	if own := m.adapters[a]; own != nil {
		own.used = now
	}
}

// weights are the megabytes that all models and adapters there take, in any
// phase: what is being dropped is there until it is gone.
func (b *Record) weights() float64 {
	sum := 0.0
	for _, m := range b.models {
		if m.spec != nil {
			sum += m.spec.WeightsMB + float64(len(m.adapters))*m.spec.AdapterMB
		}
	}
	return sum + b.doubted()
}

// UsedAdapterSlots is how many places of adapters are taken, or may be.
func (b *Record) UsedAdapterSlots() int {
	n := len(b.doubtedLoads(func(d *UnconfirmedOrder) bool { return d.Order.Adapter != "" }))
	for _, m := range b.models {
		n += len(m.adapters)
	}
	return n
}

// adapterReserve is kept free beside models, in megabytes for each place of an
// adapter, so that a model's load never takes the room that adapters need.
func (b *Record) adapterReserve() float64 {
	return max(b.adapter*float64(b.engine.AdapterSlots-b.UsedAdapterSlots()), 0)
}

func largestAdapter(e *deploy.Engine) float64 {
	largest := 0.0
	for i := range e.Models {
		largest = max(largest, e.Models[i].AdapterMB)
	}
	return largest
}

// add enters a model. Its figures are looked up here once: the account is read
// several times a second for each of hundreds of upstreams, and a deployment
// names hundreds of models.
func (b *Record) add(name string, m *model) {
	m.adapters = map[string]*adapter{}
	m.spec, _ = b.engine.Model(name)
	b.models[name] = m
}

// FreeMB is the megabytes that another model's weights may take now.
func (b *Record) FreeMB() float64 { return b.engine.MemoryMB - b.weights() - b.adapterReserve() }

// HasRoomFor says whether a model could be loaded now.
func (b *Record) HasRoomFor(name string) bool {
	spec, ok := b.engine.Model(name)
	return ok && b.models[name] == nil && spec.WeightsMB <= b.FreeMB()
}

// ModelLoadOrder returns the order that loads a model, if it may be sent now.
func (b *Record) ModelLoadOrder(name string) (Order, bool) {
	if b.busy != nil || b.NeedsReportForModel() || !b.HasRoomFor(name) {
		return Order{}, false
	}
	return Order{Op: Load, Model: name, Expected: b.sequence}, true
}

// ModelUnloadOrder returns the order that drops a model, if it may be sent now.
func (b *Record) ModelUnloadOrder(name string) (Order, bool) {
	m := b.models[name]
	if b.busy != nil || b.NeedsReportForModel() || m == nil || m.phase != Ready {
		return Order{}, false
	}
	return Order{Op: Unload, Model: name, Expected: b.sequence}, true
}

// MarkSent notes an order that is about to go out: what it takes away is not used
// from now on.
func (b *Record) MarkSent(o Order, now time.Time) {
	m := b.models[o.Model]
	if m == nil || o.Op == Load {
		return
	}
	if o.Adapter == "" {
		m.phase = Unloading
		return
	}
	if own := m.adapters[o.Adapter]; own != nil {
		own.phase, own.since = Unloading, now
	}
}

// MarkAccepted notes that an order was taken; done says that it has taken effect.
func (b *Record) MarkAccepted(o Order, done bool, now time.Time) {
	if o.Expected >= b.sequence {
		b.sequence = o.Expected + 1
	}
	switch {
	case o.Adapter != "":
		b.acceptAdapter(o, done, now)
	case o.Op == Load && b.models[o.Model] == nil:
		b.add(o.Model, &model{phase: Loading, used: now})
		b.busy = &o
	case o.Op == Unload && done:
		delete(b.models, o.Model)
	case o.Op == Unload:
		b.busy = &o
	}
}

// MarkRefused notes that an order was not taken: something else than what is known
// holds at the upstream.
func (b *Record) MarkRefused(o Order) {
	b.unsure, b.sequence = true, 0 // whatever number the next report shows is right
	b.refused = &o
	b.undo(o)
}

// MarkUnanswered notes that no answer came to an order. It may have been taken,
// or be taken late.
func (b *Record) MarkUnanswered(o Order, now time.Time) {
	b.unsure = true
	b.doubts = append(lasting(b.doubts, now), UnconfirmedOrder{Order: o, Until: now.Add(MaxOrderDelay)})
}

// undo takes back what Sent noted.
func (b *Record) undo(o Order) {
	m := b.models[o.Model]
	if m == nil || o.Op == Load {
		return
	}
	if o.Adapter == "" {
		m.phase = Ready
	} else if own := m.adapters[o.Adapter]; own != nil {
		own.phase = Ready
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
func (b *Record) Models(now time.Time) []ModelStatus {
	var out []ModelStatus
	for name, m := range b.models {
		out = append(out, ModelStatus{Model: name, Ready: m.phase == Ready, ReadyFor: now.Sub(m.since), IdleFor: now.Sub(m.used)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}
