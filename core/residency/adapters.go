package residency

import "time"

// NextAdapterOrder returns the next order towards loading an adapter: its load, or
// the unload of the least recently used adapter when its slot or memory is needed.
// It returns false when no order may be sent now, for example while
// RefusesAdapterOrders is true.
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

// minAdapterIdle is how long an adapter must not have been used before it may be
// evicted. The unload of one that is in use would have to wait for its requests to
// end.
const minAdapterIdle = 700 * time.Millisecond

// adapterEvictionOrder returns the order that unloads the least recently used
// adapter; false when every adapter is in use or not ready.
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

// applyAdapterOrder records an accepted order for an adapter.
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

// MarkAdapterReady records that the time for loading an adapter has passed.
func (rec *Record) MarkAdapterReady(name, a string, now time.Time) {
	if m := rec.models[name]; m != nil && m.adapters[a] != nil && m.adapters[a].phase == Loading {
		m.adapters[a].phase, m.adapters[a].phaseSince = Ready, now
	}
}

// HasAdapter reports whether an adapter is ready or being loaded on a model that
// is ready.
func (rec *Record) HasAdapter(name, a string) bool {
	m := rec.models[name]
	if m == nil || m.phase != Ready {
		return false
	}
	ad := m.adapters[a]
	return ad != nil && ad.phase != Unloading
}
