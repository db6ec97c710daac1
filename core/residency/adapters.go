package residency

import "time"

// NextAdapterOrder returns the order that brings an adapter nearer: its load, or
// the unload of the one used longest ago when its place is needed; false while
// Barred.
func (b *Record) NextAdapterOrder(name, a string, now time.Time) (Order, bool) {
	m := b.models[name]
	spec, ok := b.engine.Model(name)
	if !ok || b.unsure || b.RefusesAdapterOrders() || m == nil || m.phase != Ready || m.adapters[a] != nil {
		return Order{}, false
	}
	if b.UsedAdapterSlots() < b.engine.AdapterSlots && b.weights()+spec.AdapterMB <= b.engine.MemoryMB {
		return Order{Op: Load, Model: name, Adapter: a, Expected: b.sequence}, true
	}
	return b.evict(now)
}

// idleAdapter is how long an adapter must not have been asked for to make way.
// One that is in use would have to wait for its requests to end.
const idleAdapter = 700 * time.Millisecond

func (b *Record) evict(now time.Time) (Order, bool) {
	var out Order
	var oldest time.Time
	found := false
	for name, m := range b.models {
		for a, own := range m.adapters {
			if own.phase != Ready || now.Sub(own.used) < idleAdapter || found && !own.used.Before(oldest) {
				continue
			}
			out, oldest, found = Order{Op: Unload, Model: name, Adapter: a, Expected: b.sequence}, own.used, true
		}
	}
	return out, found
}

func (b *Record) acceptAdapter(o Order, done bool, now time.Time) {
	m := b.models[o.Model]
	if m == nil {
		return
	}
	if o.Op == Unload {
		if done {
			delete(m.adapters, o.Adapter)
		}
		return
	}
	m.adapters[o.Adapter] = &adapter{phase: Loading, since: now, used: now}
}

// MarkAdapterReady notes that an adapter's load has had its time.
func (b *Record) MarkAdapterReady(name, a string, now time.Time) {
	if m := b.models[name]; m != nil && m.adapters[a] != nil && m.adapters[a].phase == Loading {
		m.adapters[a].phase, m.adapters[a].since = Ready, now
	}
}

// HasAdapter says whether an adapter is there or on its way.
func (b *Record) HasAdapter(name, a string) bool {
	m := b.models[name]
	if m == nil || m.phase != Ready {
		return false
	}
	own := m.adapters[a]
	return own != nil && own.phase != Unloading
}
