package replica_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/replica"
)

// Guards against every engine unloading, before the first request, a replica of a
// model that will be in demand, so that a third of the models have no replica all
// day. With 340 models and 15 engines with three places each, nobody has asked
// yet, and a prior made for each model as if it were one of few would need four
// times the engines that there are.
func TestPriorsOfManyModelsAreBounded(t *testing.T) {
	var names []string
	for i := range 340 {
		names = append(names, fmt.Sprint("m", i))
	}
	e := engine(names...)
	nobody := func(string) bool { return false }
	in := replica.Input{Engine: e, MaxMoves: 15, StoreLoadsLeft: 15, SomeWaitForLoad: true, Demand: map[string]replica.Demand{}}
	for i := range 15 {
		in.Upstreams = append(in.Upstreams, upstreamWith(fmt.Sprint("u", i), names[2*i], names[2*i+1], "m0"))
	}
	in.PriorLoad = replica.PriorLoads(e, len(in.Upstreams), nobody)
	assert.Equal(t, len(replica.DefaultPolicy.Plan(in)), 0, "a move gains nothing")

	sum := 0.0
	for _, load := range in.PriorLoad {
		sum += load
	}
	assert.Assert(t, sum < float64(len(in.Upstreams)), "they may take %v of 15 engines", sum)
	fewPriors := replica.PriorLoads(engine("a", "b"), 15, nobody)
	assert.Equal(t, fewPriors["a"], replica.PriorLoads(engine("a", "b"), 150, nobody)["a"], "the bound does not affect few models")
	assert.Assert(t, fewPriors["a"] > 0)
}
