package place

import (
	"slices"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
)

// plan is the working state of one call of Plan: the snapshot with the moves
// decided so far applied.
type plan struct {
	snapshot    *Snapshot
	now         time.Time
	upstreams   []upstreamState
	models      []*workload // base models
	adapters    []*workload
	byKey       map[Key]*workload
	moves       []plannedMove
	waits       []Wait
	budget      float64
	memoryTight bool
}

// plannedMove is a move with the demand for what it loads.
type plannedMove struct {
	Move
	demand float64
}

// upstreamState is an upstream with the moves decided so far applied.
type upstreamState struct {
	*Upstream
	freeMB        int               // megabytes that may be reserved now
	pendingFreeMB int               // megabytes that unconfirmed unloads will free
	demand        float64           // requests at once that its replicas serve
	acceptsLoads  bool              // it may load models
	serving       bool              // it answers new requests
	artifacts     []ledger.Artifact // resident ones, without planned unloads
}

// workload is a model or an adapter with its replicas.
type workload struct {
	key               Key
	artifact          ledger.Artifact // in the configured version
	memoryMB          int
	minReplicas       int   // number of replicas to keep
	initialReplicas   int   // number of replicas to start with
	replicas          []int // indices of the upstreams that hold the artifact or are loading it
	oldReplicas       []int // indices of the upstreams that hold another version
	confirmedReplicas int   // replicas of any version confirmed ready on serving upstreams
	currentReplicas   int   // those of them in the configured version
	onDraining        bool  // resident on a draining upstream
	moved             bool  // by an elective move of this plan
	reservedAt        int   // 1 + the index of the upstream with memory reserved for an adapter without replicas; 0: none
	demand            Demand
	base              *workload   // base model of an adapter
	adapters          []*workload // adapters of a base model
}

// newPlan returns the plan of a snapshot without any moves.
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

// addCharge counts a load that is unconfirmed. When its send window and a grace
// period have passed, or its engine restarted, it is treated as lost: its memory
// stays charged, but it no longer counts as a replica.
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

// distributeDemand spreads a workload's demand evenly over the upstreams that
// serve it.
func (p *plan) distributeDemand(w *workload) {
	upstreams := w.servingReplicas()
	for _, i := range upstreams {
		p.upstreams[i].demand += w.demand.sustained() / float64(len(upstreams))
	}
}

// servingReplicas returns the upstreams with the configured version or, if there
// are none, those with another version.
func (w *workload) servingReplicas() []int {
	if len(w.replicas) > 0 {
		return w.replicas
	}
	return w.oldReplicas
}

// reserveForAdapter reserves memory for an adapter without replicas, beside its
// base model, so that nothing else takes the memory before the base model is
// ready.
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

// freeMBFor returns the memory that the workload may take at an upstream,
// including what is reserved there for it.
func (p *plan) freeMBFor(i int, w *workload) int {
	u := &p.upstreams[i]
	if w.reservedAt == i+1 {
		return u.freeMB + u.requiredMB(w)
	}
	return u.freeMB
}

// isAt reports whether an upstream holds the workload in any version, or is
// loading it.
func (w *workload) isAt(i int) bool {
	return slices.Contains(w.replicas, i) || slices.Contains(w.oldReplicas, i)
}

// utilisation returns the upstream's demand as a share of its batch.
func (u *upstreamState) utilisation() float64 { return u.demand / float64(max(u.MaxBatch, 1)) }

// requiredMB returns the memory that loading the workload takes at the upstream:
// none when it is charged there already.
func (u *upstreamState) requiredMB(w *workload) int {
	if u.Row.MayBeResident(w.artifact) {
		return 0
	}
	return w.memoryMB
}

// planLoad adds a load to the moves and applies it to the state.
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

// planUnload adds an unload to the moves and applies it to the state; the memory
// is free only when the unload is confirmed.
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

// updateReplicas changes a workload's replicas and redistributes its demand.
func (p *plan) updateReplicas(w *workload, change func()) {
	before := w.servingReplicas()
	for _, i := range before {
		p.upstreams[i].demand -= w.demand.sustained() / float64(len(before))
	}
	change()
	p.distributeDemand(w)
}
