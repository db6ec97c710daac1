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
	s      *Snapshot
	now    time.Time
	hosts  []host
	models []*item // base models
	extras []*item // adapters
	byKey  map[Key]*item
	moves  []planned
	waits  []Wait
	budget float64
	tight  bool
}

type planned struct {
	Move
	demand float64
}

// host is an upstream with the moves decided so far.
type host struct {
	*Upstream
	free    int // megabytes that may be reserved now
	coming  int // megabytes that unloads in doubt will free
	load    float64
	usable  bool // takes new loads
	serving bool // answers new requests
	things  []ledger.Artifact
}

// item is a model or an adapter with its places.
type item struct {
	key     Key
	thing   ledger.Artifact // of the version configured
	mb      int
	least   int   // replicas to keep
	initial int   // replicas to start with
	live    []int // hosts that hold the thing or are about to
	old     []int // hosts that hold another version
	firm    int   // serving hosts with a firm replica of any version
	current int   // of these, in the version configured
	leaving bool  // held where the upstream leaves
	moved   bool  // by an elective move of this plan
	kept    int   // 1 + the host where room is kept for an adapter that is held nowhere; 0: none
	demand  Demand
	base    *item   // of an adapter
	extras  []*item // adapters of a base model
}

func newPlan(s *Snapshot, now time.Time) *plan {
	p := &plan{s: s, now: now, byKey: map[Key]*item{}, budget: s.Budget}
	for i := range s.Models {
		p.addModel(&s.Models[i])
	}
	for i := range s.Adapters {
		p.addAdapter(&s.Adapters[i])
	}
	p.addHosts()
	for _, it := range p.models {
		p.shareLoad(it)
	}
	for _, it := range p.extras {
		p.shareLoad(it)
		p.keepRoom(it, it.base.live)
	}
	return p
}

func (p *plan) addModel(m *config.Model) {
	it := &item{key: Key{Model: m.Name}, thing: ledger.Artifact{Model: m.Name, Version: m.Version}, mb: m.MemoryMB,
		least: m.MinReplicas, initial: m.InitialReplicas}
	it.demand = p.s.Demand[it.key]
	p.models = append(p.models, it)
	p.byKey[it.key] = it
}

func (p *plan) addAdapter(a *config.Adapter) {
	base := p.byKey[Key{Model: a.Model}]
	if base == nil {
		return // of another pool
	}
	it := &item{key: Key{a.Model, a.Name}, thing: ledger.Artifact{Model: a.Model, Adapter: a.Name, Version: a.Version}, mb: a.MemoryMB, base: base}
	it.least = min(base.least, 1)
	it.demand = p.s.Demand[it.key]
	base.extras = append(base.extras, it)
	p.extras = append(p.extras, it)
	p.byKey[it.key] = it
}

func (p *plan) addHosts() {
	p.hosts = make([]host, len(p.s.Upstreams))
	taken, capacity := 0, 0
	for i := range p.s.Upstreams {
		u := &p.s.Upstreams[i]
		h := &p.hosts[i]
		*h = host{Upstream: u, free: u.Row.FreeMB(), serving: !u.Draining && !u.Down}
		h.usable = h.serving && u.Row.Incarnation() != ""
		for _, r := range u.Row.Residents {
			p.addResident(i, r)
		}
		for _, c := range u.Row.Charges {
			p.addCharge(i, c)
		}
		if h.usable {
			taken, capacity = taken+u.Row.CapacityMB-h.free, capacity+u.Row.CapacityMB
		}
	}
	for _, it := range p.models {
		if len(it.live) == 0 {
			taken += it.mb * max(it.least, 1)
		}
	}
	p.tight = float64(taken) > tightShare*float64(capacity)
}

func (p *plan) addResident(i int, r ledger.Resident) {
	h := &p.hosts[i]
	h.things = append(h.things, r.Artifact)
	if h.Row.HasUnconfirmed(r.Artifact, ledger.Unload) {
		h.coming += r.MemoryMB
		return
	}
	it := p.byKey[Key{r.Model, r.Adapter}]
	switch {
	case it == nil || r.State == ledger.Unloading:
		return
	case !h.serving:
		it.leaving = it.leaving || h.Draining
		return
	case r.Artifact == it.thing:
		it.live = append(it.live, i)
	default:
		it.old = append(it.old, i)
	}
	if h.Row.IsConfirmedReady(r.Artifact) {
		it.firm++
		if r.Artifact == it.thing {
			it.current++
		}
	}
}

