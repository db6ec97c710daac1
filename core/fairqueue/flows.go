package fairqueue

// Flow describes the requests of one team that wait in one line.
type Flow[L comparable, T any] struct {
	Line    L
	Rank    int
	Team    string
	Late    bool
	Waiting int
	Weight  float64
	Oldest  *Item[L, T]
}

// Flows calls f for the requests of each team in each line, in no particular order.
func (q *Queue[L, T]) Flows(f func(Flow[L, T])) {
	for _, l := range q.lines {
		for i := range l.lanes {
			for _, lr := range l.lanes[i].ranks {
				for _, fl := range lr.byTeam {
					f(Flow[L, T]{Line: l.id, Rank: lr.urgency, Team: fl.team, Late: lr.late, Waiting: fl.count, Weight: fl.weight, Oldest: fl.items[0]})
				}
			}
		}
	}
}

// Newest returns the newest request of a team in a line that is not late; nil: none waits.
// It takes time by the requests of the team.
func (q *Queue[L, T]) Newest(at L, urgency int, team string) (newest *Item[L, T]) {
	l := q.lines[at]
	if l == nil {
		return nil
	}
	lr := l.lanes[0].find(urgency)
	if lr == nil || lr.byTeam[team] == nil {
		return nil
	}
	for _, it := range lr.byTeam[team].items {
		if newest == nil || newest.before(it) {
			newest = it
		}
	}
	return newest
}

// Reweigh changes the weights of all teams, for what they are granted from now on.
func (q *Queue[L, T]) Reweigh(weight func(team string) float64) {
	for _, r := range q.ranks {
		for team, a := range r.accounts {
			a.weight = usableWeight(weight(team))
		}
	}
}

// Lines returns the lines in which requests wait, in no particular order.
func (q *Queue[L, T]) Lines() []L {
	out := make([]L, 0, len(q.lines))
	for id := range q.lines {
		out = append(out, id)
	}
	return out
}
