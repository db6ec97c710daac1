package fairqueue

import (
	"slices"
	"sort"
)

func (q *Queue[L, T]) rankOf(urgency int) *rank {
	r := q.ranks[urgency]
	if r == nil {
		r = newRank()
		q.ranks[urgency] = r
	}
	return r
}

// enter puts a request into a lane.
func (q *Queue[L, T]) enter(it *Item[L, T], to L, late bool) {
	l := q.lines[to]
	if l == nil {
		l = &line[L, T]{id: to}
		q.lines[to] = l
	}
	lane := &l.lanes[0]
	if late {
		lane = &l.lanes[1]
	}
	lr := lane.rankOf(it.request.Rank, func() *laneRank[L, T] {
		return &laneRank[L, T]{rank: q.rankOf(it.request.Rank), urgency: it.request.Rank, line: l, late: late, byTeam: map[string]*flow[L, T]{}}
	})
	a := lr.accountOf(it.request)
	f := lr.byTeam[it.request.Team]
	if f == nil {
		f = &flow[L, T]{account: a, team: it.request.Team, in: lr, position: outside}
		lr.byTeam[it.request.Team] = f
	}
	it.flow = f
	q.count(it, 1)
	lr.largest = max(lr.largest, it.request.Cost)
	f.items.push(it)
	q.settle(f)
}

// count adds a request to the counts, or subtracts it.
func (q *Queue[L, T]) count(it *Item[L, T], sign int) {
	f, cost := it.flow, float64(sign)*it.request.Cost
	q.len += sign
	f.count, f.work = f.count+sign, f.work+cost
	f.waiting += sign
	f.in.count, f.in.work = f.in.count+sign, f.in.work+cost
	f.in.waiting += sign
}

// leave subtracts a request that is in no heap any more, and drops what is empty without it.
func (q *Queue[L, T]) leave(it *Item[L, T]) {
	q.count(it, -1)
	f := it.flow
	lr := f.in
	if lr.waiting == 0 {
		lr.owed, lr.largest = 0, 0
	}
	if f.count > 0 {
		return
	}
	delete(lr.byTeam, f.team)
	if lr.count > 0 {
		return
	}
	lr.line.lane(lr.late).drop(lr)
	if len(lr.line.lanes[0].ranks) == 0 && len(lr.line.lanes[1].ranks) == 0 {
		delete(q.lines, lr.line.id)
	}
}

// settle puts a flow where it belongs after a change of its items or its account.
func (q *Queue[L, T]) settle(f *flow[L, T]) {
	switch {
	case len(f.items) == 0:
		if f.position != outside {
			f.in.flows.remove(f.position)
		}
	case f.position == outside:
		f.refresh()
		f.in.flows.push(f)
	case f.refresh():
		f.in.flows.fix(f.position)
	}
}

func (l *line[L, T]) lane(late bool) *lane[L, T] {
	if late {
		return &l.lanes[1]
	}
	return &l.lanes[0]
}

func (n *lane[L, T]) search(urgency int) int {
	return sort.Search(len(n.ranks), func(i int) bool { return n.ranks[i].urgency >= urgency })
}

func (n *lane[L, T]) find(urgency int) *laneRank[L, T] {
	if i := n.search(urgency); i < len(n.ranks) && n.ranks[i].urgency == urgency {
		return n.ranks[i]
	}
	return nil
}

func (n *lane[L, T]) rankOf(urgency int, create func() *laneRank[L, T]) *laneRank[L, T] {
	if lr := n.find(urgency); lr != nil {
		return lr
	}
	lr := create()
	n.ranks = slices.Insert(n.ranks, n.search(urgency), lr)
	return lr
}

func (n *lane[L, T]) drop(lr *laneRank[L, T]) {
	if i := n.search(lr.urgency); i < len(n.ranks) && n.ranks[i] == lr {
		n.ranks = slices.Delete(n.ranks, i, i+1)
	}
}
