package config

import (
	"cmp"
	"slices"
)

// checkFeasible refuses what could not be served: a model that fits on no
// upstream, replicas that do not fit together, or an on-demand model that never
// finds free memory or takes longer to load than its stated bound. If accepted,
// any of these would show only as a model that never answers.
func (v *validator) checkFeasible() {
	for i, p := range v.cfg.Pools {
		if p.Kind != KindEngine {
			continue
		}
		before := len(v.faults)
		v.checkModelSizes(p.Name)
		if len(v.faults) == before {
			v.checkPacking(p.Name, itemPath("pools", i, ""))
		}
	}
}

// checkModelSizes checks each model of a pool by itself.
func (v *validator) checkModelSizes(pool string) {
	largest, count := 0, 0
	for _, u := range v.cfg.Upstreams {
		if u.Pool == pool {
			largest, count = max(largest, u.MemoryMB), count+1
		}
	}
	for i, m := range v.cfg.Models {
		if m.Pool != pool {
			continue
		}
		need := Footprint(v.cfg, m.Name)
		v.check(need.FirstReplica <= largest, itemPath("models", i, "memory_mb"),
			"needs %d MB with its adapters (%d MB alone), the largest upstream of pool %q has %d MB",
			need.FirstReplica, m.MemoryMB, pool, largest)
		v.check(m.InitialReplicas <= count, itemPath("models", i, "initial_replicas"),
			"is %d, pool %q has %d upstreams", m.InitialReplicas, pool, count)
		v.checkOnDemand(i, m)
	}
}

func (v *validator) checkOnDemand(i int, m Model) {
	if m.MinReplicas > 0 {
		return
	}
	w := v.cfg.WeightStore
	seconds := float64(m.MemoryMB)/float64(w.MBPerSecond) + 1/w.LoadsPerSecond
	v.check(seconds <= float64(m.MaxOnDemandSeconds), itemPath("models", i, "max_on_demand_s"),
		"is %d s, a load takes %.1f s (%d MB at %d MB/s, %g loads/s)",
		m.MaxOnDemandSeconds, seconds, m.MemoryMB, w.MBPerSecond, w.LoadsPerSecond)
}

// checkPacking checks the models of a pool together.
func (v *validator) checkPacking(pool, path string) {
	p := Pack(v.cfg, pool)
	if len(p.Unplaced) > 0 {
		v.add(path, "models of pool %q do not fit at min_replicas: they need %d MB, %d upstreams have %d MB; no room for %q (%d MB), most free on one upstream %d MB",
			pool, p.RequiredMB, len(p.FreeMB), p.CapacityMB, p.Unplaced[0].Model, p.Unplaced[0].MemoryMB, p.maxFreeMB())
		return
	}
	for i, m := range v.cfg.Models {
		if m.Pool == pool && m.MinReplicas == 0 {
			need := Footprint(v.cfg, m.Name).OtherReplicas
			v.check(need <= p.maxFreeMB(), itemPath("models", i, "min_replicas"),
				"is 0, and once the others are placed no upstream has room to load %q: needs %d MB, most free %d MB",
				m.Name, need, p.maxFreeMB())
		}
	}
}

// MemoryNeed is the accelerator memory that a model's replicas need, in MB.
type MemoryNeed struct {
	FirstReplica  int // the base model and all its adapters, so that every adapter can answer without a load
	OtherReplicas int // the base model and its largest adapter
}

// Footprint returns the memory that replicas of a model need.
func Footprint(c *Config, model string) MemoryNeed {
	var base, sum, largest int
	for _, m := range c.Models {
		if m.Name == model {
			base = m.MemoryMB
		}
	}
	for _, a := range c.Adapters {
		if a.Model == model {
			sum, largest = sum+a.MemoryMB, max(largest, a.MemoryMB)
		}
	}
	return MemoryNeed{FirstReplica: base + sum, OtherReplicas: base + largest}
}

// Placement is one replica of a model on an upstream.
type Placement struct {
	Model    string
	Upstream string // "" in Packing.Unplaced
	MemoryMB int
}

// Packing is one way to place a pool's models at their min_replicas.
type Packing struct {
	Placed     []Placement
	Unplaced   []Placement
	FreeMB     map[string]int // by upstream
	RequiredMB int
	CapacityMB int
}

func (p Packing) maxFreeMB() int {
	largest := 0
	for _, mb := range p.FreeMB {
		largest = max(largest, mb)
	}
	return largest
}

// Pack places a pool's models at their min_replicas, largest first, each replica
// of a model on another upstream. It tries the fullest upstream that has room
// first (best-fit decreasing bin packing), which leaves the largest gaps; if
// replicas remain unplaced, it tries the emptiest first (worst-fit). It is a
// heuristic: a pool filled to the last percent may be refused although some
// packing exists, and a planner would not find that one either.
func Pack(c *Config, pool string) Packing {
	want := requiredReplicas(c, pool)
	p := pack(c, pool, want, func(free, best int) bool { return free < best })
	if len(p.Unplaced) > 0 {
		if q := pack(c, pool, want, func(free, best int) bool { return free > best }); len(q.Unplaced) == 0 {
			return q
		}
	}
	return p
}

// requiredReplicas returns the replicas that a pool's models must have, largest
// first.
func requiredReplicas(c *Config, pool string) []Placement {
	var want []Placement
	for _, m := range c.Models {
		if m.Pool != pool {
			continue
		}
		need := Footprint(c, m.Name)
		for r := range m.MinReplicas {
			mb := need.OtherReplicas
			if r == 0 {
				mb = need.FirstReplica
			}
			want = append(want, Placement{Model: m.Name, MemoryMB: mb})
		}
	}
	slices.SortStableFunc(want, func(a, b Placement) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
	return want
}

func pack(c *Config, pool string, want []Placement, better func(free, best int) bool) Packing {
	p := Packing{FreeMB: map[string]int{}}
	var names []string
	var free []int
	for _, u := range c.Upstreams {
		if u.Pool == pool {
			names, free = append(names, u.Name), append(free, u.MemoryMB)
			p.CapacityMB += u.MemoryMB
		}
	}
	taken := map[string][]int{} // model -> upstreams that have it
	for _, w := range want {
		p.RequiredMB += w.MemoryMB
		has, best := taken[w.Model], -1
		for i, mb := range free {
			if mb >= w.MemoryMB && (best < 0 || better(mb, free[best])) && !slices.Contains(has, i) {
				best = i
			}
		}
		if best < 0 {
			p.Unplaced = append(p.Unplaced, w)
			continue
		}
		taken[w.Model] = append(has, best)
		free[best] -= w.MemoryMB
		w.Upstream = names[best]
		p.Placed = append(p.Placed, w)
	}
	for i, n := range names {
		p.FreeMB[n] = free[i]
	}
	return p
}
