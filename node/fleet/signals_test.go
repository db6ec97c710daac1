package fleet_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// received returns a signal that has just been received.
func received(l backpressure.Limit, draining bool) backpressure.Signal {
	now := time.Now()
	return backpressure.Signal{Limit: l, Draining: draining, SentAt: now.Add(-time.Millisecond), ReceivedAt: now}
}

func entry(t *testing.T, f *fleet.Fleet, id string) *fleet.Entry {
	t.Helper()
	e, ok := f.Entry(id)
	assert.Assert(t, ok, id)
	return e
}

var perSecond = backpressure.Limit{Stated: true, PerSecond: 1}

// Guards against an upstream that gets requests again because an older list entry says
// that it is ready.
func TestAnOlderListEntryDoesNotUndoADrain(t *testing.T) {
	f := fleet.New(fleet.Config{RecoveryGrace: time.Hour, MassRemovalGrace: time.Hour}, fleet.Deps{})
	ready := deploy.Upstream{ID: "a", Service: "s", Address: "a", State: deploy.Ready, Born: 1}
	f.Replace([]deploy.Upstream{ready}, 1)
	entry(t, f, "a").ApplySignal(received(backpressure.Limit{}, true), "answer")
	f.Apply([]deploy.Upstream{ready}, nil, 2)
	assert.Assert(t, !entry(t, f, "a").Usable())
	f.StoreRecovered()
	f.Apply(nil, []string{"a"}, 3)
	f.Apply([]deploy.Upstream{ready}, nil, 4)
	assert.Assert(t, !entry(t, f, "a").Usable(), "its entry had only expired")
	again := ready
	again.Born = 2
	f.Apply([]deploy.Upstream{again}, nil, 5)
	assert.Assert(t, entry(t, f, "a").Usable(), "another process of the upstream")
	entry(t, f, "a").ApplySignal(received(perSecond, false), "answer")
	again.Born = 3
	f.Apply([]deploy.Upstream{again}, nil, 6)
	assert.Equal(t, entry(t, f, "a").Limit(), backpressure.Limit{}, "the limit of the earlier process does not apply")
}

// Guards against a host that sends to a draining upstream: it starts after a restore of the
// store, whose list shows the upstream ready, and hosts that know better do not say so.
func TestADrainThatARestoredListLacksIsToldToOthers(t *testing.T) {
	one, other := fleet.New(fleet.Config{}, fleet.Deps{}), fleet.New(fleet.Config{}, fleet.Deps{})
	ready := deploy.Upstream{ID: "a", Service: "s", Address: "a", State: deploy.Ready, Born: 1}
	draining := ready
	draining.State = deploy.Draining
	one.Replace([]deploy.Upstream{draining}, 1)
	one.Apply([]deploy.Upstream{ready}, nil, 2)
	assert.Assert(t, !entry(t, one, "a").Usable())
	signals, _ := one.SignalsSince(0)
	assert.Equal(t, len(signals), 1)
	other.Replace([]deploy.Upstream{ready}, 1)
	assert.Assert(t, entry(t, other, "a").Usable())
	other.ApplySignals(signals, "host")
	assert.Assert(t, !entry(t, other, "a").Usable())
}

// Guards against signals that are sent again and again, or never.
func TestASignalIsSentOnceAndAgainToAHostThatContradicts(t *testing.T) {
	one, other := fleet.New(fleet.Config{}, fleet.Deps{}), fleet.New(fleet.Config{}, fleet.Deps{})
	one.Replace([]deploy.Upstream{upstream("a", 1), upstream("b", 1)}, 1)
	entry(t, one, "a").ApplySignal(received(perSecond, false), "answer")
	all, revision := one.SignalsSince(0)
	assert.Equal(t, len(all), 1)
	other.ApplySignals(all, "host") // before the list names it there
	other.Replace([]deploy.Upstream{upstream("a", 1)}, 1)
	assert.Equal(t, entry(t, other, "a").Limit(), perSecond)
	none, _ := one.SignalsSince(revision)
	assert.Equal(t, len(none), 0)
	entry(t, one, "a").ApplySignal(received(perSecond, false), "answer")
	none, _ = one.SignalsSince(revision)
	assert.Equal(t, len(none), 0, "no change")
	entry(t, one, "a").ApplySignal(received(backpressure.Limit{Stated: true, PerSecond: 0.95}, false), "answer")
	none, _ = one.SignalsSince(revision)
	assert.Equal(t, len(none), 0, "the limit differs too little")
	stale := fleet.UpstreamSignal{Upstream: "a", Signal: backpressure.Signal{SentAt: time.Now().Add(-time.Hour), ReceivedAt: time.Now().Add(-time.Hour)}}
	one.ApplySignals([]fleet.UpstreamSignal{stale}, "host")
	again, _ := one.SignalsSince(revision)
	assert.Equal(t, len(again), 1, "a host that sent an outdated signal must receive the current one")
	assert.Equal(t, again[0].Limit, backpressure.Limit{Stated: true, PerSecond: 0.95})
}

