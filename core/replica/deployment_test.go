package replica_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
)

const (
	planInterval = 200 * time.Millisecond
	// quantum is the load, in engines, that is routed together.
	quantum = 0.02
	// movingShare is the share of the upstreams that change models at once at most.
	movingShare = 0.5
	// remoteLevel is by how much busier an upstream may be for callers of its own data
	// centre to be sent there all the same.
	remoteLevel = 0.2
)

// loadOf is the load of one model by the data centre of its callers and by urgency rank.
type loadOf struct {
	model, dataCentre string
	rank              int
	engines           float64
}

// deployment is a simulated deployment whose requests are routed to where least is to be
// done, its own data centre preferred.
type deployment struct {
	rnd      *rand.Rand
	policy   replica.Policy
	in       replica.Input
	now      time.Duration
	pending  map[string]replica.Move             // by upstream
	readyAt  map[string]time.Duration            // when the load there is done
	readySin map[string]time.Duration            // since when a model is ready at an upstream
	usedAt   map[string]time.Duration            // when a model was last used at an upstream
	leftAt   map[string]map[string]time.Duration // when models left an upstream
	began    []time.Duration                     // of loads from the weight store
	since    map[string]time.Duration            // since when the load of a model is about the same
	last     map[string]float64

	moves                     []replica.Move
	loads, returns            int
	asked, served, local      float64
	servedByRank, askedByRank [3]float64
}

// newDeployment returns a deployment of so many upstreams in the data centres, and of so many
// models, of which the first ones have replicas wherever place says.
func newDeployment(policy replica.Policy, seed uint64, dataCentres, upstreams, models int, place func(upstream int) []int) *deployment {
	d := &deployment{rnd: rand.New(rand.NewPCG(seed, 1)), policy: policy, pending: map[string]replica.Move{}, readyAt: map[string]time.Duration{}, readySin: map[string]time.Duration{},
		usedAt: map[string]time.Duration{}, leftAt: map[string]map[string]time.Duration{}, since: map[string]time.Duration{}, last: map[string]float64{}}
	d.in.Engine = &deploy.Engine{MemoryMB: 230, LoadsPerSecond: 24}
	for i := range models {
		d.in.Engine.Models = append(d.in.Engine.Models, deploy.Model{Name: modelName(i), WeightsMB: 72, StoreLoad: 5 * time.Second, DiskLoad: 2 * time.Second, MemoryLoad: time.Second})
	}
	for i := range upstreams {
		u := replica.Upstream{ID: fmt.Sprintf("u%04d", i), Movable: true, Usable: true, OnDisk: map[string]bool{}, InMemory: map[string]bool{}, DataCentre: fmt.Sprint("d", i%dataCentres)}
		for _, m := range place(i) {
			u.Residents = append(u.Residents, replica.Resident{Model: modelName(m), Ready: true})
			u.OnDisk[modelName(m)] = true
		}
		d.in.Upstreams = append(d.in.Upstreams, u)
	}
	return d
}

func modelName(i int) string { return fmt.Sprintf("m%03d", i) }

// run plays a load for so long; loads returns it at a time.
func (d *deployment) run(period time.Duration, loads func(now time.Duration) []loadOf) {
	for end := d.now + period; d.now < end; d.now += planInterval {
		d.finishMoves()
		all := loads(d.now)
		d.route(all)
		d.plan(all)
	}
}

// forget drops what was counted.
func (d *deployment) forget() {
	d.moves = nil
	d.loads, d.returns, d.asked, d.served, d.local = 0, 0, 0, 0, 0
	d.servedByRank, d.askedByRank = [3]float64{}, [3]float64{}
}

// route sends each quantum of the loads to the least busy replica: the more urgent first,
// those of a rank in random order.
func (d *deployment) route(all []loadOf) {
	var parts []loadOf
	for _, l := range all {
		for n := int(l.engines/quantum + 0.5); n > 0; n-- {
			parts = append(parts, l)
		}
	}
	d.rnd.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	slices.SortStableFunc(parts, func(a, b loadOf) int { return a.rank - b.rank })
	levels, places := make([]float64, len(d.in.Upstreams)), map[string][]int{}
	for i, u := range d.in.Upstreams {
		for _, r := range u.Residents {
			if r.Ready && u.Usable {
				places[r.Model] = append(places[r.Model], i)
			}
		}
	}
	for _, l := range parts {
		d.asked += quantum
		d.askedByRank[l.rank] += quantum
		best, lowest := -1, 0.0
		for _, i := range places[l.model] {
			level := levels[i]
			if d.in.Upstreams[i].DataCentre != l.dataCentre {
				level += remoteLevel
			}
			if levels[i] < 1 && (best < 0 || level < lowest) {
				best, lowest = i, level
			}
		}
		if best < 0 {
			continue
		}
		levels[best] += quantum
		d.usedAt[d.in.Upstreams[best].ID+l.model] = d.now
		d.served += quantum
		d.servedByRank[l.rank] += quantum
		if d.in.Upstreams[best].DataCentre == l.dataCentre {
			d.local += quantum
		}
	}
}

