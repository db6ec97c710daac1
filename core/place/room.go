package place

import (
	"slices"

	"peridotpier.example/core/ledger"
)

// victim is a thing that may go to make room.
type victim struct {
	it    *item
	thing ledger.Artifact
	mb    int
}

// makeRoom decides the unloads that free room for the item at one of the
// hosts: where the least demand is displaced. It says whether there is a way.
// Room that earlier unloads will free is counted first, so that a second plan
// does not unload more while the first one's unloads are under way.
func (p *plan) makeRoom(it *item, hosts []int) bool {
	at, chosen, found := p.findRoom(it, hosts, maxLoss)
	if !found {
		return false
	}
	p.unloadAll(at, chosen)
	return true
}

const maxLoss = 1e9 // any loss

// findRoom finds the host where room for the item displaces the least demand,
// and no more than most. Without victims the room is coming already, and is
// kept for the item.
func (p *plan) findRoom(it *item, hosts []int, most float64) (at int, chosen []victim, found bool) {
	need := it.mb
	if it.base == nil && len(it.live) == 0 {
		need = p.withExtras(it)
	}
	best, bestLoss := -1, most
	for _, i := range hosts {
		h := &p.hosts[i]
		if !h.usable || it.heldAt(i) {
			continue
		}
		if h.free+h.coming >= need {
			h.promise(need)
			return i, nil, true
		}
		victims, loss, ok := p.victims(i, need-h.free-h.coming, it)
		if ok && (best < 0 || loss < bestLoss) && loss <= most {
			best, bestLoss, chosen = i, loss, victims
		}
	}
	if best >= 0 {
		p.hosts[best].promise(need)
	}
	return best, chosen, best >= 0
}

// promise takes room that is free or coming, so that no two models count on
// the same. What is coming may go below zero until its unloads are counted in.
func (h *host) promise(need int) {
	h.coming -= max(need-h.free, 0)
	h.free = max(h.free-need, 0)
}

func (p *plan) unloadAll(i int, victims []victim) {
	for _, v := range p.nowUnloadable(i, victims) {
		p.addUnload(i, v.it, v.thing, v.mb, ReasonRoom)
	}
}

// victims are the things at a host that free at least need megabytes, those
// with the least demand first, and the demand that they carry there.
func (p *plan) victims(i, need int, forItem *item) (out []victim, loss float64, ok bool) {
	candidates := p.candidates(i, forItem)
	slices.SortStableFunc(candidates, func(a, b victim) int {
		return compareFloat(a.it.demand.most(), b.it.demand.most())
	})
	for _, v := range candidates {
		if need <= 0 {
			break
		}
		out = append(out, v)
		need -= v.mb
		loss += v.it.demand.most()/float64(max(v.it.firm, 1)) + 0.01 // of equals, fewer unloads
	}
	return out, loss, need <= 0
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

// candidates are the things at a host that may go: never the last firm
// replica of what must be kept, and never one whose going is in doubt already.
func (p *plan) candidates(i int, forItem *item) []victim {
	h := &p.hosts[i]
	var out []victim
	for _, r := range h.Row.Residents {
		if !slices.Contains(h.things, r.Artifact) || h.Row.HasUnconfirmed(r.Artifact, ledger.Unload) || r.State != ledger.Ready {
			continue
		}
		it := p.byKey[Key{r.Model, r.Adapter}]
		if it == nil {
			it = &item{key: Key{r.Model, r.Adapter}, thing: r.Artifact} // configured no more
		}
		elective := len(forItem.live) >= p.leastOf(forItem)
		if it == forItem || it.base == forItem || (elective && !p.settled(it)) || !p.dispensable(it, h, r.Artifact, forItem) {
			continue
		}
		out = append(out, victim{it, r.Artifact, r.MemoryMB})
	}
	return out
}

// dispensable says whether a replica may go for another model's sake.
func (p *plan) dispensable(it *item, h *host, t ledger.Artifact, forItem *item) bool {
	if p.byKey[it.key] == nil {
		return true
	}
	others := it.firm
	if h.serving && h.Row.IsConfirmedReady(t) {
		others--
	}
	for _, a := range it.extras {
		if p.heldOnlyAt(a, h) {
			return false // an adapter would go with its base model
		}
	}
	if others >= max(p.leastOf(it), 1) {
		return true
	}
	// An on-demand model gives way to one that must be resident or is asked
	// for when nobody asks for it, or when it had its turn: so all of them
	// share what memory is left, each with a stated path back.
	due := len(forItem.live) < p.leastOf(forItem)
	hadTurn := p.settled(it) && forItem.firm == 0
	return it.least == 0 && due && (it.demand.most() < idleDemand || hadTurn)
}

// pathLater says whether some host has room but for on-demand models, which
// give way in time.
func (p *plan) pathLater(need int) bool {
	for i := range p.hosts {
		h := &p.hosts[i]
		if !h.usable {
			continue
		}
		room := h.free + h.coming
		for _, r := range h.Row.Residents {
			if it := p.byKey[Key{Model: r.Model}]; it == nil || it.least == 0 {
				room += r.MemoryMB
			}
		}
		if room >= need {
			return true
		}
	}
	return false
}

// heldOnlyAt says whether the adapter must be kept and has no firm place but
// this host.
func (p *plan) heldOnlyAt(a *item, h *host) bool {
	firmHere := h.serving && h.Row.IsConfirmedReady(a.thing)
	return firmHere && a.firm <= 1 && p.leastOf(a) > 0
}

// nowUnloadable leaves out base models while adapters of them are still held
// there: these go first, and a later plan unloads the base.
func (p *plan) nowUnloadable(i int, chosen []victim) []victim {
	h := &p.hosts[i]
	var out []victim
	for _, v := range chosen {
		if v.thing.Adapter != "" {
			out = append(out, v)
			continue
		}
		if h.Row.CanUnload(v.thing) {
			out = append(out, v)
			continue
		}
		for _, a := range p.adaptersAt(h, v.thing.Model) {
			listed := slices.ContainsFunc(chosen, func(c victim) bool { return c.thing == a.thing })
			if !listed {
				out = append(out, a)
			}
		}
	}
	return out
}

func (p *plan) adaptersAt(h *host, model string) []victim {
	var out []victim
	for _, r := range h.Row.Residents {
		if r.Model != model || r.Adapter == "" || !slices.Contains(h.things, r.Artifact) || h.Row.HasUnconfirmed(r.Artifact, ledger.Unload) {
			continue
		}
		it := p.byKey[Key{r.Model, r.Adapter}]
		if it == nil {
			it = &item{key: Key{r.Model, r.Adapter}, thing: r.Artifact}
		}
		out = append(out, victim{it, r.Artifact, r.MemoryMB})
	}
	return out
}
