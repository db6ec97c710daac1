package residency_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/residency"
)

// Guards against callers refused an adapter for seven seconds while a model loads
// at the upstream that is asked, though another upstream has room for the adapter.
// The upstream refuses the order because another is being carried out; its report
// shows the number that the order named; the order is sent again three times a
// second, as nothing records that an order for a model excludes those for
// adapters. Seen: 40 orders refused in 14 s, each with the number that was
// accepted as soon as the load was over.
func TestWhatABusyUpstreamRefusesIsNotOrderedAgain(t *testing.T) {
	now := t0
	traits := &residency.Traits{}
	here := []deploy.Resident{{Model: "a"}}
	rec := residency.New(engine, &deploy.Upstream{Residents: here}, now)
	rec.ShareTraits(traits)
	rec.Reconcile(residency.Report{Residents: here, Sequence: 7, Busy: true}, now)
	o, ok := rec.NextAdapterOrder("a", "a3", now)
	assert.Assert(t, ok, "the refusal has not been observed yet")
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
	assert.Assert(t, !ok, "the upstreams of a service share the trait")

	rec.Reconcile(residency.Report{Residents: residentsOf("a", "b"), Sequence: 7}, now.Add(2*time.Second))
	o, ok = rec.NextAdapterOrder("a", "a3", now)
	assert.Assert(t, ok && o.Expected == 7, "it is accepted once the order for the model is done")
}

// A refusal for another reason changes nothing: the number had moved on, or the
// order that was being carried out is done.
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
