package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
)

// catalogue returns a service of many models of which a few are asked for: as many
// places as models, each model on one upstream. seed shuffles names and lists.
func catalogue(seed uint64, store, disk time.Duration) replica.Input {
	const upstreams, slots, hot = 20, 3, 5
	rnd := rand.New(rand.NewPCG(seed, 0))
	in := replica.Input{Engine: &deploy.Engine{MemoryMB: 230}, MaxMoves: upstreams, StoreLoadsLeft: upstreams, MaxCallerWait: 2500 * time.Millisecond,
		Demand: map[string]replica.Demand{}}
	names := rnd.Perm(upstreams * slots)
	for i, n := range names {
		in.Engine.Models = append(in.Engine.Models, deploy.Model{Name: fmt.Sprint("m", n), WeightsMB: 72, Adapters: i % 2,
			StoreLoad: store, DiskLoad: disk, MemoryLoad: disk})
	}
	for u := range upstreams {
		residents := []string{}
		for slot := range slots {
			residents = append(residents, in.Engine.Models[u*slots+slot].Name)
		}
		in.Upstreams = append(in.Upstreams, upstreamWith(fmt.Sprint("u", u), residents...))
	}
	for i := range hot {
		in.Demand[in.Engine.Models[i*slots].Name] = replica.Demand{EngineLoad: 1.5}
	}
	for i := hot; i < 2*hot; i++ { // asked for only some time ago
		in.Demand[in.Engine.Models[i*slots].Name] = replica.Demand{}
	}
	rnd.Shuffle(len(in.Engine.Models), func(i, j int) {
		in.Engine.Models[i], in.Engine.Models[j] = in.Engine.Models[j], in.Engine.Models[i]
	})
	rnd.Shuffle(len(in.Upstreams), func(i, j int) { in.Upstreams[i], in.Upstreams[j] = in.Upstreams[j], in.Upstreams[i] })
	return in
}

// Guards against a tenth of all requests being refused, and as many late, with
// most engines idle. There are as many models as places; demand is for five of
// them, each with half as much again as one engine can serve. If every model kept
// its place, also those that nobody asks for, the hot ones would have one replica
// each, though a load is done long before any caller's deadline.
func TestHotModelsReplaceIdleOnesWhereLoadsAreShort(t *testing.T) {
	for seed := range uint64(20) {
		in := catalogue(seed, 9*time.Second, 2400*time.Millisecond)
		replicas, unloaded := map[string]int{}, map[string]bool{}
		for _, m := range replica.DefaultPolicy.Plan(in) {
			replicas[m.Load]++
			unloaded[m.Unload] = true
		}
		for name, d := range in.Demand {
			if d.EngineLoad > 0 {
				assert.Assert(t, replicas[name] >= 2, "seed %d: %s gets %d more replicas", seed, name, replicas[name])
				assert.Assert(t, !unloaded[name])
			}
		}
	}
}

// Where a load takes longer than callers wait, or no local copy is left, the first
// request for a model without a replica would not be answered in time: each model
// keeps one.
func TestIdleModelsKeepTheirReplicaWhereLoadsAreLong(t *testing.T) {
	for seed := range uint64(20) {
		assert.Equal(t, len(replica.DefaultPolicy.Plan(catalogue(seed, 9*time.Second, 4*time.Second))), 0)
		in := catalogue(seed, 9*time.Second, 2400*time.Millisecond)
		for i := range in.Upstreams {
			in.Upstreams[i].OnDisk = nil
		}
		assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0)
	}
}
