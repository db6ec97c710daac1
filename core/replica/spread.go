package replica

import (
	"cmp"
	"slices"
)

// The load of a model is spread over its replicas as routing does: to where least is to be
// done. So a replica beside other busy models provides less than one beside idle ones, and
// how much is known only once the loads of all models are spread. Each model's load is
// filled into the room that the others leave, one model after the other; that is coordinate
// descent on a convex sum, whose loads converge to the most even ones whatever the order.

const (
	// sharedLoad is the load, in engines, that MinPressure supposes the other models of an
	// upstream to cause: two others beside the one in question.
	sharedLoad = 0.4
	// maxSpreadRounds bounds how often the load of each model is spread anew. Loads change
	// by a few percent after the second round.
	maxSpreadRounds = 4
	// spreadTolerance, in engines, is the change of a model's share at which no further
	// round is needed.
	spreadTolerance = 0.02
)

// linkPlaces records at each model where it is resident, once the upstreams no longer move
// in memory.
func (s *state) linkPlaces() {
	for i := range s.upstreams {
		u := &s.upstreams[i]
		for _, r := range u.residents {
			r.at = u
			r.model.places = append(r.model.places, r)
		}
	}
}

// spreadLoads spreads the loads of all models over their replicas.
func (s *state) spreadLoads() {
	for i := range s.upstreams {
		u := &s.upstreams[i]
		for _, r := range u.residents {
			r.share = r.model.demand.EngineLoad / float64(r.model.replicas)
		}
		u.sum()
	}
	if s.evenLoads {
		return
	}
	for range maxSpreadRounds {
		changed := 0.0
		for _, m := range s.all {
			changed = max(changed, s.filler.fill(m))
		}
		if changed < spreadTolerance {
			break
		}
	}
	for i := range s.upstreams {
		s.upstreams[i].sum()
	}
}

// sum updates the load of the upstream from the shares of its residents.
func (u *upstream) sum() {
	u.load, u.expected = 0, 0
	for _, r := range u.residents {
		u.load += r.share
		u.expected += max(r.share, r.model.prior/float64(max(r.model.replicas, 1)))
	}
}

// othersLoad returns the load of the other residents beside r, as a share of what the
// upstream provides.
func (r *resident) othersLoad() float64 { return max(r.at.load-r.share, 0) / r.at.capacity }

// filler spreads the load of one model; it keeps its buffer between models.
type filler struct{ order []*resident }

// fill spreads the load of a model over its replicas so that the busiest of them is as
// little busy as possible, and returns the largest change of a share. While the others cause
// no more than sharedLoad at any of them, the load stays even.
func (f *filler) fill(m *model) (changed float64) {
	if m.demand.EngineLoad == 0 || len(m.places) == 0 || !m.isCrowded() {
		return 0
	}
	f.order = append(f.order[:0], m.places...)
	slices.SortFunc(f.order, func(a, b *resident) int { return cmp.Compare(a.othersLoad(), b.othersLoad()) })
	level := fillLevel(f.order, m.demand.EngineLoad)
	for _, r := range f.order {
		share := max(level-r.othersLoad(), 0) * r.at.capacity
		changed = max(changed, share-r.share, r.share-share)
		r.at.load += share - r.share
		r.share = share
	}
	return changed
}

// isCrowded reports whether the other models leave less to the model at some replica than
// is supposed.
func (m *model) isCrowded() bool {
	return slices.ContainsFunc(m.places, func(r *resident) bool { return r.othersLoad() > sharedLoad })
}

// fillLevel returns the level up to which a load fills replicas, which are in ascending
// order of the levels that they begin at.
func fillLevel(order []*resident, load float64) float64 {
	capacity, level := 0.0, order[0].othersLoad()
	for i, r := range order {
		capacity += r.at.capacity
		if i+1 == len(order) {
			break
		}
		step := (order[i+1].othersLoad() - level) * capacity
		if step >= load {
			break
		}
		load -= step
		level = order[i+1].othersLoad()
	}
	return level + load/capacity
}

// removeReplica removes a model from an upstream.
func (s *state) removeReplica(m *model, u *upstream) {
	m.replicas--
	m.readyReplicas--
	m.unavailable -= u.unavailable()
	m.countReplica(u, -1)
	u.residents = slices.DeleteFunc(u.residents, func(r *resident) bool { return r.model == m })
	m.places = slices.DeleteFunc(m.places, func(r *resident) bool { return r.at == u })
	s.respread(m, u)
}

// addReplica adds a model at an upstream.
func (s *state) addReplica(m *model, u *upstream) {
	m.replicas++
	m.unavailable += u.unavailable()
	m.countReplica(u, 1)
	r := &resident{model: m, at: u}
	u.residents, m.places = append(u.residents, r), append(m.places, r)
	s.respread(m, u)
}

// respread spreads the load of a model anew after its replicas have changed. also is an
// upstream that it may have left.
func (s *state) respread(m *model, also *upstream) {
	for _, r := range m.places {
		r.share = m.demand.EngineLoad / float64(m.replicas)
		r.at.sum()
	}
	if !s.evenLoads {
		s.filler.fill(m)
	}
	also.sum()
	for _, r := range m.places {
		r.at.sum()
	}
}
