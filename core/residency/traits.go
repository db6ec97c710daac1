package residency

import "sync/atomic"

// Traits is what upstreams of one service were seen to do that nothing tells
// beforehand. Their accounts share it, each under its own lock.
type Traits struct {
	// busyBars: no order for an adapter is taken while one for a model is being
	// carried out.
	busyBars atomic.Bool
}

// ShareTraits makes the account learn and go by what is known of its service.
func (b *Record) ShareTraits(t *Traits) { b.traits = t }

// RefusesAdapterOrders says that no order for an adapter is taken now. Sent all the same it
// would be refused, and each refusal asks for a report: three a second at an
// upstream that loads a model for nine seconds, while another could have taken
// the adapter at once.
func (b *Record) RefusesAdapterOrders() bool {
	return b.Busy() && b.traits != nil && b.traits.busyBars.Load()
}

// learn takes the first report after a refusal. When the upstream's number is
// the one that the order named, and another order is being carried out, it was
// that order which stood in the way.
func (b *Record) learn(r Report) {
	o := b.refused
	b.refused = nil
	if o == nil || b.traits == nil || o.Adapter == "" {
		return
	}
	if r.Busy && r.Sequence == o.Expected {
		b.traits.busyBars.Store(true)
	}
}
