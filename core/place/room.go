package place

import (
	"slices"

	"peridotpier.example/core/ledger"
)

// evictionCandidate is a thing that may go to make room.
type evictionCandidate struct {
	workload *workload
	artifact ledger.Artifact
	memoryMB int
}

// makeRoom decides the unloads that free room for the item at one of the
// hosts: where the least demand is displaced. It says whether there is a way.
// Room that earlier unloads will free is counted first, so that a second plan
// does not unload more while the first one's unloads are under way.
func (p *plan) makeRoom(w *workload, candidates []int) bool {
	at, evictions, found := p.findRoom(w, candidates, unlimitedLoss)
	if !found {
		return false
	}
	p.planUnloads(at, evictions)
	return true
}

const unlimitedLoss = 1e9 // any loss

// findRoom finds the host where room for the item displaces the least demand,
// and no more than most. Without victims the room is coming already, and is
// kept for the item.
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

// reserve takes room that is free or coming, so that no two models count on
// the same. What is coming may go below zero until its unloads are counted in.
func (u *upstreamState) reserve(need int) {
	u.pendingFreeMB -= max(need-u.freeMB, 0)
	u.freeMB = max(u.freeMB-need, 0)
}

func (p *plan) planUnloads(i int, evictions []evictionCandidate) {
	for _, eviction := range p.unloadableNow(i, evictions) {
		p.planUnload(i, eviction.workload, eviction.artifact, eviction.memoryMB, ReasonRoom)
	}
}

// chooseEvictions are the things at a host that free at least need megabytes, those
// with the least demand first, and the demand that they carry there.
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
		loss += candidate.workload.demand.peak()/float64(max(candidate.workload.confirmedReplicas, 1)) + 0.01 // of equals, fewer unloads
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

// evictionCandidates are the things at a host that may go: never the last firm
// replica of what must be kept, and never one whose going is in doubt already.
func (p *plan) evictionCandidates(i int, target *workload) []evictionCandidate {
	u := &p.upstreams[i]
	var out []evictionCandidate
	for _, r := range u.Row.Residents {
		if !slices.Contains(u.artifacts, r.Artifact) || u.Row.HasUnconfirmed(r.Artifact, ledger.Unload) || r.State != ledger.Ready {
			continue
		}
		w := p.byKey[Key{r.Model, r.Adapter}]
		if w == nil {
			w = &workload{key: Key{r.Model, r.Adapter}, artifact: r.Artifact} // configured no more
		}
		elective := len(target.replicas) >= p.requiredReplicas(target)
		if w == target || w.base == target || (elective && !p.hasCooledDown(w)) || !p.mayEvict(w, u, r.Artifact, target) {
			continue
		}
		out = append(out, evictionCandidate{w, r.Artifact, r.MemoryMB})
	}
	return out
}

// mayEvict says whether a replica may go for another model's sake.
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
			return false // an adapter would go with its base model
		}
	}
	if others >= max(p.requiredReplicas(w), 1) {
		return true
	}
	// An on-demand model gives way to one that must be resident or is asked
	// for when nobody asks for it, or when it had its turn: so all of them
	// share what memory is left, each with a stated path back.
	required := len(target.replicas) < p.requiredReplicas(target)
	hadTurn := p.hasCooledDown(w) && target.confirmedReplicas == 0
	return w.minReplicas == 0 && required && (w.demand.peak() < maxIdleDemand || hadTurn)
}

// fitsAfterEvictions says whether some host has room but for on-demand models, which
// give way in time.
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

// isOnlyReplica says whether the adapter must be kept and has no firm place but
// this host.
func (p *plan) isOnlyReplica(a *workload, u *upstreamState) bool {
	confirmedHere := u.serving && u.Row.IsConfirmedReady(a.artifact)
	return confirmedHere && a.confirmedReplicas <= 1 && p.requiredReplicas(a) > 0
}

// unloadableNow leaves out base models while adapters of them are still held
// there: these go first, and a later plan unloads the base.
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
