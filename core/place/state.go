package place

import (
	"slices"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
)

// plan is the working state of one Plan: the snapshot, with the moves decided
// so far counted in.
type plan struct {
	snapshot    *Snapshot
	now         time.Time
	upstreams   []upstreamState
	models      []*workload // base models
	adapters    []*workload // adapters
	byKey       map[Key]*workload
	moves       []plannedMove
	waits       []Wait
	budget      float64
	memoryTight bool
}

type plannedMove struct {
	Move
	demand float64
}

// upstreamState is an upstream with the moves decided so far.
type upstreamState struct {
	*Upstream
	freeMB        int // megabytes that may be reserved now
	pendingFreeMB int // megabytes that unloads in doubt will free
	demand        float64
	acceptsLoads  bool // takes new loads
	serving       bool // answers new requests
	artifacts     []ledger.Artifact
}

// workload is a model or an adapter with its places.
type workload struct {
	key               Key
	artifact          ledger.Artifact // of the version configured
	memoryMB          int
	minReplicas       int   // replicas to keep
	initialReplicas   int   // replicas to start with
	replicas          []int // hosts that hold the thing or are about to
	oldReplicas       []int // hosts that hold another version
	confirmedReplicas int   // serving hosts with a firm replica of any version
	currentReplicas   int   // of these, in the version configured
	onDraining        bool  // held where the upstream leaves
	moved             bool  // by an elective move of this plan
	reservedAt        int   // 1 + the host where room is kept for an adapter that is held nowhere; 0: none
	demand            Demand
	base              *workload   // of an adapter
	adapters          []*workload // adapters of a base model
}

func newPlan(s *Snapshot, now time.Time) *plan {
	p := &plan{snapshot: s, now: now, byKey: map[Key]*workload{}, budget: s.Budget}
	for i := range s.Models {
		p.addModel(&s.Models[i])
	}
	for i := range s.Adapters {
		p.addAdapter(&s.Adapters[i])
	}
	p.addUpstreams()
	for _, w := range p.models {
		p.distributeDemand(w)
	}
	for _, w := range p.adapters {
		p.distributeDemand(w)
		p.reserveForAdapter(w, w.base.replicas)
	}
	return p
}

func (p *plan) addModel(m *config.Model) {
	w := &workload{key: Key{Model: m.Name}, artifact: ledger.Artifact{Model: m.Name, Version: m.Version}, memoryMB: m.MemoryMB,
		minReplicas: m.MinReplicas, initialReplicas: m.InitialReplicas}
	w.demand = p.snapshot.Demand[w.key]
	p.models = append(p.models, w)
	p.byKey[w.key] = w
}

func (p *plan) addAdapter(a *config.Adapter) {
	base := p.byKey[Key{Model: a.Model}]
	if base == nil {
		return // of another pool
	}
	w := &workload{key: Key{a.Model, a.Name}, artifact: ledger.Artifact{Model: a.Model, Adapter: a.Name, Version: a.Version}, memoryMB: a.MemoryMB, base: base}
	w.minReplicas = min(base.minReplicas, 1)
	w.demand = p.snapshot.Demand[w.key]
	base.adapters = append(base.adapters, w)
	p.adapters = append(p.adapters, w)
	p.byKey[w.key] = w
}

func (p *plan) addUpstreams() {
	p.upstreams = make([]upstreamState, len(p.snapshot.Upstreams))
	taken, capacity := 0, 0
	for i := range p.snapshot.Upstreams {
		u := &p.snapshot.Upstreams[i]
		state := &p.upstreams[i]
		*state = upstreamState{Upstream: u, freeMB: u.Row.FreeMB(), serving: !u.Draining && !u.Down}
		state.acceptsLoads = state.serving && u.Row.Incarnation() != ""
		for _, r := range u.Row.Residents {
			p.addResident(i, r)
		}
		for _, c := range u.Row.Charges {
			p.addCharge(i, c)
		}
		if state.acceptsLoads {
			taken, capacity = taken+u.Row.CapacityMB-state.freeMB, capacity+u.Row.CapacityMB
		}
	}
	for _, w := range p.models {
		if len(w.replicas) == 0 {
			taken += w.memoryMB * max(w.minReplicas, 1)
		}
	}
	p.memoryTight = float64(taken) > tightMemoryShare*float64(capacity)
}

func (p *plan) addResident(i int, r ledger.Resident) {
	u := &p.upstreams[i]
	u.artifacts = append(u.artifacts, r.Artifact)
	if u.Row.HasUnconfirmed(r.Artifact, ledger.Unload) {
		u.pendingFreeMB += r.MemoryMB
		return
	}
	w := p.byKey[Key{r.Model, r.Adapter}]
	switch {
	case w == nil || r.State == ledger.Unloading:
		return
	case !u.serving:
		w.onDraining = w.onDraining || u.Draining
		return
	case r.Artifact == w.artifact:
		w.replicas = append(w.replicas, i)
	default:
		w.oldReplicas = append(w.oldReplicas, i)
	}
	if u.Row.IsConfirmedReady(r.Artifact) {
		w.confirmedReplicas++
		if r.Artifact == w.artifact {
			w.currentReplicas++
		}
	}
}

