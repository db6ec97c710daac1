package place

import (
	"cmp"
	"slices"
	"time"

	"peridotpier.example/core/ledger"
)

// reach places what has fewer replicas than it must have, largest first, so
// that the small ones fill what the large ones leave. Placed here and not sent
// yet, for want of a place at the weight store, they still keep their room.
func (p *plan) reach() {
	var due []*item
	for _, it := range p.models {
		if len(it.live) < p.leastOf(it) {
			due = append(due, it)
		}
	}
	slices.SortStableFunc(due, func(a, b *item) int {
		return cmp.Or(-cmp.Compare(min(a.least, 1), min(b.least, 1)), -cmp.Compare(a.mb, b.mb), -cmp.Compare(a.demand.most(), b.demand.most()))
	})
	for _, it := range due {
		for len(it.live) < p.leastOf(it) {
			if !p.placeDue(it) {
				break
			}
		}
	}
}

// leastOf is the replicas that an item must have: an on-demand model one, as
// soon as it is asked for.
func (p *plan) leastOf(it *item) int {
	if it.least == 0 && it.demand.most() > 0 {
		return 1
	}
	return it.least
}

// placeDue places one replica, or makes room for it, or states the wait.
func (p *plan) placeDue(it *item) bool {
	why := p.whyDue(it)
	unready := it.firm == 0
	if i := p.bestHost(it, p.withExtras(it)); i >= 0 {
		if unready {
			p.waits = append(p.waits, Wait{it.key, p.bound(it, 0)})
		}
		p.addLoad(i, it, why, 0)
		return true
	}
	room := p.makeRoom(it, p.allHosts())
	if unready {
		bound := time.Duration(0)
		if room || p.pathLater(p.withExtras(it)) {
			b := p.s.Bounds
			bound = p.bound(it, p.settle()+b.SendWindow+b.MaxInFlight+b.MaxReportAge+b.MaxClockSkew)
		}
		p.waits = append(p.waits, Wait{it.key, bound})
	}
	return false
}

func (p *plan) whyDue(it *item) Reason {
	switch {
	case it.firm == 0 && it.leaving:
		return ReasonDraining
	case it.firm == 0 && len(it.live) == 0:
		return ReasonUnreachable
	case len(it.old) > 0:
		return ReasonVersion
	default:
		return ReasonMinimum
	}
}

// withExtras is the memory for a replica together with the adapters that are
// held nowhere: the first replica must have room for them too.
func (p *plan) withExtras(it *item) int {
	sum := it.mb
	for _, a := range it.extras {
		if len(a.live) == 0 && a.kept == 0 {
			sum += a.mb
		}
	}
	return sum
}

// goes says whether the item unloads at a host, or this plan lets it go there.
func (p *plan) goes(i int, it *item) bool {
	h := &p.hosts[i]
	return h.Row.MayBeUnloading(it.thing) || slices.ContainsFunc(p.moves, func(m planned) bool {
		return m.Upstream == h.Name && m.Change.Kind == ledger.Unload && m.Change.Artifact == it.thing
	})
}

// bestHost is where a replica that needs so much memory goes: the tightest
// fit while memory is scarce, the least loaded while it is not. Replicas of
// one model prefer different data centres.
func (p *plan) bestHost(it *item, need int) int {
	best, bestCost := -1, 0.0
	for i := range p.hosts {
		h := &p.hosts[i]
		if !h.usable || h.free < need-it.mb || it.heldAt(i) || p.goes(i, it) {
			continue
		}
		extra := need - it.mb + h.needs(it)
		if h.free < extra {
			continue
		}
		cost := h.utilisation()
		if p.tight {
			cost += float64(h.free-extra) / float64(max(h.Row.CapacityMB, 1))
		} else {
			cost -= float64(h.free) / float64(max(h.Row.CapacityMB, 1)) / 2
		}
		if p.sameDataCentre(it, h.DataCentre) {
			cost += 0.25 // as much as a quarter of an upstream's batch
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (p *plan) sameDataCentre(it *item, dc string) bool {
	return slices.ContainsFunc(it.live, func(i int) bool { return p.hosts[i].DataCentre == dc })
}

func (p *plan) allHosts() []int {
	all := make([]int, len(p.hosts))
	for i := range all {
		all[i] = i
	}
	return all
}

// bound is the longest time until a load decided now is ready: its turn at
// the weight store after all loads decided before, the load itself at a full
// store, and a report that shows it.
func (p *plan) bound(it *item, room time.Duration) time.Duration {
	store := p.s.Store
	before := float64(len(p.moves) + p.s.LoadsInProgress + 1)
	wait := time.Duration(0)
	if store.LoadsPerSecond > 0 {
		wait = time.Duration(before / store.LoadsPerSecond * float64(time.Second))
	}
	load := time.Duration(0)
	if store.MBPerSecond > 0 {
		share := max(float64(store.Concurrent), 1) // if all places of the store share its speed
		load = time.Duration(float64(it.mb) * share / float64(store.MBPerSecond) * float64(time.Second))
	}
	return room + wait + load + p.s.Bounds.SendWindow + p.s.Bounds.MaxReportAge
}

// reachAdapters gives each adapter at least one place beside its base model.
func (p *plan) reachAdapters() {
	for _, it := range p.extras {
		if len(it.live) >= p.leastOf(it) {
			continue
		}
		if it.firm == 0 {
			p.waits = append(p.waits, Wait{it.key, p.bound(it, p.bound(it.base, 0))})
		}
		if i := p.bestBaseHost(it); i >= 0 {
			p.addLoad(i, it, p.whyDue(it), 0)
			continue
		}
		if ready := p.readyBaseHosts(it); len(ready) > 0 {
			p.makeRoom(it, ready)
		}
	}
}

// readyBaseHosts are the hosts where the adapter's base model is firm.
func (p *plan) readyBaseHosts(it *item) []int {
	var out []int
	for _, i := range it.base.live {
		if p.hosts[i].usable && p.hosts[i].Row.IsConfirmedReady(it.base.thing) && !it.heldAt(i) && !p.goes(i, it) {
			out = append(out, i)
		}
	}
	return out
}

func (p *plan) bestBaseHost(it *item) int {
	best := -1
	for _, i := range p.readyBaseHosts(it) {
		h := &p.hosts[i]
		if p.freeFor(i, it) >= h.needs(it) && (best < 0 || h.utilisation() < p.hosts[best].utilisation()) {
			best = i
		}
	}
	return best
}

// fill loads on-demand models that nobody asks for, where there is room to
// spare, so that the first request does not wait for a load.
func (p *plan) fill() {
	for _, it := range p.models {
		if len(it.live) > 0 || it.least > 0 || p.leastOf(it) > 0 {
			continue
		}
		i := p.bestHost(it, p.withExtras(it))
		if i < 0 || p.budget < 1 {
			p.waits = append(p.waits, Wait{it.key, p.bound(it, p.s.Bounds.MaxReportAge)})
			continue
		}
		p.budget--
		p.addLoad(i, it, ReasonFill, 0)
	}
}
