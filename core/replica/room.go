package replica

import (
	"cmp"
	"math"
	"slices"
)

// An upstream may be idle while others are crowded: its residents are the only replicas of
// models that hardly anybody asks for, so that none can be evicted. Such a model gets a
// second replica at a crowded upstream, where it takes the place of a busy model that has
// others; after that the idle upstream's replica is one that can be evicted.

const (
	// crowdedLoad is the load, in engines, above which an upstream is crowded: that of a
	// model at MinPressure beside what the others are supposed to cause.
	crowdedLoad = 0.6
	// idleLoad is the load, in engines, below which an upstream has room for a busy model:
	// half of what the others beside it are supposed to cause.
	idleLoad = sharedLoad / 2
	// roomLoads is how many loads it takes to use the room: that of the model that gives way
	// and that of the busy one in its place.
	roomLoads = 2
	// maxRoomShare is the share of the moves that may be made for room at once.
	maxRoomShare = 0.1
	// maxExamined bounds how many idle and how many crowded upstreams, and how many data
	// centres that lack a model, one plan examines; the next one goes on.
	maxExamined = 64
)

// roomMoves returns moves that make room at idle upstreams while others are crowded.
func (p Policy) roomMoves(s *state, most int) (out []Move) {
	if s.evenLoads || most <= 0 {
		return nil
	}
	idle, crowded := s.idleUpstreams(), s.crowdedUpstreams()
	for _, from := range idle {
		if len(out) >= int(math.Ceil(maxRoomShare*float64(most))) {
			break
		}
		if c := p.bestRoomMove(s, from, crowded); c != nil {
			out = append(out, c.move())
			s.apply(c)
		}
	}
	return out
}

// idleUpstreams returns the upstreams with room for a busy model of which no resident can be
// evicted and none is about to be, the idlest first.
func (s *state) idleUpstreams() (out []*upstream) {
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if u.Movable && !u.moved && len(u.residents) > 0 && u.load < idleLoad*u.capacity && !slices.ContainsFunc(u.residents, isSpare) {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *upstream) int { return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), maxExamined)]
}

// isSpare reports whether a model has another replica, ready or being loaded.
func isSpare(r *resident) bool { return r.model.replicas >= 2 }

// crowdedUpstreams returns the upstreams with more load than models are supposed to cause,
// the fullest first.
func (s *state) crowdedUpstreams() (out []*upstream) {
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if u.Movable && !u.moved && u.load > crowdedLoad*u.capacity {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *upstream) int { return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), maxExamined)]
}

// bestRoomMove returns the move that frees a place at an idle upstream at the lowest cost;
// nil: none pays.
func (p Policy) bestRoomMove(s *state, idle *upstream, crowded []*upstream) *choice {
	var best *choice
	lowest := math.Inf(1)
	for _, u := range crowded {
		if u.moved {
			continue
		}
		for _, evicted := range u.residents {
			if !p.mayGiveRoom(evicted) {
				continue
			}
			for _, r := range idle.residents {
				c, took := p.roomMove(s, r.model, evicted, u)
				if c == nil || took*roomLoads > (u.load-idle.load)/2*evicted.model.demand.Lasting.Seconds() {
					continue
				}
				if cost := took - upstreamLoadWeight*evicted.share; cost < lowest {
					best, lowest = c, cost
				}
			}
		}
	}
	return best
}

// mayGiveRoom reports whether a resident of a crowded upstream may give way: a busy model
// with other replicas, which next gets one where there is room. Without it, the upstream must
// still have enough to do, else it would be the next idle one.
func (p Policy) mayGiveRoom(r *resident) bool {
	return r.model.readyReplicas >= 2 && r.Resident != nil && r.Ready && r.ReadyFor >= p.MinResidency && r.share > p.MinPressure/2 && r.othersLoad() > sharedLoad
}

// roomMove returns the move that loads a model in place of another, with the seconds that it
// takes; nil: it cannot be made now.
func (p Policy) roomMove(s *state, m *model, evicted *resident, u *upstream) (*choice, float64) {
	from := u.source(m.name)
	if u.hasResident(m) || u.LeftRecently[m.name] || from == FromStore && s.storeLoadsLeft <= 0 {
		return nil, 0
	}
	return &choice{upstream: u, unload: evicted.model, load: m, from: from, reason: ForRoom}, m.loadSeconds[from]
}
