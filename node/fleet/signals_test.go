package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// told is a signal that has just been heard.
func told(l backpressure.Limit, leaving bool) backpressure.Signal {
	now := time.Now()
	return backpressure.Signal{Limit: l, Draining: leaving, SentAt: now.Add(-time.Millisecond), ReceivedAt: now}
}

func entry(t *testing.T, f *fleet.Fleet, id string) *fleet.Entry {
	t.Helper()
	e, ok := f.Entry(id)
	assert.Assert(t, ok, id)
	return e
}

var perSecond = backpressure.Limit{Stated: true, PerSecond: 1}

// Guards against an upstream that gets work again since an older entry of it says that it is ready.
func TestWhatAnUpstreamSaidOfLeavingIsNotUndoneByTheList(t *testing.T) {
	f := fleet.New(fleet.Config{RecoveryGrace: time.Hour, MassRemovalGrace: time.Hour}, fleet.Deps{})
	ready := deploy.Upstream{ID: "a", Service: "s", Address: "a", State: deploy.Ready, Born: 1}
	f.Replace([]deploy.Upstream{ready}, 1)
	entry(t, f, "a").ApplySignal(told(backpressure.Limit{}, true), "answer")
	f.Apply([]deploy.Upstream{ready}, nil, 2)
	assert.Assert(t, !entry(t, f, "a").Usable())
	f.StoreRecovered()
	f.Apply(nil, []string{"a"}, 3)
	f.Apply([]deploy.Upstream{ready}, nil, 4)
	assert.Assert(t, !entry(t, f, "a").Usable(), "its entry had only run out")
	again := ready
	again.Born = 2
	f.Apply([]deploy.Upstream{again}, nil, 5)
	assert.Assert(t, entry(t, f, "a").Usable(), "another process of it")
	entry(t, f, "a").ApplySignal(told(perSecond, false), "answer")
	again.Born = 3
	f.Apply([]deploy.Upstream{again}, nil, 6)
	assert.Equal(t, entry(t, f, "a").Limit(), backpressure.Limit{}, "owes nothing of the former's")
}

// Guards against signals that are told again and again, or never.
func TestASignalIsToldOnceAndAgainToWhoeverContradicts(t *testing.T) {
	one, other := fleet.New(fleet.Config{}, fleet.Deps{}), fleet.New(fleet.Config{}, fleet.Deps{})
	one.Replace([]deploy.Upstream{upstream("a", 1), upstream("b", 1)}, 1)
	entry(t, one, "a").ApplySignal(told(perSecond, false), "answer")
	all, revision := one.SignalsSince(0)
	assert.Equal(t, len(all), 1)
	other.ApplySignals(all, "host") // before the list names it there
	other.Replace([]deploy.Upstream{upstream("a", 1)}, 1)
	assert.Equal(t, entry(t, other, "a").Limit(), perSecond)
	none, _ := one.SignalsSince(revision)
	assert.Equal(t, len(none), 0)
	entry(t, one, "a").ApplySignal(told(perSecond, false), "answer")
	none, _ = one.SignalsSince(revision)
	assert.Equal(t, len(none), 0, "nothing new")
	entry(t, one, "a").ApplySignal(told(backpressure.Limit{Stated: true, PerSecond: 0.95}, false), "answer")
	none, _ = one.SignalsSince(revision)
	assert.Equal(t, len(none), 0, "hardly another limit")
	stale := fleet.UpstreamSignal{Upstream: "a", Signal: backpressure.Signal{SentAt: time.Now().Add(-time.Hour), ReceivedAt: time.Now().Add(-time.Hour)}}
	one.ApplySignals([]fleet.UpstreamSignal{stale}, "host")
	again, _ := one.SignalsSince(revision)
	assert.Equal(t, len(again), 1, "whoever has told what does not hold any more must hear it")
	assert.Equal(t, again[0].Limit, backpressure.Limit{Stated: true, PerSecond: 0.95})
}

// Guards against a message that grows with the number of upstreams.
func TestSignalsOfManyUpstreamsAreToldInParts(t *testing.T) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	var list []deploy.Upstream
	for i := range 600 {
		list = append(list, upstream(fmt.Sprint("u", i), 1))
	}
	f.Replace(list, 1)
	for i := range list {
		entry(t, f, list[i].ID).ApplySignal(told(perSecond, false), "answer")
	}
	seen, revision := map[string]bool{}, uint64(0)
	for range 3 {
		var part []fleet.UpstreamSignal
		part, revision = f.SignalsSince(revision)
		assert.Assert(t, len(part) <= 250)
		for _, s := range part {
			seen[s.Upstream] = true
		}
	}
	assert.Equal(t, len(seen), len(list))
}

// Guards against hosts that send to a limited upstream without a turn, and against
// none that does while nobody gives turns.
func TestAHostGoesByItsShareWhileItIsAlone(t *testing.T) {
	now := time.Now()
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }})
	f.Replace([]deploy.Upstream{upstream("a", 1)}, 1)
	e := entry(t, f, "a")
	assert.Assert(t, e.AdmitWithoutPermit(now), "it names no limit")
	e.ApplySignal(told(perSecond, false), "answer")
	passed := func(lasts time.Duration) (n int) {
		for end := now.Add(lasts); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if e.Endpoint(&fleet.Request{}, now).Backoff == 0 && e.AdmitWithoutPermit(now) {
				n++
			}
		}
		return n
	}
	f.SetUncoordinated()
	assert.Equal(t, passed(time.Second), 0, "it does not know its part")
	f.SetShare(backpressure.Share{Index: 1, Count: 2})
	assert.Equal(t, passed(time.Second), 0, "another counts for all")
	f.SetUncoordinated()
	n := passed(40 * time.Second)
	assert.Assert(t, n >= 19 && n <= 21, "%d", n)
}
