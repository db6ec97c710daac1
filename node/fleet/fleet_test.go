package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

func upstream(id string, slots int) deploy.Upstream {
	return deploy.Upstream{ID: id, Service: "s", Address: id, Slots: slots}
}

// Symptom: the lease is lost again and again after the store's return.
// Sequence: 80 hosts meet a new holder at once, each with the list as it was
// when the former holder vanished; the new one sends all of them all of it.
// Cause: the states of two hosts' lists cannot be compared.
func TestAHostThatKnowsTheStoresVersionGetsWhatCameAfter(t *testing.T) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	f.Replace([]deploy.Upstream{upstream("a", 1), upstream("b", 1)}, 100)
	f.Apply([]deploy.Upstream{upstream("a", 2)}, nil, 110)
	f.Apply([]deploy.Upstream{upstream("c", 1)}, []string{"b"}, 120)
	assert.Equal(t, f.RevisionAt(99), uint64(0), "older than all that is known")
	all := f.ChangesSince(0, false)
	assert.Assert(t, all.Complete && len(all.Put) == 2)
	some := f.ChangesSince(f.RevisionAt(115), false) // the other's view lies between two changes
	assert.Assert(t, !some.Complete)
	assert.Equal(t, len(some.Put), 1)
	assert.Equal(t, some.Put[0].ID, "c")
	assert.DeepEqual(t, some.Removed, []string{"b"})
	none := f.ChangesSince(f.RevisionAt(500), false)
	assert.Assert(t, !none.Complete && len(none.Put)+len(none.Removed) == 0)
	f.Replace([]deploy.Upstream{upstream("a", 2), upstream("c", 1)}, 600) // read anew, as it was
	again := f.ChangesSince(f.RevisionAt(500), false)
	assert.Assert(t, !again.Complete && len(again.Put)+len(again.Removed) == 0)
}

// Whatever two hosts have seen of the store, what one sends the other by its
// version brings it to the same list.
func TestAnyTwoHostsComeToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, host := fleet.New(fleet.Config{}, fleet.Deps{}), fleet.New(fleet.Config{}, fleet.Deps{})
		holder.Replace(nil, 1)
		version, seen := uint64(1), uint64(0)
		ids := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			version += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if rapid.Bool().Draw(t, "gone") {
				holder.Apply(nil, []string{id}, version)
			} else {
				holder.Apply([]deploy.Upstream{upstream(id, rapid.IntRange(1, 3).Draw(t, "slots"))}, nil, version)
			}
			if rapid.IntRange(0, 4).Draw(t, "link") == 0 {
				c := holder.ChangesSince(holder.RevisionAt(seen), false)
				if c.Complete {
					host.Replace(plain(c.Put), version)
				} else {
					host.Apply(plain(c.Put), c.Removed, version)
				}
				seen = version
				assert.DeepEqual(t, listed(host), listed(holder))
			}
		}
	})
}

// listed is what the store's list says, by id.
func listed(f *fleet.Fleet) map[string]int {
	out := map[string]int{}
	for _, u := range f.ChangesSince(0, false).Put {
		out[u.ID] = u.Slots
	}
	return out
}

// Symptom: a sound upstream gets no work any more after the store's return.
// Sequence: the store is away; one entry runs out meanwhile and vanishes at its
// return, before its upstream can write it again.
// Cause: an entry that ran out is taken for an upstream that leaves.
func TestOneEntryThatRanOutWithTheStoreIsHeld(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := fleet.New(fleet.Config{RecoveryGrace: 2 * time.Second}, fleet.Deps{Now: func() time.Time { return now }})
	f.Replace([]deploy.Upstream{upstream("a", 1), upstream("b", 1), upstream("c", 1), upstream("d", 1)}, 1)
	f.StoreRecovered()
	f.Apply(nil, []string{"a"}, 2)
	e, _ := f.Entry("a")
	assert.Assert(t, e.Usable())
	now = now.Add(2100 * time.Millisecond)
	f.RunChecks()
	assert.Assert(t, !e.Usable(), "it did not come back in time")
	f.Apply(nil, []string{"b"}, 3)
	e, _ = f.Entry("b")
	assert.Assert(t, !e.Usable(), "long after the store's return, an entry that vanishes means what it says")
}

// Symptom: requests are sent for models that an upstream does not hold, and a
// sound upstream gets nothing.
// Sequence: a process that leaves, was believed to hold models and is left alone
// for its silence starts again under its name, empty; then one of its former
// heartbeats is written late.
// Cause: what is known of an upstream is kept by its name alone.
func TestAProcessThatStartsAgainIsAnotherUpstream(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var left []string
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }, OnForgotten: func(a string) { left = append(left, a) }})
	born := func(at int64, models ...string) deploy.Upstream {
		u := upstream("a", 4)
		u.Born = at
		for _, m := range models {
			u.Residents = append(u.Residents, deploy.Resident{Model: m})
		}
		return u
	}
	ask := &fleet.Request{Model: "m"}
	f.Replace([]deploy.Upstream{born(1000, "m")}, 1)
	former, _ := f.Entry("a")
	f.ApplyResidency([]fleet.Residency{{Upstream: "a", StartedMs: 1000, Residents: []deploy.Resident{{Model: "m"}}}}, now)
	moved := false
	x := former.Begin(ask, fleet.Cost{PromptTokens: 10})
	x.OnUnresponsive(func() { moved = true })
	x.Interrupted("reset")
	y := former.Begin(ask, fleet.Cost{PromptTokens: 10})
	y.OnUnresponsive(func() { moved = true })
	f.Apply([]deploy.Upstream{born(2000)}, nil, 2)
	e, _ := f.Entry("a")
	assert.Assert(t, e != former && !former.Usable() && e.Usable())
	assert.Assert(t, moved, "what waits for the former process goes elsewhere")
	assert.DeepEqual(t, left, []string{"a"})
	at := e.Endpoint(ask, now)
	assert.Assert(t, !at.ModelResident && !at.Down && at.InFlight == 0 && at.CachedTokens == 0)
	y.Cancelled() // its end does not touch the new process's account
	assert.Equal(t, e.OwnLoad().Requests, 0)
	f.Apply([]deploy.Upstream{born(1000, "m")}, nil, 3)
	again, _ := f.Entry("a")
	assert.Assert(t, again == e && !e.Endpoint(ask, now).ModelResident, "a late word of the former process is passed over")
	unsaid := born(0, "m")
	f.Apply([]deploy.Upstream{unsaid}, nil, 4)
	again, _ = f.Entry("a")
	assert.Assert(t, again == e && e.Endpoint(ask, now).ModelResident, "one that does not say speaks of the process that is known")
	assert.Equal(t, f.ChangesSince(0, false).Put[0].Born, int64(2000), "other hosts are told of the same process")
}

// BenchmarkSinceUnchanged is what each report of a host costs while the list
// stays as it is.
func BenchmarkSinceUnchanged(b *testing.B) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	var all []deploy.Upstream
	for i := range 3000 {
		all = append(all, upstream(strconv.Itoa(i), 1))
	}
	f.Replace(all, 1)
	state := f.ChangesSince(0, false).Revision
	for b.Loop() {
		f.ChangesSince(state, false)
	}
}

// plain is the list as another host takes it.
func plain(all []fleet.Listed) []deploy.Upstream {
	out := make([]deploy.Upstream, len(all))
	for i := range all {
		out[i] = all[i].Upstream
	}
	return out
}
