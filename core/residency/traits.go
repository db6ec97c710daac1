package residency

import "sync/atomic"

// Traits records behaviour of the upstreams of one service that can only be
// observed. The records of these upstreams share one Traits, each under its own
// lock.
type Traits struct {
	// refusesAdaptersWhileBusy: the upstreams accept no order for an adapter while
	// an order for a model is being carried out.
	refusesAdaptersWhileBusy atomic.Bool
}

// ShareTraits makes the record use and update the observed traits of the
// upstream's service.
func (rec *Record) ShareTraits(t *Traits) { rec.traits = t }

// RefusesAdapterOrders reports whether the upstream accepts no order for an
// adapter now. If one were sent all the same, it would be refused, and each
// refusal requires a report: three a second at an upstream that loads a model for
// nine seconds, while another upstream could have loaded the adapter at once.
func (rec *Record) RefusesAdapterOrders() bool {
	return rec.Busy() && rec.traits != nil && rec.traits.refusesAdaptersWhileBusy.Load()
}

// learnTraits evaluates the first report after a refusal. If the upstream's number
// is the one that the refused order named, and another order is being carried out,
// then that other order is why the upstream refused.
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
