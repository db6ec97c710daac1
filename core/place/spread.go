package place

import "time"

// spread adds replicas of models whose replicas are all overloaded, highest gain
// first. It does not unload surplus replicas: a replica that is no longer needed
// costs nothing until its memory is needed, and would cost a load to restore.
func (p *plan) spread() {
	for range maxElectiveMoves {
		if p.budget < 1 {
			return
		}
		best, at, bestGain := (*workload)(nil), -1, minElectiveGain
		unplaced, unplacedGain := (*workload)(nil), minElectiveGain
		for _, w := range p.models {
			i, gain := p.spreadGain(w)
			if i >= 0 && gain > bestGain {
				best, at, bestGain = w, i, gain
			}
			if i < 0 && gain > unplacedGain {
				unplaced, unplacedGain = w, gain
			}
		}
		if best == nil {
			p.makeRoomForSpread(unplaced, unplacedGain)
			return
		}
		p.budget--
		best.moved = true
		p.planLoad(at, best, ReasonSpread, bestGain)
	}
}

// makeRoomForSpread makes room for another replica of a model that is overloaded
// everywhere, if that displaces much less demand than it gains. A later plan loads
// the replica.
func (p *plan) makeRoomForSpread(w *workload, gain float64) {
	if w == nil {
		return
	}
	var underused []int
	for i := range p.upstreams {
		if p.upstreams[i].ReportCount >= minReports && p.upstreams[i].utilisation() < p.threshold() {
			underused = append(underused, i)
		}
	}
	if at, evictions, found := p.findRoom(w, underused, gain*maxDisplacedShare); found {
		p.planUnloads(at, evictions)
	}
}

// loadInitialReplicas loads the replicas that a model is configured to start with,
// where there is room, until the model is moved for any other reason.
func (p *plan) loadInitialReplicas() {
	for _, w := range p.models {
		if _, moved := p.snapshot.LastMove[w.key]; moved {
			continue
		}
		for len(w.replicas) > 0 && len(w.replicas) < w.initialReplicas {
			i := p.bestUpstream(w, w.memoryMB)
			if i < 0 {
				break
			}
			p.planLoad(i, w, ReasonInitial, 0)
		}
	}
}

// spreadGain estimates the gain of one more replica: the requests at once above
// the threshold on the upstreams of the model before, less those after. If no
// upstream has room, at is -1 and the gain leaves out the load added to the new
// upstream.
func (p *plan) spreadGain(w *workload) (at int, gain float64) {
	if !p.hasCooledDown(w) || w.sharedDemand() <= 0 || !p.allOverloaded(w) {
		return -1, 0
	}
	at = p.bestUpstream(w, w.memoryMB)
	if at >= 0 && p.upstreams[at].ReportCount < minReports {
		return -1, 0
	}
	n, demand := float64(len(w.replicas)), w.sharedDemand()
	share, reduction := demand/(n+1), demand/n-demand/(n+1)
	for _, i := range w.replicas {
		gain += p.overload(i, 0) - p.overload(i, -reduction)
	}
	if at >= 0 {
		gain += p.overload(at, 0) - p.overload(at, share)
	}
	return at, gain
}

// sharedDemand returns the demand that one more replica of a base model would
// share: its own and that of its adapters, which move with it. Without theirs, a
// model that is only called through adapters would never be spread.
func (w *workload) sharedDemand() float64 {
	sum := w.demand.sustained()
	for _, a := range w.adapters {
		sum += a.demand.sustained()
	}
	return sum
}

// overload returns the requests at once above the threshold at an upstream, if its
// demand changed by change. Requests far above the threshold weigh more, as waits
// grow faster than load: with equal weights, moving work from a badly overloaded
// upstream to one just above the threshold would seem to gain nothing.
func (p *plan) overload(i int, change float64) float64 {
	u := &p.upstreams[i]
	batch := float64(max(u.MaxBatch, 1))
	over := max(u.demand+change-p.threshold()*batch, 0)
	return over + over*over/batch
}

// threshold returns the utilisation above which an upstream counts as overloaded.
func (p *plan) threshold() float64 {
	if p.snapshot.Preset.SpreadThreshold > 0 {
		return p.snapshot.Preset.SpreadThreshold
	}
	return defaultThreshold
}

// allOverloaded reports whether every replica of the workload is overloaded. While
// one replica has room, routing sends the work there.
func (p *plan) allOverloaded(w *workload) bool {
	for _, i := range w.replicas {
		if p.upstreams[i].utilisation() <= p.threshold() || p.upstreams[i].ReportCount < minReports {
			return false
		}
	}
	return len(w.replicas) > 0
}

// moveCooldown returns how long a workload is not moved again after a move.
func (p *plan) moveCooldown() time.Duration {
	if p.snapshot.MoveCooldown > 0 {
		return p.snapshot.MoveCooldown
	}
	return defaultMoveCooldown
}

// hasCooledDown reports whether the workload may be moved again.
func (p *plan) hasCooledDown(w *workload) bool {
	last, moved := p.snapshot.LastMove[w.key]
	return !w.moved && (!moved || p.now.Sub(last) >= p.moveCooldown())
}

// spreadAdapters loads an adapter beside more replicas of its base model, when all
// upstreams that serve the adapter are overloaded and another one is not.
func (p *plan) spreadAdapters() {
	remaining := maxElectiveMoves
	for _, w := range p.adapters {
		if remaining == 0 {
			return
		}
		if w.demand.sustained() < minAdapterDemand || !p.hasCooledDown(w) || !p.allOverloaded(w) {
			continue
		}
		i := p.bestUpstreamWithBase(w)
		if i < 0 || p.upstreams[i].utilisation() > p.threshold() {
			continue
		}
		remaining--
		p.planLoad(i, w, ReasonAdapter, w.demand.sustained()/float64(len(w.replicas)+1))
	}
}
