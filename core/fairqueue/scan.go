package fairqueue

// Verdict is what a scan does with a request.
type Verdict uint8

// The verdicts.
const (
	Kept        Verdict = iota // it waits on
	Taken                      // it was granted, or refused: it waits no more
	TeamSkipped                // it waits on, and so do the others of its team in the line
	Stopped                    // it waits on, and the scan is over
)

// Scan configures a scan.
type Scan[L comparable, T any] struct {
	Limit int // how many requests are tried at most
	// Late reports whether a request is late: late ones are tried after all others. It must
	// not become false again. nil: none is late.
	Late func(it *Item[L, T]) bool
	// Try decides on a request. cost is the work that its team is charged with if it was
	// granted; 0: none. It must not change the queue.
	Try func(it *Item[L, T]) (v Verdict, cost float64)
}

// maxLateMoves is how many requests a scan sorts out as late for each that it may try. The
// others are sorted out by later scans.
const maxLateMoves = 16

// scan is the state of the running scan.
type scan[L comparable, T any] struct {
	Scan[L, T]
	lanes   []*lane[L, T]
	tries   int
	moves   int
	stopped bool
	kept    []*Item[L, T] // tried, and out of their heaps until the scan is over
	late    []*Item[L, T] // found to be late
	touched []*flow[L, T] // flows whose keys contain what was skipped
	aside   []*flow[L, T] // flows of skipped teams
	due     []*rank       // ranks that were preferred in this scan
}

// Scan tries the waiting requests of lines, in the order in which they are to be granted.
func (q *Queue[L, T]) Scan(lines []L, cfg Scan[L, T]) {
	s := &q.scan
	s.Scan, s.tries, s.moves, s.stopped = cfg, 0, 0, false
	for _, late := range []bool{false, true} {
		s.lanes = s.lanes[:0]
		for _, id := range lines {
			if l := q.lines[id]; l != nil {
				s.lanes = append(s.lanes, l.lane(late))
			}
		}
		for !s.stopped && s.tries < s.Limit && s.moves <= maxLateMoves*s.Limit && q.step(late) {
		}
		q.restore()
	}
	s.Scan = Scan[L, T]{}
	clear(s.lanes[:cap(s.lanes)])
}

// step tries the next request. It returns false if there is none.
func (q *Queue[L, T]) step(late bool) bool {
	s := &q.scan
	f, due := q.first()
	if f == nil {
		return false
	}
	it := f.items.remove(0)
	if !late && s.Late != nil && s.Late(it) {
		s.moves++
		s.late = append(s.late, it)
		q.settleInScan(f)
		return true
	}
	if due {
		s.due = append(s.due, f.in.rank)
	}
	s.tries++
	v, cost := s.Try(it)
	if v == Taken {
		q.take(it, cost, due)
		q.settleInScan(f)
		return true
	}
	s.kept = append(s.kept, it)
	f.skipped += it.request.Cost / f.weight
	if v == TeamSkipped && f.position != outside {
		s.aside = append(s.aside, f.in.flows.remove(f.position))
		return true
	}
	s.stopped = v == Stopped
	q.settleInScan(f)
	return true
}

// take ends the wait of a request that was taken out of its heap.
func (q *Queue[L, T]) take(it *Item[L, T], cost float64, due bool) {
	f := it.flow
	if cost > 0 {
		f.in.charge(f.account, cost)
		if due {
			f.in.owed = max(f.in.owed-cost, 0)
		}
		if q.cfg.Reserve > 0 {
			q.owe(it.request.Rank, cost, q.scan.lanes)
		}
	}
	q.leave(it)
}

// owe adds to what the less urgent ranks that wait in some lanes may have before others.
func (q *Queue[L, T]) owe(urgency int, cost float64, lanes []*lane[L, T]) {
	n := 0
	for pass := range 2 {
		for i, at := range lanes {
			for _, lr := range at.ranks[at.search(urgency+1):] {
				switch {
				case lr.count == 0 || waitsBefore(lanes[:i], lr.urgency):
				case pass == 0:
					n++
				default:
					lr.owed = min(lr.owed+q.cfg.Reserve*cost/float64(n), lr.largest)
				}
			}
		}
	}
}