// plan plans for the loads and begins the moves.
func (d *deployment) plan(all []loadOf) {
	d.demand(all)
	d.describe()
	for _, m := range d.policy.Plan(d.in) {
		d.begin(m)
	}
}

// demand enters the loads as demand.
func (d *deployment) demand(all []loadOf) {
	d.in.Demand = map[string]replica.Demand{}
	for _, l := range all {
		w := d.in.Demand[l.model]
		if w.ByDataCentre == nil {
			w.ByDataCentre = map[string]float64{}
		}
		for len(w.ByRank) <= l.rank {
			w.ByRank = append(w.ByRank, 0)
		}
		w.EngineLoad += l.engines
		w.ByDataCentre[l.dataCentre] += l.engines
		w.ByRank[l.rank] += l.engines
		d.in.Demand[l.model] = w
	}
	for model, w := range d.in.Demand {
		if last := d.last[model]; w.EngineLoad > 2*last || w.EngineLoad < last/2 {
			d.last[model], d.since[model] = w.EngineLoad, d.now
		}
		w.Lasting = d.now - d.since[model]
		if d.policy.EvenLoads {
			w.ByDataCentre, w.ByRank = nil, nil
		}
		d.in.Demand[model] = w
	}
}

// describe updates the snapshot.
func (d *deployment) describe() {
	d.in.StoreLoadsLeft = 24
	for _, at := range d.began {
		if d.now-at < time.Second {
			d.in.StoreLoadsLeft--
		}
	}
	d.in.MaxMoves = max(int(movingShare*float64(len(d.in.Upstreams)))-len(d.pending), 0)
	for i := range d.in.Upstreams {
		u := &d.in.Upstreams[i]
		_, busy := d.pending[u.ID]
		u.Movable, u.LeftRecently = !busy, map[string]bool{}
		for model, at := range d.leftAt[u.ID] {
			if d.now-at < replica.DefaultPolicy.MinReturn {
				u.LeftRecently[model] = true
			}
		}
		for j := range u.Residents {
			r := &u.Residents[j]
			r.ReadyFor, r.IdleFor = d.now-d.readySin[u.ID+r.Model]+time.Minute, d.now-d.usedAt[u.ID+r.Model]
			if _, loaded := d.readySin[u.ID+r.Model]; loaded {
				r.ReadyFor -= time.Minute
			}
		}
	}
}

// begin begins a move.
func (d *deployment) begin(m replica.Move) {
	for i := range d.in.Upstreams {
		u := &d.in.Upstreams[i]
		if u.ID != m.Upstream {
			continue
		}
		d.loads++
		d.moves = append(d.moves, m)
		if u.LeftRecently[m.Load] {
			d.returns++
		}
		var kept []replica.Resident
		for _, r := range u.Residents {
			if r.Model != m.Unload {
				kept = append(kept, r)
			}
		}
		u.Residents = append(kept, replica.Resident{Model: m.Load})
		if m.Unload != "" {
			if d.leftAt[u.ID] == nil {
				d.leftAt[u.ID] = map[string]time.Duration{}
			}
			d.leftAt[u.ID][m.Unload] = d.now
		}
		d.pending[u.ID], d.readyAt[u.ID] = m, d.now+replica.LoadTime(d.in.Engine, m.Load, m.From)
		if m.From == replica.FromStore {
			d.began = append(d.began, d.now)
		}
	}
}

// finishMoves ends the loads that are due.
func (d *deployment) finishMoves() {
	for i := range d.in.Upstreams {
		u := &d.in.Upstreams[i]
		m, ok := d.pending[u.ID]
		if !ok || d.now < d.readyAt[u.ID] {
			continue
		}
		delete(d.pending, u.ID)
		u.OnDisk[m.Load] = true
		d.readySin[u.ID+m.Load] = d.now
		for j := range u.Residents {
			if u.Residents[j].Model == m.Load {
				u.Residents[j].Ready = true
			}
		}
	}
}

// share returns the share of the load that was served.
func (d *deployment) share() float64 { return d.served / d.asked }
