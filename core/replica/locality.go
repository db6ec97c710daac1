package replica

import (
	"cmp"
	"math"
	"slices"
)

// localDemand is what callers of one data centre ask of a model, and what the model has
// there.
type localDemand struct {
	share    float64 // of the model's demand
	replicas int
}

const (
	// localReplicaSeconds is what a replica in a data centre whose callers lack one is
	// worth, in seconds of loading: about half of a load from the weight store, so that
	// the data centre decides between upstreams with as much to do, not between a copy on a
	// disk and none.
	localReplicaSeconds = 2.0
	// minLacking is how many replicas the callers of a data centre must lack for a move that
	// serves only locality. A fraction of a replica is made up for by the others.
	minLacking = 1.0
	// maxLocalShare is the share of the moves that may be made for locality alone at once.
	maxLocalShare = 0.1
)

// dataCentreIndex returns the index of a data centre, which it adds.
func (s *state) dataCentreIndex(name string) int {
	at, ok := s.dataCentres[name]
	if !ok {
		at = len(s.dataCentres)
		s.dataCentres[name] = at
	}
	return at
}

// setLocalDemands sets the models' demand by data centre. Callers of a data centre without
// upstreams have to be served elsewhere in any case, and count nowhere.
func (s *state) setLocalDemands() {
	if len(s.dataCentres) < 2 {
		return
	}
	for _, m := range s.all {
		local, sum := make([]localDemand, len(s.dataCentres)), 0.0
		for name, load := range m.demand.ByDataCentre {
			if at, ok := s.dataCentres[name]; ok {
				local[at].share = load
			}
		}
		for at := range local { // in their order, so that equal input gives equal plans
			sum += local[at].share
		}
		if sum <= 0 {
			continue
		}
		for at := range local {
			local[at].share /= sum
		}
		m.local = local
		for _, r := range m.places {
			m.local[r.at.dataCentre].replicas++
		}
	}
}

// countReplica counts a replica that is added, or removed, at an upstream.
func (m *model) countReplica(u *upstream, n int) {
	if m.local != nil {
		m.local[u.dataCentre].replicas += n
	}
}

// lacking returns how many replicas the callers of a data centre lack, by their share of
// the demand, if the model has n in all.
func (m *model) lacking(dataCentre, n int) float64 {
	l := &m.local[dataCentre]
	return l.share*float64(n) - float64(l.replicas)
}

// remoteCost returns the cost in seconds of placing the next replica of the model at an
// upstream, by the part of it that callers of that data centre do not lack.
func (m *model) remoteCost(u *upstream) float64 {
	if m.local == nil {
		return 0
	}
	return localReplicaSeconds * (1 - min(max(m.lacking(u.dataCentre, m.replicas+1), 0), 1))
}

// evictionRemoteCost returns the cost in seconds of evicting the model at an upstream, by the
// part of the replica that callers of that data centre then lack. Replicas that hardly serve
// anybody count less.
func (p Policy) evictionRemoteCost(m *model, u *upstream) float64 {
	if m.local == nil || m.replicas < 2 {
		return 0
	}
	lacking := min(max(m.lacking(u.dataCentre, m.replicas-1)+1, 0), 1)
	used := min(m.demand.EngineLoad/float64(m.replicas)/p.MinPressure, 1)
	return localReplicaSeconds * lacking * used
}

// localMoves returns moves that only bring replicas to the callers: each stops more traffic
// between data centres, while the demand is expected to last, than the engine time that its
// load takes. It plans them when no model lacks capacity that a move could bring.
func (p Policy) localMoves(s *state, most int) (out []Move) {
	if len(s.dataCentres) < 2 || most <= 0 {
		return nil
	}
	bound := int(math.Ceil(maxLocalShare * float64(most)))
	for _, l := range s.localLacks() {
		for len(out) < bound && l.model.lacking(l.dataCentre, l.model.replicas) >= minLacking {
			c := p.bestLocalPlacement(s, l)
			if c == nil {
				break
			}
			out = append(out, c.move())
			s.apply(c)
		}
	}
	return out
}

// localLack is a data centre whose callers lack replicas of a model.
type localLack struct {
	model      *model
	dataCentre int
	crossing   float64 // load that one more replica would keep from crossing, in engines
}

// saved returns the engine seconds of requests that a replica is expected to keep from
// crossing.
func (l *localLack) saved() float64 { return l.crossing * l.model.demand.Lasting.Seconds() }

// localLacks returns where callers lack at least one replica and a load may pay, the most
// traffic first.
func (s *state) localLacks() (out []localLack) {
	for _, m := range s.models {
		if m.local == nil || m.replicas == 0 {
			continue
		}
		for at := range m.local {
			l := localLack{m, at, m.demand.EngineLoad / float64(m.replicas+1)}
			if m.lacking(at, m.replicas) >= minLacking && slices.Min(m.loadSeconds[:]) <= l.saved() {
				out = append(out, l)
			}
		}
	}
	slices.SortFunc(out, func(a, b localLack) int {
		return cmp.Or(cmp.Compare(b.crossing, a.crossing), cmp.Compare(a.model.name, b.model.name), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	return out[:min(len(out), maxExamined)]
}

// bestLocalPlacement returns the move at the lowest cost that brings a replica of a model to
// a data centre; nil: none pays.
func (p Policy) bestLocalPlacement(s *state, l localLack) *choice {
	var best *choice
	lowest := math.Inf(1)
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if u.dataCentre != l.dataCentre || !u.Movable || u.moved || u.LeftRecently[l.model.name] || u.hasResident(l.model) {
			continue
		}
		from := u.source(l.model.name)
		if from == FromStore && s.storeLoadsLeft <= 0 || l.model.loadSeconds[from] > l.saved() {
			continue
		}
		unload, cost, ok := p.localEviction(s, u, l.model)
		if !ok {
			continue
		}
		cost += l.model.loadSeconds[from] + upstreamLoadWeight*(u.expected+u.moreUrgentLoad(l.model))
		if cost < lowest {
			best, lowest = &choice{upstream: u, unload: unload, load: l.model, from: from, reason: ForLocality}, cost
		}
	}
	return best
}

// isSurplus reports whether a data centre has a replica of a model more than its callers'
// share, which may give way to a wanted one: the model's pressure after that must not be so
// high that it would take the place back.
func (p Policy) isSurplus(m *model, u *upstream, after float64, wanted *model) bool {
	return m.local != nil && m.lacking(u.dataCentre, m.replicas-1) <= 0 &&
		after*p.urgencyRatio(m, wanted) < wanted.pressure()*p.MinPressureRatio
}

// localEviction returns the model to evict for a move that serves only locality: one that
// has been there for long and does not lack capacity afterwards; nil and true when there is
// room without an eviction.
func (p Policy) localEviction(s *state, u *upstream, wanted *model) (*model, float64, bool) {
	if u.FreeMB >= wanted.weightsMB {
		return nil, 0, true
	}
	var best *model
	lowest := math.Inf(1)
	for _, candidate := range u.residents {
		if candidate.model.readyReplicas < 2 || candidate.ReadyFor < p.MinReturn {
			continue
		}
		after, ok := p.pressureAfterEviction(s, u, candidate, wanted)
		if !ok || after > p.MinPressure && !p.isSurplus(candidate.model, u, after, wanted) {
			continue
		}
		if cost := p.evictionCost(u, candidate, after); cost < lowest {
			best, lowest = candidate.model, cost
		}
	}
	return best, lowest, best != nil
}
