package replica_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
)

const readyFor = 10 * time.Second

func engine(models ...string) *deploy.Engine {
	e := &deploy.Engine{MemoryMB: 230}
	for _, m := range models {
		e.Models = append(e.Models, deploy.Model{Name: m, WeightsMB: 72, StoreLoad: 9 * time.Second, DiskLoad: 2400 * time.Millisecond, MemoryLoad: 1200 * time.Millisecond})
	}
	return e
}

func upstreamWith(id string, models ...string) replica.Upstream {
	u := replica.Upstream{ID: id, Movable: true, Usable: true, OnDisk: map[string]bool{}}
	for _, m := range models {
		u.Residents = append(u.Residents, replica.Resident{Model: m, Ready: true, ReadyFor: readyFor, IdleFor: readyFor})
		u.OnDisk[m] = true
	}
	return u
}

func TestAHotModelReplacesAnIdleReplica(t *testing.T) {
	in := replica.Input{Engine: engine("hot", "idle", "rare"), MaxMoves: 4, StoreLoadsLeft: 4,
		Upstreams: []replica.Upstream{upstreamWith("1", "hot", "rare"), upstreamWith("2", "idle"), upstreamWith("3", "idle")},
		Demand:    map[string]replica.Demand{"hot": {EngineLoad: 0.8}, "idle": {}, "rare": {EngineLoad: 0.01}}}
	got := replica.DefaultPolicy.Plan(in)
	assert.DeepEqual(t, got, []replica.Move{{Upstream: "2", Unload: "idle", Load: "hot", From: replica.FromStore}})
}

// Guards against refusing most callers for ten seconds after upstreams were
// replaced, while models that are hardly asked for are loaded first. The hot model
// is on one upstream and needs four; three rare ones have no replica; the weight
// store takes two loads at a time. A model without a replica must not come first
// however few ask for it.
func TestTheLoadThatServesMoreGoesFirst(t *testing.T) {
	in := replica.Input{Engine: engine("a-rare", "b-rare", "c-rare", "hot"), MaxMoves: 8, StoreLoadsLeft: 2,
		Upstreams: []replica.Upstream{upstreamWith("1", "hot"), upstreamWith("2"), upstreamWith("3"), upstreamWith("4"), upstreamWith("5")},
		Demand:    map[string]replica.Demand{"hot": {EngineLoad: 3.3}, "a-rare": {EngineLoad: 0.02, Unserved: true}, "b-rare": {EngineLoad: 0.09, Unserved: true}, "c-rare": {EngineLoad: 0.01, Unserved: true}}}
	for i := 1; i < len(in.Upstreams); i++ {
		in.Upstreams[i].FreeMB = in.Engine.MemoryMB
	}
	loads := func() (out []string) {
		for _, m := range replica.DefaultPolicy.Plan(in) {
			out = append(out, m.Load)
		}
		return out
	}
	assert.DeepEqual(t, loads(), []string{"hot", "hot"})
	in.StoreLoadsLeft = 4
	assert.DeepEqual(t, loads(), []string{"hot", "hot", "hot", "b-rare"}) // the remainder of the hot demand, 0.3, is more than each rare one
	in.Demand["hot"] = replica.Demand{EngineLoad: 3.3, Unserved: true}
	in.Upstreams[0] = upstreamWith("1")
	in.StoreLoadsLeft = 1
	assert.DeepEqual(t, loads(), []string{"hot"})
}

// Guards against a hot model without a replica for the nine seconds of a load.
// Each of two hot models has replicas, some being loaded, and each is planned in
// the other's place, one after the other, if a replica that is still being loaded
// counts as one that can answer.
func TestALoadingReplicaDoesNotFreeTheLastReadyOne(t *testing.T) {
	loading := upstreamWith("2")
	loading.Residents = []replica.Resident{{Model: "a"}}
	in := replica.Input{Engine: engine("a", "b"), MaxMoves: 4, StoreLoadsLeft: 4, Upstreams: []replica.Upstream{upstreamWith("1", "a"), loading, upstreamWith("3", "b")},
		Demand: map[string]replica.Demand{"a": {EngineLoad: 0.1}, "b": {EngineLoad: 2}}}
	assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0)
}

