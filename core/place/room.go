package place

import (
	"slices"

	"peridotpier.example/core/ledger"
)

// evictionCandidate is a resident artifact that may be unloaded to make room.
type evictionCandidate struct {
	workload *workload
	artifact ledger.Artifact
	memoryMB int
}

// makeRoom plans the unloads that free room for the workload at one of the
// candidate upstreams, where the least demand is displaced. It reports whether
// that is possible. Memory that earlier unloads will free is counted first, so
// that a second plan does not unload more while the unloads of the first are in
// progress.
func (p *plan) makeRoom(w *workload, candidates []int) bool {
	at, evictions, found := p.findRoom(w, candidates, unlimitedLoss)
	if !found {
		return false
	}
	p.planUnloads(at, evictions)
	return true
}

const unlimitedLoss = 1e9 // any demand may be displaced

// findRoom finds the upstream where room for the workload displaces the least
// demand, and no more than maxLoss. Without evictions, the memory is free or being
// freed already. The memory is reserved for the workload.
func (p *plan) findRoom(w *workload, candidates []int, maxLoss float64) (at int, evictions []evictionCandidate, found bool) {
	need := w.memoryMB
	if w.base == nil && len(w.replicas) == 0 {
		need = p.memoryWithAdapters(w)
	}
	best, lowestLoss := -1, maxLoss
	for _, i := range candidates {
		u := &p.upstreams[i]
		if !u.acceptsLoads || w.isAt(i) {
			continue
		}
		if u.freeMB+u.pendingFreeMB >= need {
			u.reserve(need)
			return i, nil, true
		}
		here, loss, ok := p.chooseEvictions(i, need-u.freeMB-u.pendingFreeMB, w)
		if ok && (best < 0 || loss < lowestLoss) && loss <= maxLoss {
			best, lowestLoss, evictions = i, loss, here
		}
	}
	if best >= 0 {
		p.upstreams[best].reserve(need)
	}
	return best, evictions, best >= 0
}

// reserve takes memory that is free or being freed, so that no two models count on
// the same memory. pendingFreeMB may fall below zero until the unloads are
// applied.
func (u *upstreamState) reserve(need int) {
	u.pendingFreeMB -= max(need-u.freeMB, 0)
	u.freeMB = max(u.freeMB-need, 0)
}

// planUnloads plans the evictions at an upstream that are possible now.
func (p *plan) planUnloads(i int, evictions []evictionCandidate) {
	for _, eviction := range p.unloadableNow(i, evictions) {
		p.planUnload(i, eviction.workload, eviction.artifact, eviction.memoryMB, ReasonRoom)
	}
}

