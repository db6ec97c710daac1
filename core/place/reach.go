package place

import (
	"cmp"
	"slices"
	"time"

	"peridotpier.example/core/ledger"
)

// placeMissing places the models that have fewer replicas than required: on-demand
// models last, otherwise the largest first, so that the small ones fill the gaps
// that the large ones leave. A load that is placed here but not sent yet, for want
// of a slot at the weight store, still keeps its memory reserved.
func (p *plan) placeMissing() {
	var missing []*workload
	for _, w := range p.models {
		if len(w.replicas) < p.requiredReplicas(w) {
			missing = append(missing, w)
		}
	}
	slices.SortStableFunc(missing, func(a, b *workload) int {
		return cmp.Or(-cmp.Compare(min(a.minReplicas, 1), min(b.minReplicas, 1)), -cmp.Compare(a.memoryMB, b.memoryMB), -cmp.Compare(a.demand.peak(), b.demand.peak()))
	})
	for _, w := range missing {
		for len(w.replicas) < p.requiredReplicas(w) {
			if !p.placeReplica(w) {
				break
			}
		}
	}
}

// requiredReplicas returns how many replicas a workload must have: an on-demand
// model needs one as soon as it is asked for.
func (p *plan) requiredReplicas(w *workload) int {
	if w.minReplicas == 0 && w.demand.peak() > 0 {
		return 1
	}
	return w.minReplicas
}

// placeReplica places one replica and reports whether it could; otherwise it makes
// room for a later plan. For a model without a ready replica it adds the expected
// wait.
func (p *plan) placeReplica(w *workload) bool {
	reason := p.placementReason(w)
	unreachable := w.confirmedReplicas == 0
	if i := p.bestUpstream(w, p.memoryWithAdapters(w)); i >= 0 {
		if unreachable {
			p.waits = append(p.waits, Wait{w.key, p.readyBound(w, 0)})
		}
		p.planLoad(i, w, reason, 0)
		return true
	}
	room := p.makeRoom(w, p.allUpstreams())
	if unreachable {
		bound := time.Duration(0)
		if room || p.fitsAfterEvictions(p.memoryWithAdapters(w)) {
			b := p.snapshot.Bounds
			bound = p.readyBound(w, p.moveCooldown()+b.SendWindow+b.MaxInFlight+b.MaxReportAge+b.MaxClockSkew)
		}
		p.waits = append(p.waits, Wait{w.key, bound})
	}
	return false
}

// placementReason returns the reason for loading a required replica.
func (p *plan) placementReason(w *workload) Reason {
	switch {
	case w.confirmedReplicas == 0 && w.onDraining:
		return ReasonDraining
	case w.confirmedReplicas == 0 && len(w.replicas) == 0:
		return ReasonUnreachable
	case len(w.oldReplicas) > 0:
		return ReasonVersion
	default:
		return ReasonMinimum
	}
}

// memoryWithAdapters returns the memory for a replica together with the adapters
// that have no replica: the first replica of a model must have room for these too.
func (p *plan) memoryWithAdapters(w *workload) int {
	sum := w.memoryMB
	for _, a := range w.adapters {
		if len(a.replicas) == 0 && a.reservedAt == 0 {
			sum += a.memoryMB
		}
	}
	return sum
}

// isBeingUnloaded reports whether the workload may be unloading at an upstream, or
// this plan unloads it there.
func (p *plan) isBeingUnloaded(i int, w *workload) bool {
	u := &p.upstreams[i]
	return u.Row.MayBeUnloading(w.artifact) || slices.ContainsFunc(p.moves, func(m plannedMove) bool {
		return m.Upstream == u.Name && m.Change.Kind == ledger.Unload && m.Change.Artifact == w.artifact
	})
}

