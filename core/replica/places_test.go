package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/replica"
)

// evenLoads is the policy with what is tested here switched off.
func evenLoads() replica.Policy {
	p := replica.DefaultPolicy
	p.EvenLoads = true
	return p
}

// colliding returns a deployment of 60 upstreams in which the replicas of the ten hot models
// lie on the same 20 upstreams, and the only replicas of 120 others fill the remainder.
func colliding(policy replica.Policy) *deployment {
	return newDeployment(policy, 1, 1, 60, 130, func(u int) []int {
		if u < 20 {
			return []int{u % 10, (u + 3) % 10, (u + 6) % 10}
		}
		return []int{10 + (3*u)%120, 10 + (3*u+1)%120, 10 + (3*u+2)%120}
	})
}

// hotLoads returns a load of ten models in engines, beside some for each of the others.
func hotLoads(engines float64) func(time.Duration) []loadOf {
	return func(time.Duration) (out []loadOf) {
		for i := range 10 {
			out = append(out, loadOf{model: modelName(i), dataCentre: "d0", engines: engines / 10})
		}
		for i := 10; i < 130; i++ {
			out = append(out, loadOf{model: modelName(i), dataCentre: "d0", engines: 0.02})
		}
		return out
	}
}

// Guards against requests that are held and refused while engines are idle: the replicas of
// the models that wait lie on the same upstreams, and the others hold the only replicas of
// models that hardly anybody asks for. An ideal spread would serve all, since the load is
// below the number of upstreams.
func TestCollidingReplicasAreSpread(t *testing.T) {
	for _, engines := range []float64{30, 40} {
		before, after := colliding(evenLoads()), colliding(replica.DefaultPolicy)
		for _, d := range []*deployment{before, after} {
			d.run(40*time.Second, hotLoads(engines))
			loads := d.loads
			d.forget()
			d.run(10*time.Second, hotLoads(engines))
			t.Logf("even %t, %.0f engines: served %.3f after %d loads, %d of them back", d.policy.EvenLoads, engines, d.share(), loads, d.returns)
		}
		assert.Assert(t, after.share() >= 0.98, "%.3f", after.share())
		assert.Equal(t, after.returns, 0)
		assert.Assert(t, before.share() < 0.75, "%.3f: the load does not collide", before.share())
	}
}

// swapping returns 24 models, most of whose callers are in one of the data centres, and
// that of the next from a time on.
func swapping(dataCentres int, from time.Duration) func(time.Duration) []loadOf {
	return func(now time.Duration) (out []loadOf) {
		for i := range 24 {
			home := i
			if now >= from {
				home++
			}
			for dc := range dataCentres {
				engines := 0.9 / float64(dataCentres-1)
				if dc == home%dataCentres {
					engines = 2
				}
				out = append(out, loadOf{model: modelName(10 * i), dataCentre: fmt.Sprint("d", dc), engines: engines})
			}
		}
		return out
	}
}

// spanning returns a deployment of 140 upstreams and 240 models, each of which is resident
// somewhere.
func spanning(policy replica.Policy, seed uint64, dataCentres int) *deployment {
	return newDeployment(policy, seed, dataCentres, 140, 240, func(u int) []int {
		r := rand.New(rand.NewPCG(seed, uint64(u)))
		return []int{(3 * u) % 240, (3*u + 1) % 240, r.IntN(240)}
	})
}

// Guards against replicas that stay where the callers were, and against ones that move to
// and fro: two and four data centres swap their demand.
func TestReplicasFollowCallersWhoMove(t *testing.T) {
	const settled, swapAt, followed = 20 * time.Second, 30 * time.Second, 20 * time.Second
	for _, dataCentres := range []int{2, 4} {
		for _, policy := range []replica.Policy{evenLoads(), replica.DefaultPolicy} {
			d := spanning(policy, 1, dataCentres)
			loads := swapping(dataCentres, swapAt)
			var local [3]float64
			for i, period := range []time.Duration{swapAt, followed, 10 * time.Second} {
				if i == 0 {
					d.run(settled, loads)
					period -= settled
				}
				d.forget()
				d.run(period, loads)
				local[i] = d.local / d.served
				t.Logf("even %t, %d data centres, period %d: served %.3f, local %.3f, %d loads, %d of them back", policy.EvenLoads, dataCentres, i, d.share(), local[i], d.loads, d.returns)
				assert.Assert(t, d.share() >= 0.99, "%.3f", d.share())
				assert.Equal(t, d.returns, 0)
			}
			if !policy.EvenLoads {
				assert.Assert(t, local[0] >= 0.9 && local[2] >= 0.9, "%.3f", local)
			}
		}
	}
}

// Guards against the callers of a lost data centre being refused while the others have room:
// all its upstreams go at once.
func TestALostDataCentreIsMadeUpForWithinSomeLoads(t *testing.T) {
	loads := swapping(4, time.Hour)
	for _, policy := range []replica.Policy{evenLoads(), replica.DefaultPolicy} {
		d := spanning(policy, 1, 4)
		d.run(20*time.Second, loads)
		for i := range d.in.Upstreams {
			d.in.Upstreams[i].Usable = d.in.Upstreams[i].Usable && d.in.Upstreams[i].DataCentre != "d1"
		}
		d.forget()
		d.run(10*time.Second, loads) // two loads from the weight store
		during := d.share()
		d.forget()
		d.run(10*time.Second, loads)
		t.Logf("even %t: served %.3f, then %.3f; %d loads, %d of them back", policy.EvenLoads, during, d.share(), d.loads, d.returns)
		assert.Assert(t, d.share() >= 0.98, "%.3f", d.share())
		assert.Equal(t, d.returns, 0)
	}
}

