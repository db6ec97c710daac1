package place

import "peridotpier.example/core/ledger"

// retireVersions unloads artifacts that are no longer configured, once the
// configured version is confirmed ready on as many upstreams as replicas must be
// kept. Until then the old version answers.
func (p *plan) retireVersions() {
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if !u.acceptsLoads {
			continue
		}
		for _, r := range u.Row.Residents {
			if r.State != ledger.Ready || u.Row.HasUnconfirmed(r.Artifact, ledger.Unload) {
				continue
			}
			w := p.byKey[Key{r.Model, r.Adapter}]
			if w != nil && (r.Artifact == w.artifact || w.currentReplicas < max(w.minReplicas, 1)) {
				continue
			}
			p.retireReplica(i, w, r)
		}
	}
}

// retireReplica plans the unload of an artifact that is no longer configured,
// unless an adapter needs it.
func (p *plan) retireReplica(i int, w *workload, r ledger.Resident) {
	u := &p.upstreams[i]
	if w == nil {
		w = &workload{key: Key{r.Model, r.Adapter}, artifact: r.Artifact}
	}
	if r.Adapter == "" {
		// An adapter may be served on this version of its base model, so it must
		// have a replica beside the new version first.
		for _, a := range w.adapters {
			if p.isOnlyReplica(a, u) {
				return
			}
		}
		if !u.Row.CanUnload(r.Artifact) {
			for _, a := range p.adaptersAt(u, r.Model) {
				p.planUnload(i, a.workload, a.artifact, a.memoryMB, ReasonVersion)
			}
			return
		}
	}
	p.planUnload(i, w, r.Artifact, r.MemoryMB, ReasonVersion)
}
