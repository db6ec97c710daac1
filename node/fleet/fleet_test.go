package fleet_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/health"
	"peridotpier.example/node/fleet"
)

func upstream(id string, slots int) deploy.Upstream {
	return deploy.Upstream{ID: id, Service: "s", Address: id, Slots: slots}
}

// Guards against a lease that is lost again and again after the store's recovery: 80
// hosts linked to a new holder at once, each with the list as it was when the former
// holder was lost, and the new one sent the complete list to all of them. List revisions
// of two hosts cannot be compared, so changes are found by the store's version.
func TestAHostWithAStoreVersionGetsTheChangesAfterIt(t *testing.T) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	f.Replace([]deploy.Upstream{upstream("a", 1), upstream("b", 1)}, 100)
	f.Apply([]deploy.Upstream{upstream("a", 2)}, nil, 110)
	f.Apply([]deploy.Upstream{upstream("c", 1)}, []string{"b"}, 120)
	assert.Equal(t, f.RevisionAt(99), uint64(0), "older than every known version")
	all := f.ChangesSince(0, false)
	assert.Assert(t, all.Complete && len(all.Put) == 2)
	some := f.ChangesSince(f.RevisionAt(115), false) // the other host's version lies between two changes
	assert.Assert(t, !some.Complete)
	assert.Equal(t, len(some.Put), 1)
	assert.Equal(t, some.Put[0].ID, "c")
	assert.DeepEqual(t, some.Removed, []string{"b"})
	none := f.ChangesSince(f.RevisionAt(500), false)
	assert.Assert(t, !none.Complete && len(none.Put)+len(none.Removed) == 0)
	f.Replace([]deploy.Upstream{upstream("a", 2), upstream("c", 1)}, 600) // read again, unchanged
	again := f.ChangesSince(f.RevisionAt(500), false)
	assert.Assert(t, !again.Complete && len(again.Put)+len(again.Removed) == 0)
}

// Guards against hosts with different lists: whatever two hosts have read of the store,
// the changes that one sends the other by its version lead to the same list.
func TestAnyTwoHostsGetTheSameList(t *testing.T) {
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

// listed returns the slots of each upstream in the store's list, by ID.
func listed(f *fleet.Fleet) map[string]int {
	out := map[string]int{}
	for _, u := range f.ChangesSince(0, false).Put {
		out[u.ID] = u.Slots
	}
	return out
}

// Guards against a healthy upstream that gets no more requests after the store's recovery.
// Its entry expired while the store was unavailable and is missing at the recovery, before
// the upstream can write it again; it must not be treated as an upstream that drains.
func TestAnEntryThatExpiredWithTheStoreIsStillUsed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := fleet.New(fleet.Config{RecoveryGrace: 2 * time.Second}, fleet.Deps{Now: func() time.Time { return now }})
	f.Replace([]deploy.Upstream{upstream("a", 1), upstream("b", 1), upstream("c", 1), upstream("d", 1)}, 1)
	f.StoreRecovered()
	f.Apply(nil, []string{"a"}, 2)
	e, _ := f.Entry("a")
	assert.Assert(t, e.Usable())
	now = now.Add(2100 * time.Millisecond)
	f.RunChecks()
	assert.Assert(t, !e.Usable(), "its entry was not written again in time")
	f.Apply(nil, []string{"b"}, 3)
	e, _ = f.Entry("b")
	assert.Assert(t, !e.Usable(), "long after the store's recovery, a removed entry means that the upstream drains")
}

// Guards against state that is kept by an upstream's ID alone, so that requests are sent
// for models that are not resident, and a healthy upstream gets none. A process that
// drains, was announced to have models resident and is excluded as unresponsive starts
// again under its ID, without models; then a late heartbeat of the earlier process is
// written.
func TestARestartedProcessIsAnotherUpstream(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var forgotten []string
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }, OnForgotten: func(a string) { forgotten = append(forgotten, a) }})
	startedAt := func(at int64, models ...string) deploy.Upstream {
		u := upstream("a", 4)
		u.Born = at
		for _, m := range models {
			u.Residents = append(u.Residents, deploy.Resident{Model: m})
		}
		return u
	}
	req := &fleet.Request{Model: "m"}
	f.Replace([]deploy.Upstream{startedAt(1000, "m")}, 1)
	earlier, _ := f.Entry("a")
	f.ApplyResidency([]fleet.Residency{{Upstream: "a", StartedMs: 1000, Residents: []deploy.Resident{{Model: "m"}}}}, now)
	aborted := false
	x := earlier.Begin(req, fleet.Cost{PromptTokens: 10})
	x.OnUnresponsive(func(time.Time) { aborted = true })
	x.Interrupted("reset")
	y := earlier.Begin(req, fleet.Cost{PromptTokens: 10})
	y.OnUnresponsive(func(time.Time) { aborted = true })
	f.Apply([]deploy.Upstream{startedAt(2000)}, nil, 2)
	e, _ := f.Entry("a")
	assert.Assert(t, e != earlier && !earlier.Usable() && e.Usable())
	assert.Assert(t, aborted, "attempts at the earlier process are aborted")
	assert.DeepEqual(t, forgotten, []string{"a"})
	at := e.Endpoint(req, now)
	assert.Assert(t, !at.ModelResident && !at.Down && at.InFlight == 0 && at.CachedTokens == 0)
	y.Cancelled() // its end does not change the new process's load
	assert.Equal(t, e.OwnLoad().Requests, 0)
	f.Apply([]deploy.Upstream{startedAt(1000, "m")}, nil, 3)
	again, _ := f.Entry("a")
	assert.Assert(t, again == e && !e.Endpoint(req, now).ModelResident, "a late description of the earlier process is ignored")
	withoutStart := startedAt(0, "m")
	f.Apply([]deploy.Upstream{withoutStart}, nil, 4)
	again, _ = f.Entry("a")
	assert.Assert(t, again == e && e.Endpoint(req, now).ModelResident, "a description without a start is of the known process")
	assert.Equal(t, f.ChangesSince(0, false).Put[0].Born, int64(2000), "other hosts get the same process start")
}

