package replica

// setRanks sets the shares of the models' demand by urgency, if there are several ranks.
func (s *state) setRanks() {
	for _, m := range s.all {
		s.ranks = max(s.ranks, len(m.demand.ByRank))
	}
	if s.ranks < 2 {
		return
	}
	for _, m := range s.all {
		sum := 0.0
		for _, load := range m.demand.ByRank {
			sum += load
		}
		if sum <= 0 {
			continue
		}
		m.ranks = make([]float64, s.ranks)
		for rank, load := range m.demand.ByRank {
			m.ranks[rank] = load / sum
			m.meanRank += m.ranks[rank] * float64(rank) / float64(s.ranks-1)
		}
	}
}

// moreUrgentShare returns the share of a's demand that is more urgent than b's: the
// probability that a request for a is more urgent than one for b.
func moreUrgentShare(a, b *model) float64 {
	if a.ranks == nil || b.ranks == nil {
		return 0
	}
	out, lessUrgent := 0.0, 1.0
	for rank, share := range a.ranks {
		lessUrgent -= b.ranks[rank]
		out += share * max(lessUrgent, 0)
	}
	return out
}

// requiredRatio returns the factor by which the pressure on the wanted model must exceed the
// one that a model has after its eviction: MinPressureRatio, and up to MinDemandRatio times
// that by the share of the evicted model's demand that is more urgent. So a burst of less
// urgent requests takes a replica of more urgent ones only where these have room to spare.
func (p Policy) requiredRatio(evicted, wanted *model) float64 {
	return p.MinPressureRatio * p.urgencyRatio(evicted, wanted)
}

// urgencyRatio returns from 1 to MinDemandRatio, by the share of the evicted model's demand
// that is more urgent than the wanted one's.
func (p Policy) urgencyRatio(evicted, wanted *model) float64 {
	return 1 + (p.MinDemandRatio-1)*moreUrgentShare(evicted, wanted)
}

// urgencyFactor returns how much the gain of a model's next replica counts: from 1 for the
// least urgent demand to MinDemandRatio for the most urgent.
func (p Policy) urgencyFactor(m *model) float64 {
	if m.ranks == nil {
		return 1
	}
	return 1 + (p.MinDemandRatio-1)*(1-m.meanRank)
}

// moreUrgentLoad returns the load at the upstream that is more urgent than a model's, which
// a replica of the model there would crowd.
func (u *upstream) moreUrgentLoad(m *model) float64 {
	if m.ranks == nil {
		return 0
	}
	sum := 0.0
	for _, r := range u.residents {
		sum += r.share * moreUrgentShare(r.model, m)
	}
	return sum
}