// Guards against a leaving upstream that gets new work, and one that gets more than its
// limit: a signal that arrives before the list names the process that sent it is dropped.
func TestASignalOfAProcessThatIsNotListedYetIsKept(t *testing.T) {
	process := func(startedMs int64) deploy.Upstream {
		return deploy.Upstream{ID: "a", Service: "s", Address: "a", State: deploy.Ready, Born: startedMs}
	}
	signal := func(startedMs int64, l backpressure.Limit, draining bool) []fleet.UpstreamSignal {
		return []fleet.UpstreamSignal{{Upstream: "a", StartedMs: startedMs, Signal: received(l, draining)}}
	}
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	f.ApplySignals(signal(3, perSecond, false), "one")
	f.ApplySignals(signal(3, backpressure.Limit{}, true), "two") // answers may overtake each other
	f.ApplySignals(signal(2, backpressure.Limit{}, false), "three")
	f.Replace([]deploy.Upstream{process(1)}, 1)
	assert.Assert(t, entry(t, f, "a").Usable(), "the signals are of later processes")
	f.Apply([]deploy.Upstream{process(2)}, nil, 2)
	assert.Assert(t, entry(t, f, "a").Usable())
	f.Apply([]deploy.Upstream{process(3)}, nil, 3)
	assert.Equal(t, entry(t, f, "a").Limit(), perSecond)
	assert.Assert(t, !entry(t, f, "a").Usable())

	f.ApplySignals(signal(4, backpressure.Limit{}, true), "one")
	f.ApplySignals(signal(2, perSecond, false), "two")
	f.Apply([]deploy.Upstream{process(4)}, nil, 4)
	assert.Assert(t, !entry(t, f, "a").Usable(), "its entry was of the process before")
	f.ApplySignals(signal(4, perSecond, true), "one")
	f.Apply([]deploy.Upstream{process(5)}, nil, 5)
	assert.Assert(t, entry(t, f, "a").Usable(), "a later process does not inherit them")
}

// Guards against an announcement or a signal that stays kept for ever, each sent only once,
// because the list names its upstream while it is being kept.
func TestWhatArrivesWhileItsUpstreamIsListedIsApplied(t *testing.T) {
	for range 3000 {
		f := fleet.New(fleet.Config{}, fleet.Deps{})
		now := time.Now()
		var both sync.WaitGroup
		both.Go(func() { f.Apply([]deploy.Upstream{upstream("a", 1)}, nil, 1) })
		both.Go(func() {
			f.ApplySignals([]fleet.UpstreamSignal{{Upstream: "a", Signal: received(perSecond, false)}}, "host")
			f.ApplyResidency([]fleet.Residency{{Upstream: "a", Residents: []deploy.Resident{{Model: "m"}}}}, now)
		})
		both.Wait()
		e := entry(t, f, "a")
		assert.Equal(t, e.Limit(), perSecond)
		assert.Assert(t, e.Endpoint(&fleet.Request{Model: "m"}, now).ModelResident)
	}
}

// Guards against signals that are lost when a site's upstreams are listed late: those of
// one message more than it holds replace all that were kept.
func TestEarlySignalsOfSeveralMessagesAreKept(t *testing.T) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	var list []deploy.Upstream
	for i := range 600 {
		id := fmt.Sprint("u", i)
		list = append(list, upstream(id, 1))
		f.ApplySignals([]fleet.UpstreamSignal{{Upstream: id, Signal: received(perSecond, false)}}, "host")
	}
	f.Replace(list, 1)
	for i := range list {
		assert.Equal(t, entry(t, f, list[i].ID).Limit(), perSecond, list[i].ID)
	}
}

// Guards against a message that grows with the number of upstreams.
func TestSignalsOfManyUpstreamsAreSentInParts(t *testing.T) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	var list []deploy.Upstream
	for i := range 600 {
		list = append(list, upstream(fmt.Sprint("u", i), 1))
	}
	f.Replace(list, 1)
	for i := range list {
		entry(t, f, list[i].ID).ApplySignal(received(perSecond, false), "answer")
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

// Guards against hosts that send to a limited upstream without a permit, and against
// hosts that send nothing there while no coordinator grants permits.
func TestAHostUsesItsShareWithoutACoordinator(t *testing.T) {
	for _, phase := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond} { // of the two seconds between its permits
		usesItsShareFrom(t, time.Unix(1_700_000_000, 0).Add(phase))
	}
}

// usesItsShareFrom checks that a host of two uses half of a limit, from a time on.
func usesItsShareFrom(t *testing.T, now time.Time) {
	t.Helper()
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }})
	f.Replace([]deploy.Upstream{upstream("a", 1)}, 1)
	e := entry(t, f, "a")
	assert.Assert(t, e.AdmitWithoutPermit(now), "it states no limit")
	e.ApplySignal(received(perSecond, false), "answer")
	admitted := func(duration time.Duration) (n int) {
		for end := now.Add(duration); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if e.Endpoint(&fleet.Request{}, now).Backoff == 0 && e.AdmitWithoutPermit(now) {
				n++
			}
		}
		return n
	}
	f.SetUncoordinated()
	assert.Equal(t, admitted(time.Second), 0, "it does not know its share")
	f.SetShare(backpressure.Share{Index: 1, Count: 2})
	assert.Equal(t, admitted(time.Second), 0, "a coordinator grants permits")
	f.SetUncoordinated()
	n := admitted(40 * time.Second)
	assert.Assert(t, n >= 19 && n <= 21, "%d", n)
}

// Guards against a model that is known nowhere, since its announcement is sent only once:
// one of an earlier process of the upstream replaces it before the list names the later one.
func TestAnAnnouncementOfAnEarlierProcessReplacesNone(t *testing.T) {
	process := func(startedMs int64) deploy.Upstream {
		return deploy.Upstream{ID: "a", Service: "s", Address: "a", State: deploy.Ready, Born: startedMs}
	}
	f, now := fleet.New(fleet.Config{}, fleet.Deps{}), time.Now()
	f.Replace([]deploy.Upstream{process(1)}, 1)
	for _, startedMs := range []int64{3, 2} {
		f.ApplyResidency([]fleet.Residency{{Upstream: "a", StartedMs: startedMs, Residents: []deploy.Resident{{Model: "m"}}}}, now)
	}
	f.Apply([]deploy.Upstream{process(3)}, nil, 2)
	assert.Assert(t, entry(t, f, "a").Endpoint(&fleet.Request{Model: "m"}, now).ModelResident)
}