// bestUpstream returns the upstream for a replica that takes need megabytes with
// its adapters, or -1. It prefers a low load and, while memory is tight, the
// tightest fit, otherwise much free memory. Replicas of one model prefer different
// data centres.
func (p *plan) bestUpstream(w *workload, need int) int {
	best, bestCost := -1, 0.0
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if !u.acceptsLoads || u.freeMB < need-w.memoryMB || w.isAt(i) || p.isBeingUnloaded(i, w) {
			continue
		}
		extra := need - w.memoryMB + u.requiredMB(w)
		if u.freeMB < extra {
			continue
		}
		cost := u.utilisation()
		if p.memoryTight {
			cost += float64(u.freeMB-extra) / float64(max(u.Row.CapacityMB, 1))
		} else {
			cost -= float64(u.freeMB) / float64(max(u.Row.CapacityMB, 1)) / 2
		}
		if p.sameDataCentre(w, u.DataCentre) {
			cost += 0.25 // as much as a quarter of an upstream's batch
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// sameDataCentre reports whether the workload has a replica in the data centre.
func (p *plan) sameDataCentre(w *workload, dc string) bool {
	return slices.ContainsFunc(w.replicas, func(i int) bool { return p.upstreams[i].DataCentre == dc })
}

func (p *plan) allUpstreams() []int {
	all := make([]int, len(p.upstreams))
	for i := range all {
		all[i] = i
	}
	return all
}

// readyBound returns the longest time until a load decided now is ready: roomWait
// until there is room, the wait at the weight store after all loads decided before,
// the load itself while the store is fully used, and a report that shows it.
func (p *plan) readyBound(w *workload, roomWait time.Duration) time.Duration {
	store := p.snapshot.Store
	before := float64(len(p.moves) + p.snapshot.LoadsInProgress + 1)
	wait := time.Duration(0)
	if store.LoadsPerSecond > 0 {
		wait = time.Duration(before / store.LoadsPerSecond * float64(time.Second))
	}
	load := time.Duration(0)
	if store.MBPerSecond > 0 {
		share := max(float64(store.Concurrent), 1) // all slots of the store share its bandwidth
		load = time.Duration(float64(w.memoryMB) * share / float64(store.MBPerSecond) * float64(time.Second))
	}
	return roomWait + wait + load + p.snapshot.Bounds.SendWindow + p.snapshot.Bounds.MaxReportAge
}

// placeMissingAdapters gives each adapter at least one replica beside its base
// model.
func (p *plan) placeMissingAdapters() {
	for _, w := range p.adapters {
		if len(w.replicas) >= p.requiredReplicas(w) {
			continue
		}
		if w.confirmedReplicas == 0 {
			p.waits = append(p.waits, Wait{w.key, p.readyBound(w, p.readyBound(w.base, 0))})
		}
		if i := p.bestUpstreamWithBase(w); i >= 0 {
			p.planLoad(i, w, p.placementReason(w), 0)
			continue
		}
		if ready := p.upstreamsWithBase(w); len(ready) > 0 {
			p.makeRoom(w, ready)
		}
	}
}

// upstreamsWithBase returns the upstreams where the adapter's base model is
// confirmed ready and the adapter could be loaded.
func (p *plan) upstreamsWithBase(w *workload) []int {
	var out []int
	for _, i := range w.base.replicas {
		if p.upstreams[i].acceptsLoads && p.upstreams[i].Row.IsConfirmedReady(w.base.artifact) && !w.isAt(i) && !p.isBeingUnloaded(i, w) {
			out = append(out, i)
		}
	}
	return out
}

// bestUpstreamWithBase returns the least loaded of upstreamsWithBase that has room
// for the adapter, or -1.
func (p *plan) bestUpstreamWithBase(w *workload) int {
	best := -1
	for _, i := range p.upstreamsWithBase(w) {
		u := &p.upstreams[i]
		if p.freeMBFor(i, w) >= u.requiredMB(w) && (best < 0 || u.utilisation() < p.upstreams[best].utilisation()) {
			best = i
		}
	}
	return best
}

// fillSpareMemory loads on-demand models that nobody asks for where memory is
// spare, so that the first request does not wait for a load.
func (p *plan) fillSpareMemory() {
	for _, w := range p.models {
		if len(w.replicas) > 0 || w.minReplicas > 0 || p.requiredReplicas(w) > 0 {
			continue
		}
		i := p.bestUpstream(w, p.memoryWithAdapters(w))
		if i < 0 || p.budget < 1 {
			p.waits = append(p.waits, Wait{w.key, p.readyBound(w, p.snapshot.Bounds.MaxReportAge)})
			continue
		}
		p.budget--
		p.planLoad(i, w, ReasonFill, 0)
	}
}