// chooseEvictions returns the artifacts at an upstream whose unload frees at least
// need megabytes, those with the least demand first, and the demand that they
// serve there; ok is false if they free less.
func (p *plan) chooseEvictions(i, need int, target *workload) (evictions []evictionCandidate, loss float64, ok bool) {
	candidates := p.evictionCandidates(i, target)
	slices.SortStableFunc(candidates, func(a, b evictionCandidate) int {
		return compareFloat(a.workload.demand.peak(), b.workload.demand.peak())
	})
	for _, candidate := range candidates {
		if need <= 0 {
			break
		}
		evictions = append(evictions, candidate)
		need -= candidate.memoryMB
		loss += candidate.workload.demand.peak()/float64(max(candidate.workload.confirmedReplicas, 1)) + 0.01 // prefer fewer unloads at equal demand
	}
	return evictions, loss, need <= 0
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// evictionCandidates returns the artifacts at an upstream that may be unloaded for
// the target: never the last confirmed replica of a workload that must be kept,
// and never one with an unconfirmed unload.
func (p *plan) evictionCandidates(i int, target *workload) []evictionCandidate {
	u := &p.upstreams[i]
	var out []evictionCandidate
	for _, r := range u.Row.Residents {
		if !slices.Contains(u.artifacts, r.Artifact) || u.Row.HasUnconfirmed(r.Artifact, ledger.Unload) || r.State != ledger.Ready {
			continue
		}
		w := p.byKey[Key{r.Model, r.Adapter}]
		if w == nil {
			w = &workload{key: Key{r.Model, r.Adapter}, artifact: r.Artifact} // no longer configured
		}
		elective := len(target.replicas) >= p.requiredReplicas(target)
		if w == target || w.base == target || (elective && !p.hasCooledDown(w)) || !p.mayEvict(w, u, r.Artifact, target) {
			continue
		}
		out = append(out, evictionCandidate{w, r.Artifact, r.MemoryMB})
	}
	return out
}

// mayEvict reports whether a replica may be unloaded for the sake of the target.
func (p *plan) mayEvict(w *workload, u *upstreamState, artifact ledger.Artifact, target *workload) bool {
	if p.byKey[w.key] == nil {
		return true
	}
	others := w.confirmedReplicas
	if u.serving && u.Row.IsConfirmedReady(artifact) {
		others--
	}
	for _, a := range w.adapters {
		if p.isOnlyReplica(a, u) {
			return false // the adapter would be unloaded with its base model
		}
	}
	if others >= max(p.requiredReplicas(w), 1) {
		return true
	}
	// An on-demand model is evicted for one that must be resident or is asked
	// for, when nobody asks for the first or its cooldown has passed: so all
	// on-demand models share the remaining memory in turn, and each has a stated
	// bound until it is loaded again.
	required := len(target.replicas) < p.requiredReplicas(target)
	hadTurn := p.hasCooledDown(w) && target.confirmedReplicas == 0
	return w.minReplicas == 0 && required && (w.demand.peak() < maxIdleDemand || hadTurn)
}

// fitsAfterEvictions reports whether some upstream would have room without its
// on-demand models, which are evicted in time.
func (p *plan) fitsAfterEvictions(need int) bool {
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if !u.acceptsLoads {
			continue
		}
		room := u.freeMB + u.pendingFreeMB
		for _, r := range u.Row.Residents {
			if w := p.byKey[Key{Model: r.Model}]; w == nil || w.minReplicas == 0 {
				room += r.MemoryMB
			}
		}
		if room >= need {
			return true
		}
	}
	return false
}

// isOnlyReplica reports whether the adapter must be kept and has no confirmed
// replica other than at this upstream.
func (p *plan) isOnlyReplica(a *workload, u *upstreamState) bool {
	confirmedHere := u.serving && u.Row.IsConfirmedReady(a.artifact)
	return confirmedHere && a.confirmedReplicas <= 1 && p.requiredReplicas(a) > 0
}

// unloadableNow returns the evictions with each base model that still has resident
// adapters replaced by these adapters: they are unloaded first, and a later plan
// unloads the base model.
func (p *plan) unloadableNow(i int, evictions []evictionCandidate) []evictionCandidate {
	u := &p.upstreams[i]
	var out []evictionCandidate
	for _, candidate := range evictions {
		if candidate.artifact.Adapter != "" {
			out = append(out, candidate)
			continue
		}
		if u.Row.CanUnload(candidate.artifact) {
			out = append(out, candidate)
			continue
		}
		for _, a := range p.adaptersAt(u, candidate.artifact.Model) {
			listed := slices.ContainsFunc(evictions, func(c evictionCandidate) bool { return c.artifact == a.artifact })
			if !listed {
				out = append(out, a)
			}
		}
	}
	return out
}

// adaptersAt returns the adapters of a model at an upstream that are not about to
// be unloaded.
func (p *plan) adaptersAt(u *upstreamState, model string) []evictionCandidate {
	var out []evictionCandidate
	for _, r := range u.Row.Residents {
		if r.Model != model || r.Adapter == "" || !slices.Contains(u.artifacts, r.Artifact) || u.Row.HasUnconfirmed(r.Artifact, ledger.Unload) {
			continue
		}
		w := p.byKey[Key{r.Model, r.Adapter}]
		if w == nil {
			w = &workload{key: Key{r.Model, r.Adapter}, artifact: r.Artifact}
		}
		out = append(out, evictionCandidate{w, r.Artifact, r.MemoryMB})
	}
	return out
}