// BenchmarkChangesSinceUnchanged measures what each report of a host costs while the list
// does not change.
func BenchmarkChangesSinceUnchanged(b *testing.B) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	var all []deploy.Upstream
	for i := range 3000 {
		all = append(all, upstream(strconv.Itoa(i), 1))
	}
	f.Replace(all, 1)
	revision := f.ChangesSince(0, false).Revision
	for b.Loop() {
		f.ChangesSince(revision, false)
	}
}

// plain returns the list in the form in which another host applies it.
func plain(all []fleet.Listed) []deploy.Upstream {
	out := make([]deploy.Upstream, len(all))
	for i := range all {
		out[i] = all[i].Upstream
	}
	return out
}

// Guards against an upstream that gets no requests any more: it is excluded for its share of
// failed answers again and again, with no answer between that could lower it; and against one that gets
// its full part after a single good answer.
func TestAShareOfFailuresExcludesOnceForEachFailure(t *testing.T) {
	now := time.Now()
	f := fleet.New(fleet.Config{Health: health.DefaultPolicy}, fleet.Deps{Now: func() time.Time { return now }})
	f.Replace([]deploy.Upstream{upstream("a", 1), upstream("b", 1), upstream("c", 1)}, 1)
	answer := func(id string, failed bool) {
		x := entry(t, f, id).Begin(&fleet.Request{}, fleet.Cost{})
		x.ReceivedBytes()
		x.Answered(failed)
	}
	status := func(id string) balance.Endpoint { return entry(t, f, id).Endpoint(&fleet.Request{}, now) }
	for i := range 30 {
		answer("a", i%2 == 0)
		answer("b", false)
		answer("c", false)
	}
	for range 3 {
		f.RunChecks()
		assert.Assert(t, status("a").Down)
		now = now.Add(health.DefaultPolicy.MaxExclusion)
		f.RunChecks()
		assert.Assert(t, status("a").HalfOpen, "it has not failed since")
		answer("a", false)
		f.RunChecks()
		assert.Assert(t, status("a").HalfOpen, "its last answer was good, its share is not")
		answer("a", true)
	}
	f.RunChecks()
	now = now.Add(health.DefaultPolicy.MaxExclusion)
	for range 30 {
		answer("a", false)
		f.RunChecks()
	}
	assert.Assert(t, !status("a").Down && !status("a").HalfOpen, "its share has fallen")
}

// Guards against a stream that leaves its silent upstream at once: another exchange there
// breaks while the stream is told since when the upstream is unresponsive.
func TestTheTimeOfSilenceIsThatOfTheAttempt(t *testing.T) {
	const rounds = 3000
	began := time.Now()
	for range rounds {
		f := fleet.New(fleet.Config{Health: health.DefaultPolicy}, fleet.Deps{})
		f.Replace([]deploy.Upstream{upstream("a", 4)}, 1)
		e := entry(t, f, "a")
		stream, other := e.Begin(&fleet.Request{}, fleet.Cost{}), e.Begin(&fleet.Request{}, fleet.Cost{})
		e.Begin(&fleet.Request{}, fleet.Cost{}).Interrupted("broken")
		var told atomic.Bool
		stream.OnUnresponsive(func(since time.Time) { told.Store(since.Before(began)) })
		var both sync.WaitGroup
		both.Go(func() { other.Interrupted("broken") }) // excludes the upstream
		both.Go(f.AbortSilent)
		both.Wait()
		assert.Assert(t, !told.Load(), "since a time before anything was sent")
	}
}