// waitsBefore reports whether a rank waits in one of the lanes.
func waitsBefore[L comparable, T any](lanes []*lane[L, T], urgency int) bool {
	for _, at := range lanes {
		if lr := at.find(urgency); lr != nil && lr.count > 0 {
			return true
		}
	}
	return false
}

// first returns the flow whose request is next: of a rank that was passed over for long
// enough, else of the most urgent one.
func (q *Queue[L, T]) first() (best *flow[L, T], due bool) {
	for _, at := range q.scan.lanes {
		for _, lr := range at.ranks {
			if best != nil && lr.urgency > best.in.urgency {
				break
			}
			f := q.top(lr)
			if f != nil && (best == nil || lr.urgency < best.in.urgency || f.before(best)) {
				best = f
			}
		}
	}
	if best == nil || q.cfg.Reserve <= 0 {
		return best, false
	}
	if f := q.mostOwed(best.in.urgency); f != nil {
		return f, true
	}
	return best, false
}

// mostOwed returns the first flow of the least urgent rank below one that may have its next
// request before it; nil: there is none.
func (q *Queue[L, T]) mostOwed(above int) (best *flow[L, T]) {
	for _, at := range q.scan.lanes {
		for _, lr := range at.ranks[at.search(above+1):] {
			f := q.top(lr)
			if f == nil || lr.owed < f.items[0].request.Cost || q.scan.wasDue(lr.rank) {
				continue
			}
			if best == nil || lr.urgency > best.in.urgency || lr.urgency == best.in.urgency && f.before(best) {
				best = f
			}
		}
	}
	return best
}

// wasDue reports whether a rank was preferred in this scan. Once is enough: what does not
// fit must not keep more urgent requests waiting.
func (s *scan[L, T]) wasDue(r *rank) bool {
	for _, o := range s.due {
		if o == r {
			return true
		}
	}
	return false
}

// top returns the first flow of a laneRank. A key can only be too low, so that a flow which
// is first with its true key is first.
func (q *Queue[L, T]) top(lr *laneRank[L, T]) *flow[L, T] {
	for len(lr.flows) > 0 {
		f := lr.flows[0]
		if !f.refresh() {
			return f
		}
		q.touch(f)
		lr.flows.fix(0)
	}
	return nil
}

// touch notes a flow whose key contains what was skipped.
func (q *Queue[L, T]) touch(f *flow[L, T]) {
	if f.skipped > 0 {
		q.scan.touched = append(q.scan.touched, f)
	}
}

func (q *Queue[L, T]) settleInScan(f *flow[L, T]) {
	q.settle(f)
	q.touch(f)
}

// restore puts back what a scan has taken out of the heaps.
func (q *Queue[L, T]) restore() {
	s := &q.scan
	for _, it := range s.kept {
		it.flow.skipped = 0
	}
	for _, it := range s.kept {
		it.flow.items.push(it)
		q.settle(it.flow)
	}
	for _, f := range s.aside {
		q.settle(f)
	}
	for _, f := range s.touched {
		q.settle(f)
	}
	for _, it := range s.late {
		q.moveToLate(it)
	}
	clear(s.kept)
	clear(s.aside)
	clear(s.touched)
	clear(s.late)
	clear(s.due)
	s.kept, s.aside, s.touched, s.late, s.due = s.kept[:0], s.aside[:0], s.touched[:0], s.late[:0], s.due[:0]
}

// moveToLate puts a request that is in no heap among the late ones of its line. Its team and
// rank do not count as idle meanwhile.
func (q *Queue[L, T]) moveToLate(it *Item[L, T]) {
	a, r, at := it.flow.account, it.flow.in.rank, it.flow.in.line.id
	a.waiting, r.waiting = a.waiting+1, r.waiting+1
	q.leave(it)
	q.enter(it, at, true)
	a.waiting, r.waiting = a.waiting-1, r.waiting-1
}