func TestNoLoadFromTheWeightStoreForCallersWhoWait(t *testing.T) {
	withCopy := upstreamWith("1", "a")
	withCopy.OnDisk["rare"], withCopy.Movable = true, false
	in := replica.Input{Engine: engine("a", "rare"), MaxMoves: 1, StoreLoadsLeft: 4, Upstreams: []replica.Upstream{withCopy, upstreamWith("2", "a")},
		Demand: map[string]replica.Demand{"rare": {Unserved: true, WaitsForLoad: true}, "a": {}}}
	assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0, "the upstream with the copy will be free again soon")
	in.Upstreams[0].Movable = true
	assert.DeepEqual(t, replica.DefaultPolicy.Plan(in), []replica.Move{{Upstream: "1", Unload: "a", Load: "rare", From: replica.FromDisk}})
}

func TestNothingIsPreparedWhereTheStoreIsAsQuickAsADisk(t *testing.T) {
	e := engine("a", "b")
	nobody := func(string) bool { return false }
	assert.Assert(t, replica.PriorLoads(e, 12, nobody)["a"] > 0)
	assert.Equal(t, replica.PriorLoads(e, 12, nobody)["a"], replica.PriorLoads(e, 12, nobody)["b"])
	e.Models[0].StoreLoad = e.Models[0].DiskLoad
	assert.Equal(t, replica.PriorLoads(e, 12, nobody)["a"], 0.0)
}

func isResidentAnywhere(upstreams []replica.Upstream, model string) bool {
	for _, u := range upstreams {
		for _, h := range u.Residents {
			if u.Usable && h.Model == model {
				return true
			}
		}
	}
	return false
}

// Guards against a hot model without a replica until a lost upstream is back.
// Three of nine upstreams are lost; fewer places are left than models, and each
// remaining upstream holds the last replica of some model, so that some last
// replica must be evicted.
func TestAnIdleModelIsEvictedForOneWithoutAReplica(t *testing.T) {
	busy, idle := upstreamWith("1", "busy"), upstreamWith("2", "idle")
	busy.Residents[0].IdleFor = 0
	in := replica.Input{Engine: engine("hot", "busy", "idle"), MaxMoves: 2, StoreLoadsLeft: 2, Upstreams: []replica.Upstream{busy, idle},
		Demand: map[string]replica.Demand{"hot": {EngineLoad: 0.8, Unserved: true}, "busy": {EngineLoad: 0.5}, "idle": {}}}
	got := replica.DefaultPolicy.Plan(in)
	assert.DeepEqual(t, got, []replica.Move{{Upstream: "2", Unload: "idle", Load: "hot", From: replica.FromStore}})
	in.Demand["hot"] = replica.Demand{EngineLoad: 0.8}
	in.Demand["idle"] = replica.Demand{EngineLoad: 0.5}
	in.Upstreams[1].Residents[0].IdleFor = 0
	assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0)
}

// Property: on any deployment, a plan moves each upstream at most once, never
// evicts the last ready replica of a model whose callers would not wait, and stays
// within the limit of the weight store.
func TestAPlanKeepsEveryModelReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []string
		for i := range rapid.IntRange(1, 40).Draw(t, "models") {
			names = append(names, fmt.Sprint("m", i))
		}
		in := replica.Input{Engine: engine(names...), Demand: map[string]replica.Demand{}, MaxMoves: rapid.IntRange(0, 10).Draw(t, "most"),
			StoreLoadsLeft: rapid.IntRange(0, 8).Draw(t, "store"), SomeWaitForLoad: rapid.Bool().Draw(t, "some wait for load")}
		for _, n := range names {
			if rapid.Bool().Draw(t, "asked") {
				in.Demand[n] = replica.Demand{EngineLoad: rapid.Float64Range(0, 4).Draw(t, "load"), Unserved: rapid.Bool().Draw(t, "unserved"), WaitsForLoad: rapid.Bool().Draw(t, "patient")}
			}
		}
		in.PriorLoad = replica.PriorLoads(in.Engine, 12, func(m string) bool { _, ok := in.Demand[m]; return ok })
		ready := map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "upstreams") {
			u := upstreamWith(fmt.Sprint("u", i))
			u.Usable, u.Movable = rapid.IntRange(0, 9).Draw(t, "usable") > 0, rapid.Bool().Draw(t, "movable")
			for _, n := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, min(3, len(names)), rapid.ID[string]).Draw(t, "held") {
				h := replica.Resident{Model: n, Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0, ReadyFor: readyFor}
				u.Residents = append(u.Residents, h)
				if u.Usable && h.Ready {
					ready[n]++
				}
			}
			in.Upstreams = append(in.Upstreams, u)
		}
		absent := map[string]bool{}
		for _, n := range names {
			absent[n] = !isResidentAnywhere(in.Upstreams, n)
		}
		moved, storeLoads := map[string]bool{}, 0
		for _, m := range replica.DefaultPolicy.Plan(in) {
			assert.Assert(t, !moved[m.Upstream] && m.Load != m.Unload)
			moved[m.Upstream] = true
			if m.From == replica.FromStore {
				storeLoads++
			}
			if m.Unload == "" {
				continue
			}
			ready[m.Unload]--
			d, asked := in.Demand[m.Unload]
			mayBeEvicted := asked && d.WaitsForLoad || !asked && in.SomeWaitForLoad
			// Where there are fewer places than models, a model that is asked for and
			// has no replica comes before one that is not asked for.
			mayBeEvicted = mayBeEvicted || absent[m.Load] && in.Demand[m.Load].Unserved
			assert.Assert(t, ready[m.Unload] > 0 || mayBeEvicted, "the last ready replica of %s is evicted", m.Unload)
		}
		assert.Assert(t, storeLoads <= in.StoreLoadsLeft && len(moved) <= in.MaxMoves)
	})
}

