package residency_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/residency"
)

// Symptom: callers who need an adapter are refused while a model loads at the
// upstream that is asked, for seven seconds, though another has room for it.
// Sequence: the upstream refuses the order, since another is being carried out;
// its report shows the number that the order named; the order is given again,
// three times a second.
// Cause: nothing notes that an order for a model bars those for adapters.
// Evidence: 40 orders refused in 14 s, each with the number that was accepted
// as soon as the load was over.
func TestWhatABusyUpstreamRefusesIsNotOrderedAgain(t *testing.T) {
	now := t0
	traits := &residency.Traits{}
	here := []deploy.Resident{{Model: "a"}}
	rec := residency.New(engine, &deploy.Upstream{Residents: here}, now)
	rec.ShareTraits(traits)
	rec.Reconcile(residency.Report{Residents: here, Sequence: 7, Busy: true}, now)
	o, ok := rec.NextAdapterOrder("a", "a3", now)
	assert.Assert(t, ok, "nobody knows yet that it is barred")
	rec.MarkSent(o, now)
	rec.MarkRefused(o)
	rec.Reconcile(residency.Report{Residents: here, Sequence: 7, Busy: true}, now.Add(time.Second))
	_, ok = rec.NextAdapterOrder("a", "a3", now)
	assert.Assert(t, !ok && rec.RefusesAdapterOrders() && !rec.NeedsReport())

	other := residency.New(engine, &deploy.Upstream{Residents: here}, now)
	other.ShareTraits(traits)
	other.Reconcile(residency.Report{Residents: here, Sequence: 1}, now)
	o, ok = other.ModelLoadOrder("b")
	assert.Assert(t, ok)
	other.MarkAccepted(o, false, now)
	_, ok = other.NextAdapterOrder("a", "a3", now)
	assert.Assert(t, !ok, "what one upstream did, the others of its service do")

	rec.Reconcile(residency.Report{Residents: residentsOf("a", "b"), Sequence: 7}, now.Add(2*time.Second))
	o, ok = rec.NextAdapterOrder("a", "a3", now)
	assert.Assert(t, ok && o.Expected == 7, "the end of the order lets it through")
}

// A refusal for another reason teaches nothing: the number had moved on, or the
// order that was being carried out is over.
func TestOnlyARefusalDuringAnotherOrderStopsAdapterOrders(t *testing.T) {
	here := []deploy.Resident{{Model: "a"}}
	for _, after := range []residency.Report{{Residents: here, Sequence: 8, Busy: true}, {Residents: here, Sequence: 7}} {
		rec := residency.New(engine, &deploy.Upstream{Residents: here}, t0)
		rec.ShareTraits(&residency.Traits{})
		rec.Reconcile(residency.Report{Residents: here, Sequence: 7, Busy: true}, t0)
		o, ok := rec.NextAdapterOrder("a", "a3", t0)
		assert.Assert(t, ok)
		rec.MarkRefused(o)
		rec.Reconcile(after, t0.Add(time.Second))
		assert.Assert(t, !rec.RefusesAdapterOrders())
		_, ok = rec.NextAdapterOrder("a", "a3", t0)
		assert.Assert(t, ok)
	}
}
