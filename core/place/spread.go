package place

import "time"

// spread adds replicas of models whose replicas are all overloaded, best gain
// first. It unloads nothing to tidy up: a replica that is not needed any more costs nothing
// until its memory is, and would cost a load to bring back.
func (p *plan) spread() {
	for range mostElective {
		if p.budget < 1 {
			return
		}
		best, at, bestGain := (*item)(nil), -1, earnSlots
		stuck, stuckGain := (*item)(nil), earnSlots
		for _, it := range p.models {
			i, gain := p.gainOf(it)
			if i >= 0 && gain > bestGain {
				best, at, bestGain = it, i, gain
			}
			if i < 0 && gain > stuckGain {
				stuck, stuckGain = it, gain
			}
		}
		if best == nil {
			p.spreadByRoom(stuck, stuckGain)
			return
		}
		p.budget--
		best.moved = true
		p.addLoad(at, best, ReasonSpread, bestGain)
	}
}

// spreadByRoom makes room for another replica of a model that is overloaded
// everywhere, where that displaces far less than it gains. A later plan loads.
func (p *plan) spreadByRoom(it *item, gain float64) {
	if it == nil {
		return
	}
	var calm []int
	for i := range p.hosts {
		if p.hosts[i].ReportCount >= leastReports && p.hosts[i].utilisation() < p.threshold() {
			calm = append(calm, i)
		}
	}
	if at, victims, found := p.findRoom(it, calm, gain*displaceShare); found {
		p.unloadAll(at, victims)
	}
}

// start loads the replicas that a model is configured to start with, where
// there is room, until the first move for any other reason.
func (p *plan) start() {
	for _, it := range p.models {
		if _, moved := p.s.LastMove[it.key]; moved {
			continue
		}
		for len(it.live) > 0 && len(it.live) < it.initial {
			i := p.bestHost(it, it.mb)
			if i < 0 {
				break
			}
			p.addLoad(i, it, ReasonInitial, 0)
		}
	}
}

// gainOf predicts what one more replica is worth: the requests at once above
// the threshold on its hosts before, less those after. Without a host that has
// room, at is -1 and the gain leaves out what the new host would suffer.
func (p *plan) gainOf(it *item) (at int, gain float64) {
	if !p.settled(it) || it.asked() <= 0 || !p.allOverloaded(it) {
		return -1, 0
	}
	at = p.bestHost(it, it.mb)
	if at >= 0 && p.hosts[at].ReportCount < leastReports {
		return -1, 0
	}
	n, d := float64(len(it.live)), it.asked()
	share, less := d/(n+1), d/n-d/(n+1)
	for _, i := range it.live {
		gain += p.excess(i, 0) - p.excess(i, -less)
	}
	if at >= 0 {
		gain += p.excess(at, 0) - p.excess(at, share)
	}
	return at, gain
}

// asked is the demand that one more replica of a base model would share: its
// own and that of its adapters, which follow it. Were they left out, a model
// that is only called through adapters would never be spread.
func (it *item) asked() float64 {
	sum := it.demand.sure()
	for _, a := range it.extras {
		sum += a.demand.sure()
	}
	return sum
}

// excess is the requests at once above the threshold at a host, if its load
// changed by so much; those far above it weigh more, as waits grow faster than
// load. Were they weighed alike, taking work from a swamped upstream to one
// just above the threshold would seem to gain nothing.
func (p *plan) excess(i int, change float64) float64 {
	h := &p.hosts[i]
	batch := float64(max(h.MaxBatch, 1))
	over := max(h.load+change-p.threshold()*batch, 0)
	return over + over*over/batch
}

func (p *plan) threshold() float64 {
	if p.s.Preset.SpreadThreshold > 0 {
		return p.s.Preset.SpreadThreshold
	}
	return defaultThreshold
}

// allOverloaded: while one replica has room, routing sends the work there.
func (p *plan) allOverloaded(it *item) bool {
	for _, i := range it.live {
		if p.hosts[i].utilisation() <= p.threshold() || p.hosts[i].ReportCount < leastReports {
			return false
		}
	}
	return len(it.live) > 0
}

func (p *plan) settle() time.Duration {
	if p.s.MoveCooldown > 0 {
		return p.s.MoveCooldown
	}
	return settleFor
}

func (p *plan) settled(it *item) bool {
	last, moved := p.s.LastMove[it.key]
	return !it.moved && (!moved || p.now.Sub(last) >= p.settle())
}

// spreadAdapters loads an adapter beside more replicas of its base model, when
// all of its own holders are overloaded and another is not.
func (p *plan) spreadAdapters() {
	left := mostElective
	for _, it := range p.extras {
		if left == 0 {
			return
		}
		if it.demand.sure() < adapterEarns || !p.settled(it) || !p.allOverloaded(it) {
			continue
		}
		i := p.bestBaseHost(it)
		if i < 0 || p.hosts[i].utilisation() > p.threshold() {
			continue
		}
		left--
		p.addLoad(i, it, ReasonAdapter, it.demand.sure()/float64(len(it.live)+1))
	}
}
