package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/replica"
)

// Symptom: more loads begin in one window than the weight store allows.
// Sequence: loads are planned while models still make way for them; the
// unloads wait seconds for streams to end, then all the loads begin at once.
// Cause: each is counted at the time of its plan.
func TestALoadIsCountedWhenItBegins(t *testing.T) {
	s := storeLoads{window: 5 * time.Second, factor: 1}
	const rate = 1.0 // seven in a window, with storeBurst
	start := time.Now()
	planned := make([]time.Time, 7)
	for i := range planned {
		planned[i] = start.Add(time.Duration(i) * time.Millisecond)
		s.add(planned[i])
	}
	late := start.Add(4 * time.Second)
	for _, at := range planned {
		assert.Assert(t, s.recount(at, rate, late))
	}
	after := start.Add(6 * time.Second)
	assert.Equal(t, s.remaining(rate, after), 0, "the planned times are out of the window, the loads are in it")
	s.add(start.Add(100 * time.Millisecond)) // one more that was planned at the start
	assert.Assert(t, !s.recount(start.Add(100*time.Millisecond), rate, after))
}

// Symptom: models that are asked for stay nowhere for seconds after an upstream broke.
// Sequence: a load is planned at an upstream that refuses connections, again
// and again.
// Cause: loads that were never ordered fill the window.
func TestALoadThatWasNotOrderedIsNotCounted(t *testing.T) {
	s := storeLoads{window: 5 * time.Second, factor: 1}
	now := time.Now()
	before := s.remaining(1, now)
	s.add(now)
	assert.Equal(t, s.remaining(1, now), before-1)
	s.remove(now)
	assert.Equal(t, s.remaining(1, now), before)
}

// Symptom: more loads begin in one window than the weight store allows.
// Sequence: orders for loads go unanswered and their moves are given up; the
// loads begin seconds later, beside others that fill the window.
// Cause: a load counts at the time of its order only.
func TestAnUnconfirmedLoadCountsUntilItCanNoLongerBegin(t *testing.T) {
	s := storeLoads{window: 5 * time.Second, factor: 1}
	t0 := time.Unix(1_700_000_000, 0)
	all := s.remaining(1, t0)
	s.addUnconfirmed(t0.Add(15 * time.Second))
	assert.Equal(t, s.remaining(1, t0.Add(14*time.Second)), all-1)
	assert.Equal(t, s.remaining(1, t0.Add(19*time.Second)), all-1, "it may have begun right before its end")
	assert.Equal(t, s.remaining(1, t0.Add(21*time.Second)), all)
}

// Symptom: more loads begin in one window than the weight store allows.
// Sequence: an order for a load goes unanswered for seconds before it is taken.
// Cause: the load counts at the time of its first order.
func TestALoadCountsFromTheAnswerToItsOrder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := &Coordinator{now: func() time.Time { return now }, storeLoads: storeLoads{window: 5 * time.Second, factor: 1}}
	all := c.storeLoads.remaining(1, now)
	v := &activeMove{Move: replica.Move{From: replica.FromStore}, countedAt: now, ordered: true}
	c.storeLoads.add(v.countedAt)
	now = now.Add(4 * time.Second)
	c.storeLoadAccepted(v)
	now = now.Add(4 * time.Second)
	assert.Equal(t, c.storeLoads.remaining(1, now), all-1)
	c.reconcileStoreLoad(v)
	assert.Equal(t, c.storeLoads.remaining(1, now), all-1, "it was taken")
	now = now.Add(2 * time.Second)
	assert.Equal(t, c.storeLoads.remaining(1, now), all)
}
