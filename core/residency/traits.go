package residency

import "sync/atomic"

// Traits is what upstreams of one service were seen to do that nothing tells
// beforehand. Their accounts share it, each under its own lock.
type Traits struct {
	// busyBars: no order for an adapter is taken while one for a model is being
	// carried out.
	refusesAdaptersWhileBusy atomic.Bool
}

// ShareTraits makes the account learn and go by what is known of its service.
func (rec *Record) ShareTraits(t *Traits) { rec.traits = t }

// RefusesAdapterOrders says that no order for an adapter is taken now. Sent all the same it
// would be refused, and each refusal asks for a report: three a second at an
// upstream that loads a model for nine seconds, while another could have taken
// the adapter at once.
func (rec *Record) RefusesAdapterOrders() bool {
	return rec.Busy() && rec.traits != nil && rec.traits.refusesAdaptersWhileBusy.Load()
}

// learnTraits takes the first report after a refusal. When the upstream's number is
// the one that the order named, and another order is being carried out, it was
// that order which stood in the way.
func (rec *Record) learnTraits(r Report) {
	o := rec.lastRefused
	rec.lastRefused = nil
	if o == nil || rec.traits == nil || o.Adapter == "" {
		return
	}
	if r.Busy && r.Sequence == o.Expected {
		rec.traits.refusesAdaptersWhileBusy.Store(true)
	}
}