// addCharge counts a load that is on its way. Past its window and a grace, or
// when its engine restarted, it is taken for lost: its memory stays charged, but nobody waits for it.
func (p *plan) addCharge(i int, c ledger.Charge) {
	w := p.byKey[Key{c.Model, c.Adapter}]
	if c.Kind != ledger.Load || w == nil || c.Artifact != w.artifact || p.now.After(c.SendBy.Add(sendGrace)) {
		return
	}
	u := &p.upstreams[i]
	if c.Incarnation != u.Row.Incarnation() || !u.serving || slices.Contains(w.replicas, i) || u.Row.HasUnconfirmed(c.Artifact, ledger.Unload) {
		return
	}
	w.replicas = append(w.replicas, i)
}

// distributeDemand spreads an item's demand evenly over the hosts that hold it.
func (p *plan) distributeDemand(w *workload) {
	upstreams := w.servingReplicas()
	for _, i := range upstreams {
		p.upstreams[i].demand += w.demand.sustained() / float64(len(upstreams))
	}
}

func (w *workload) servingReplicas() []int {
	if len(w.replicas) > 0 {
		return w.replicas
	}
	return w.oldReplicas
}

// reserveForAdapter sets memory aside for an adapter that is held nowhere, beside its
// base model, so that nothing else takes it before the base is ready.
func (p *plan) reserveForAdapter(a *workload, bases []int) {
	if len(a.replicas) > 0 || a.reservedAt > 0 || p.requiredReplicas(a) == 0 {
		return
	}
	best := -1
	for _, i := range bases {
		if p.upstreams[i].acceptsLoads && (best < 0 || p.upstreams[i].freeMB > p.upstreams[best].freeMB) {
			best = i
		}
	}
	if best >= 0 && p.upstreams[best].freeMB >= p.upstreams[best].requiredMB(a) {
		p.upstreams[best].freeMB -= p.upstreams[best].requiredMB(a)
		a.reservedAt = best + 1
	}
}

// freeMBFor is the memory that the item may take at a host, with what is kept
// there for it.
func (p *plan) freeMBFor(i int, w *workload) int {
	u := &p.upstreams[i]
	if w.reservedAt == i+1 {
		return u.freeMB + u.requiredMB(w)
	}
	return u.freeMB
}

// isAt says whether the host holds the item, in any version, or is about to.
func (w *workload) isAt(i int) bool {
	return slices.Contains(w.replicas, i) || slices.Contains(w.oldReplicas, i)
}

func (u *upstreamState) utilisation() float64 { return u.demand / float64(max(u.MaxBatch, 1)) }

// requiredMB is the memory that loading the thing takes at the host: none when it
// is charged there already.
func (u *upstreamState) requiredMB(w *workload) int {
	if u.Row.MayBeResident(w.artifact) {
		return 0
	}
	return w.memoryMB
}

// planLoad decides a load and counts it in.
func (p *plan) planLoad(i int, w *workload, reason Reason, gain float64) {
	u := &p.upstreams[i]
	if w.reservedAt > 0 {
		p.upstreams[w.reservedAt-1].freeMB += p.upstreams[w.reservedAt-1].requiredMB(w)
		w.reservedAt = 0
	}
	u.freeMB -= u.requiredMB(w)
	for _, a := range w.adapters {
		p.reserveForAdapter(a, []int{i})
	}
	p.updateReplicas(w, func() { w.replicas = append(w.replicas, i) })
	p.moves = append(p.moves, plannedMove{
		Move{u.Name, ledger.Change{Kind: ledger.Load, Artifact: w.artifact, MemoryMB: w.memoryMB}, reason, gain}, w.demand.peak()})
}

// planUnload decides an unload and counts it in; the memory comes later.
func (p *plan) planUnload(i int, w *workload, artifact ledger.Artifact, mb int, reason Reason) {
	u := &p.upstreams[i]
	confirmed := u.Row.IsConfirmedReady(artifact)
	p.updateReplicas(w, func() {
		isAt := func(k int) bool { return k == i }
		if artifact == w.artifact {
			w.replicas = slices.DeleteFunc(w.replicas, isAt)
		} else {
			w.oldReplicas = slices.DeleteFunc(w.oldReplicas, isAt)
		}
	})
	if confirmed && u.serving {
		w.confirmedReplicas--
		if artifact == w.artifact {
			w.currentReplicas--
		}
	}
	u.pendingFreeMB += mb
	u.artifacts = slices.DeleteFunc(slices.Clone(u.artifacts), func(x ledger.Artifact) bool { return x == artifact })
	p.moves = append(p.moves, plannedMove{Move{u.Name, ledger.Change{Kind: ledger.Unload, Artifact: artifact}, reason, 0}, 0})
}

// updateReplicas takes the item's load off its hosts, changes them, and puts it back.
func (p *plan) updateReplicas(w *workload, change func()) {
	before := w.servingReplicas()
	for _, i := range before {
		p.upstreams[i].demand -= w.demand.sustained() / float64(len(before))
	}
	change()
	p.distributeDemand(w)
}
