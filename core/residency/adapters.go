package residency

import "time"

// NextAdapterOrder returns the order that brings an adapter nearer: its load, or
// the unload of the one used longest ago when its place is needed; false while
// Barred.
func (rec *Record) NextAdapterOrder(name, a string, now time.Time) (Order, bool) {
	m := rec.models[name]
	spec, ok := rec.engine.Model(name)
	if !ok || rec.needsReport || rec.RefusesAdapterOrders() || m == nil || m.phase != Ready || m.adapters[a] != nil {
		return Order{}, false
	}
	if rec.UsedAdapterSlots() < rec.engine.AdapterSlots && rec.usedMB()+spec.AdapterMB <= rec.engine.MemoryMB {
		return Order{Op: Load, Model: name, Adapter: a, Expected: rec.sequence}, true
	}
	return rec.adapterEvictionOrder(now)
}

// minAdapterIdle is how long an adapter must not have been asked for to make way.
// One that is in use would have to wait for its requests to end.
const minAdapterIdle = 700 * time.Millisecond

func (rec *Record) adapterEvictionOrder(now time.Time) (Order, bool) {
	var out Order
	var oldest time.Time
	found := false
	for name, m := range rec.models {
		for a, ad := range m.adapters {
			if ad.phase != Ready || now.Sub(ad.lastUsed) < minAdapterIdle || found && !ad.lastUsed.Before(oldest) {
				continue
			}
			out, oldest, found = Order{Op: Unload, Model: name, Adapter: a, Expected: rec.sequence}, ad.lastUsed, true
		}
	}
	return out, found
}

func (rec *Record) applyAdapterOrder(o Order, done bool, now time.Time) {
	m := rec.models[o.Model]
	if m == nil {
		return
	}
	if o.Op == Unload {
		if done {
			delete(m.adapters, o.Adapter)
		}
		return
	}
	m.adapters[o.Adapter] = &adapter{phase: Loading, phaseSince: now, lastUsed: now}
}

// MarkAdapterReady notes that an adapter's load has had its time.
func (rec *Record) MarkAdapterReady(name, a string, now time.Time) {
	if m := rec.models[name]; m != nil && m.adapters[a] != nil && m.adapters[a].phase == Loading {
		m.adapters[a].phase, m.adapters[a].phaseSince = Ready, now
	}
}

// HasAdapter says whether an adapter is there or on its way.
func (rec *Record) HasAdapter(name, a string) bool {
	m := rec.models[name]
	if m == nil || m.phase != Ready {
		return false
	}
	ad := m.adapters[a]
	return ad != nil && ad.phase != Unloading
}