// Guards against a burst of less urgent requests that takes the replicas which urgent ones
// need in the next seconds: 20 urgent models have three replicas each and load a fraction of
// them; 40 others suddenly ask for more than is left, and soon after the urgent ones for four
// times as much as before, and more.
func TestALessUrgentBurstLeavesUrgentReplicas(t *testing.T) {
	loads := func(now time.Duration) (out []loadOf) {
		for i := range 20 {
			engines := 0.5
			if now >= 25*time.Second {
				engines = 2.8
			}
			out = append(out, loadOf{model: modelName(i), dataCentre: "d0", engines: engines})
		}
		for i := 20; i < 60; i++ {
			engines := 0.02
			if now >= 15*time.Second {
				engines = 2
			}
			out = append(out, loadOf{model: modelName(i), dataCentre: "d0", rank: 2, engines: engines})
		}
		return out
	}
	var served [2]float64
	for i, policy := range []replica.Policy{evenLoads(), replica.DefaultPolicy} {
		d := newDeployment(policy, 1, 1, 60, 60, func(u int) []int { return []int{u % 60, (u + 20) % 60, (u + 40) % 60} })
		d.run(15*time.Second, loads)
		d.forget()
		d.run(20*time.Second, loads)
		served[i] = d.servedByRank[0] / d.askedByRank[0]
		t.Logf("even %t: urgent served %.3f, others %.3f, %d loads, %d of them back", policy.EvenLoads, served[i], d.servedByRank[2]/d.askedByRank[2], d.loads, d.returns)
	}
	assert.Assert(t, served[1] >= 0.99 && served[0] < 0.99, "%.3f", served)
}

// Guards against plans that are good only in some order of models and upstreams.
func TestNamesAndOrderMakeNoDifference(t *testing.T) {
	lowest, highest := 1.0, 0.0
	for seed := range uint64(5) {
		d := colliding(replica.DefaultPolicy)
		d.rnd = rand.New(rand.NewPCG(seed, 2))
		d.rnd.Shuffle(len(d.in.Upstreams), func(i, j int) { d.in.Upstreams[i], d.in.Upstreams[j] = d.in.Upstreams[j], d.in.Upstreams[i] })
		d.rnd.Shuffle(len(d.in.Engine.Models), func(i, j int) {
			d.in.Engine.Models[i], d.in.Engine.Models[j] = d.in.Engine.Models[j], d.in.Engine.Models[i]
		})
		for i, name := range d.rnd.Perm(len(d.in.Upstreams)) {
			d.in.Upstreams[i].ID = fmt.Sprint("x", name)
		}
		d.run(40*time.Second, hotLoads(40))
		d.forget()
		d.run(10*time.Second, hotLoads(40))
		lowest, highest = min(lowest, d.share()), max(highest, d.share())
	}
	assert.Assert(t, highest-lowest <= 0.02, "from %.3f to %.3f", lowest, highest)
}

// With one data centre, callers who are equally urgent and models that do not crowd each
// other, the plan is as if these did not exist.
func TestWithoutCollisionsThePlanIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := replica.Input{Engine: engine(), MaxMoves: 5, StoreLoadsLeft: 3, Demand: map[string]replica.Demand{}}
		for i := range 12 {
			in.Engine.Models = append(in.Engine.Models, engine(modelName(i)).Models[0])
		}
		for i := range rapid.IntRange(2, 10).Draw(t, "upstreams") {
			u := upstreamWith(fmt.Sprint(i))
			first := rapid.IntRange(0, 11).Draw(t, "model")
			for j := range 3 {
				u.Residents = append(u.Residents, upstreamWith("", modelName((first+j)%12)).Residents...)
			}
			u.DataCentre = "d0"
			in.Upstreams = append(in.Upstreams, u)
		}
		for i := range 12 {
			load := rapid.Float64Range(0, 0.2).Draw(t, "load") // two others cause no more than 0.4
			in.Demand[modelName(i)] = replica.Demand{EngineLoad: load, ByDataCentre: map[string]float64{"d0": load}, ByRank: []float64{load}, Lasting: time.Minute}
		}
		assert.DeepEqual(t, replica.DefaultPolicy.Plan(in), evenLoads().Plan(in))
	})
}

// Guards against loads that cost more than the traffic they keep from crossing: the callers
// change their data centre faster than a load pays.
func TestNoReplicaFollowsCallersWhoStayForSeconds(t *testing.T) {
	d := spanning(replica.DefaultPolicy, 1, 4)
	steady := swapping(4, time.Hour)
	d.run(30*time.Second, steady)
	d.forget()
	moving := swapping(4, 0)
	d.run(20*time.Second, func(now time.Duration) (out []loadOf) {
		if now/(2*time.Second)%2 == 0 {
			out = steady(now)
		} else {
			out = moving(now)
		}
		for i := range out {
			out[i].engines *= 1 + 2*float64(now/(2*time.Second)%2) // the whole demand swings, too
		}
		return out
	})
	for _, m := range d.moves {
		assert.Assert(t, m.Reason != replica.ForLocality, "%v", m)
	}
}
