package quota

import (
	"slices"
	"time"
)

// rankShares is how the requests of a team that reach one host divide into ranks.
type rankShares struct {
	ranks []rankShare // the most urgent first
}

type rankShare struct {
	rank int
	cost decayingSum
}

// add counts a request.
func (s *rankShares) add(rank int, cost float64, now time.Time) {
	at, ok := s.find(rank)
	if !ok {
		s.ranks = slices.Insert(s.ranks, at, rankShare{rank, decayingSum{window: rateWindow}})
	}
	s.ranks[at].cost.add(cost, now)
}

// find returns the place of a rank, or where it belongs. All beyond maxRanks share the last.
func (s *rankShares) find(rank int) (at int, ok bool) {
	at, ok = slices.BinarySearchFunc(s.ranks, rank, func(r rankShare, rank int) int { return r.rank - rank })
	if !ok && len(s.ranks) == maxRanks {
		return min(at, maxRanks-1), true
	}
	return at, ok
}

// proportion returns the proportion of the requests of a rank that are admitted while a
// proportion of all requests is: those of more urgent ranks first, less the floors of the
// others.
func (s *rankShares) proportion(rank int, ofAll float64, now time.Time) float64 {
	at, ok := s.find(rank)
	if !ok || len(s.ranks) < 2 || ofAll >= 1 {
		return ofAll
	}
	left := 0.0
	for i := range s.ranks {
		left += s.ranks[i].cost.perSecond(now)
	}
	left *= ofAll
	floor := left * floorShare / float64(len(s.ranks)-1)
	floors := 0.0 // of the ranks that are still to get their part
	for i := 1; i < len(s.ranks); i++ {
		floors += min(s.ranks[i].cost.perSecond(now), floor)
	}
	for i := range at + 1 {
		asked := s.ranks[i].cost.perSecond(now)
		if i > 0 {
			floors -= min(asked, floor)
		}
		part := min(asked, max(left-floors, 0))
		left -= part
		if i == at && asked > 0 {
			return part / asked
		}
	}
	return ofAll
}