// addCharge counts a load that is on its way. Past its window and a grace, or
// when its engine restarted, it is taken for lost: its memory stays charged, but nobody waits for it.
func (p *plan) addCharge(i int, c ledger.Charge) {
	it := p.byKey[Key{c.Model, c.Adapter}]
	if c.Kind != ledger.Load || it == nil || c.Artifact != it.thing || p.now.After(c.SendBy.Add(sendGrace)) {
		return
	}
	h := &p.hosts[i]
	if c.Incarnation != h.Row.Incarnation() || !h.serving || slices.Contains(it.live, i) || h.Row.HasUnconfirmed(c.Artifact, ledger.Unload) {
		return
	}
	it.live = append(it.live, i)
}

// shareLoad spreads an item's demand evenly over the hosts that hold it.
func (p *plan) shareLoad(it *item) {
	holders := it.holders()
	for _, i := range holders {
		p.hosts[i].load += it.demand.sure() / float64(len(holders))
	}
}

func (it *item) holders() []int {
	if len(it.live) > 0 {
		return it.live
	}
	return it.old
}

// keepRoom sets memory aside for an adapter that is held nowhere, beside its
// base model, so that nothing else takes it before the base is ready.
func (p *plan) keepRoom(a *item, bases []int) {
	if len(a.live) > 0 || a.kept > 0 || p.leastOf(a) == 0 {
		return
	}
	best := -1
	for _, i := range bases {
		if p.hosts[i].usable && (best < 0 || p.hosts[i].free > p.hosts[best].free) {
			best = i
		}
	}
	if best >= 0 && p.hosts[best].free >= p.hosts[best].needs(a) {
		p.hosts[best].free -= p.hosts[best].needs(a)
		a.kept = best + 1
	}
}

// freeFor is the memory that the item may take at a host, with what is kept
// there for it.
func (p *plan) freeFor(i int, it *item) int {
	h := &p.hosts[i]
	if it.kept == i+1 {
		return h.free + h.needs(it)
	}
	return h.free
}

// heldAt says whether the host holds the item, in any version, or is about to.
func (it *item) heldAt(i int) bool { return slices.Contains(it.live, i) || slices.Contains(it.old, i) }

func (h *host) utilisation() float64 { return h.load / float64(max(h.MaxBatch, 1)) }

// needs is the memory that loading the thing takes at the host: none when it
// is charged there already.
func (h *host) needs(it *item) int {
	if h.Row.MayBeResident(it.thing) {
		return 0
	}
	return it.mb
}

// addLoad decides a load and counts it in.
func (p *plan) addLoad(i int, it *item, why Reason, gain float64) {
	h := &p.hosts[i]
	if it.kept > 0 {
		p.hosts[it.kept-1].free += p.hosts[it.kept-1].needs(it)
		it.kept = 0
	}
	h.free -= h.needs(it)
	for _, a := range it.extras {
		p.keepRoom(a, []int{i})
	}
	p.rebalance(it, func() { it.live = append(it.live, i) })
	p.moves = append(p.moves, planned{
		Move{h.Name, ledger.Change{Kind: ledger.Load, Artifact: it.thing, MemoryMB: it.mb}, why, gain}, it.demand.most()})
}

// addUnload decides an unload and counts it in; the memory comes later.
func (p *plan) addUnload(i int, it *item, t ledger.Artifact, mb int, why Reason) {
	h := &p.hosts[i]
	firm := h.Row.IsConfirmedReady(t)
	p.rebalance(it, func() {
		gone := func(k int) bool { return k == i }
		if t == it.thing {
			it.live = slices.DeleteFunc(it.live, gone)
		} else {
			it.old = slices.DeleteFunc(it.old, gone)
		}
	})
	if firm && h.serving {
		it.firm--
		if t == it.thing {
			it.current--
		}
	}
	h.coming += mb
	h.things = slices.DeleteFunc(slices.Clone(h.things), func(x ledger.Artifact) bool { return x == t })
	p.moves = append(p.moves, planned{Move{h.Name, ledger.Change{Kind: ledger.Unload, Artifact: t}, why, 0}, 0})
}

// rebalance takes the item's load off its hosts, changes them, and puts it back.
func (p *plan) rebalance(it *item, change func()) {
	before := it.holders()
	for _, i := range before {
		p.hosts[i].load -= it.demand.sure() / float64(len(before))
	}
	change()
	p.shareLoad(it)
}