// Guards against refusing a quarter of the callers of rare models though each of
// these models loads in half a second. Hot models are busy on all upstreams;
// callers who would wait ask for a rare model without a replica. It must not be
// limited to the places of idle models when its load is that short.
func TestAShortLoadReplacesAHotReplica(t *testing.T) {
	for _, c := range []struct {
		load time.Duration
		want int
	}{{500 * time.Millisecond, 1}, {2400 * time.Millisecond, 0}} {
		e := engine("hot", "rare")
		e.Models[1].DiskLoad = c.load
		in := replica.Input{Engine: e, MaxMoves: 1, Demand: map[string]replica.Demand{"hot": {EngineLoad: 2}, "rare": {Unserved: true, WaitsForLoad: true}}}
		for i := range 4 {
			u := upstreamWith(fmt.Sprint(i), "hot")
			u.OnDisk["rare"] = true
			in.Upstreams = append(in.Upstreams, u)
		}
		assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), c.want, "%v", c.load)
	}
}

// Guards against a deployment that starts with other models prepared when its list
// of models is written in another order, because a model's position in the list is
// treated as a sign of its demand before anybody has asked for a model.
func TestTheOrderOfTheModelListDoesNotAffectPriors(t *testing.T) {
	e := engine("a", "b", "c", "d")
	e.Models[2].Adapters = 3
	reversed := engine("d", "c", "b", "a")
	reversed.Models[1].Adapters = 3
	nobody := func(string) bool { return false }
	priors := replica.PriorLoads(e, 12, nobody)
	assert.DeepEqual(t, priors, replica.PriorLoads(reversed, 12, nobody))
	assert.Equal(t, priors["a"], priors["d"])
	assert.Assert(t, priors["c"] > priors["a"], "adapters are made for models that are used")
	asked := replica.PriorLoads(e, 12, func(m string) bool { return m == "c" })
	_, known := asked["c"]
	assert.Assert(t, !known)
}

// Guards against refusing callers for a model whose only upstream takes hardly any
// requests while others are idle, and against loads to upstreams that few requests
// go to.
func TestAModelAtARateLimitedUpstreamGetsAnotherReplica(t *testing.T) {
	in := replica.Input{Engine: engine("a", "idle"), MaxMoves: 4, StoreLoadsLeft: 4,
		Upstreams: []replica.Upstream{upstreamWith("1", "a"), upstreamWith("2", "idle"), upstreamWith("3", "idle")},
		Demand:    map[string]replica.Demand{"a": {EngineLoad: 0.15}, "idle": {}}}
	assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0)
	in.Upstreams[0].UnavailableShare, in.Upstreams[0].Movable = 0.95, false
	assert.DeepEqual(t, replica.DefaultPolicy.Plan(in), []replica.Move{{Upstream: "2", Unload: "idle", Load: "a", From: replica.FromStore}})
}

// Guards against refusing callers for a model whose only upstream is so slow that it is a
// small part of an engine.
func TestAModelAtASlowUpstreamGetsAnotherReplica(t *testing.T) {
	in := replica.Input{Engine: engine("a", "idle"), MaxMoves: 4, StoreLoadsLeft: 4,
		Upstreams: []replica.Upstream{upstreamWith("1", "a"), upstreamWith("2", "idle"), upstreamWith("3", "idle")},
		Demand:    map[string]replica.Demand{"a": {EngineLoad: 0.15}, "idle": {}}}
	assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0)
	in.Upstreams[0].Slowdown = 1.2
	assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0)
	in.Upstreams[0].Slowdown = 4
	assert.DeepEqual(t, replica.DefaultPolicy.Plan(in), []replica.Move{{Upstream: "2", Unload: "idle", Load: "a", From: replica.FromStore}})
}
