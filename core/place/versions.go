package place

import "peridotpier.example/core/ledger"

// retireVersions unloads what is configured no more, once the version that is
// configured is ready: as many firm replicas as must be kept. Until then the
// old one answers.
func (p *plan) retireVersions() {
	for i := range p.hosts {
		h := &p.hosts[i]
		if !h.usable {
			continue
		}
		for _, r := range h.Row.Residents {
			if r.State != ledger.Ready || h.Row.HasUnconfirmed(r.Artifact, ledger.Unload) {
				continue
			}
			it := p.byKey[Key{r.Model, r.Adapter}]
			if it != nil && (r.Artifact == it.thing || it.current < max(it.least, 1)) {
				continue
			}
			p.retire(i, it, r)
		}
	}
}

func (p *plan) retire(i int, it *item, r ledger.Resident) {
	h := &p.hosts[i]
	if it == nil {
		it = &item{key: Key{r.Model, r.Adapter}, thing: r.Artifact}
	}
	if r.Adapter == "" {
		// An adapter may be served on this very version of its base model, so
		// it must have a place beside the new one first.
		for _, a := range it.extras {
			if p.heldOnlyAt(a, h) {
				return
			}
		}
		if !h.Row.CanUnload(r.Artifact) {
			for _, a := range p.adaptersAt(h, r.Model) {
				p.addUnload(i, a.it, a.thing, a.mb, ReasonVersion)
			}
			return
		}
	}
	p.addUnload(i, it, r.Artifact, r.MemoryMB, ReasonVersion)
}
