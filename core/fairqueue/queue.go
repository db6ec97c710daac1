// Package fairqueue orders requests that wait for scarce capacity: the more urgent rank
// first, within a rank by start-time fair queueing over teams, within a team by age. It
// answers the load in which one team sends several times its usual number of requests and
// has most of the places of a queue that is ordered by age.
//
// A team's virtual time advances by the work that it was granted, divided by its weight,
// whether it waited for it or not, and the waiting team with the lowest virtual time is next.
// Work is engine time, or whatever unit the caller uses, so that a team gains nothing by
// larger requests. While two teams wait for the same line, what they are granted, divided by
// their weights, differs by at most one request of each, and by what one of them lacked when
// it began to wait. No capacity is kept for a team that does not wait; what it lacks of its
// share is a credit of a few requests at most. A team that becomes active is next within one
// request, and that credit, of each other team.
//
// Requests wait in lines, one for each kind of upstream that can serve them, and the lines of
// a queue share the virtual times. An event at an upstream scans only the lines that it can
// serve. A scan goes through the requests in the order in which they would be granted, so
// that a team whose requests do not fit takes no more of the scan than its share.
//
// With Config.Reserve above 0, less urgent ranks that wait are granted that share of the work
// of more urgent ones: while at most n ranks wait, a request of cost c at the head of its rank
// is passed over by more urgent work of at most n*c/Reserve.
//
// Push, Remove, Charge and each step of a scan take O(log n + r + l) for n waiting requests,
// r ranks and l lines of the scan. The order depends on nothing but the sequence of calls. The
// package has no goroutines, locks or clock.
package fairqueue

// Config configures a Queue.
type Config struct {
	// Reserve is the share of the work of more urgent ranks that less urgent ranks which
	// wait for the same upstream get together; 0: none.
	Reserve float64
}

// Queue holds the waiting requests of one pool of upstreams. L identifies a line, T is what
// the caller keeps for a request. It is not safe for concurrent use.
type Queue[L comparable, T any] struct {
	cfg   Config
	lines map[L]*line[L, T]
	ranks map[int]*rank
	len   int
	next  uint64 // sequence number of the next request
	scan  scan[L, T]
}

// Request is a request to wait.
type Request struct {
	Rank   int // 0 is the most urgent
	Team   string
	Weight float64 // of the team; unusable: 1
	Cost   float64 // expected work; above 0
}

// Item is a waiting request.
type Item[L comparable, T any] struct {
	Value T

	request  Request
	flow     *flow[L, T]
	sequence uint64
	position int
}

// Request returns the request as it was pushed.
func (it *Item[L, T]) Request() Request { return it.request }

// Line returns the line in which the request waits, or waited last.
func (it *Item[L, T]) Line() L { return it.flow.in.line.id }

func (it *Item[L, T]) before(o *Item[L, T]) bool { return it.sequence < o.sequence }
func (it *Item[L, T]) setPosition(i int)         { it.position = i }

// line holds the requests that the same upstreams can serve.
type line[L comparable, T any] struct {
	id    L
	lanes [2]lane[L, T] // requests that can be served in time, and late ones
}

// lane holds requests by rank, the most urgent first.
type lane[L comparable, T any] struct{ ranks []*laneRank[L, T] }

// laneRank holds the requests of one rank in one lane.
type laneRank[L comparable, T any] struct {
	*rank
	urgency int
	line    *line[L, T]
	late    bool
	flows   heap[*flow[L, T]]
	byTeam  map[string]*flow[L, T]
	count   int
	work    float64
}

// flow holds the requests of one team in a laneRank.
type flow[L comparable, T any] struct {
	*account
	team     string
	in       *laneRank[L, T]
	items    heap[*Item[L, T]]
	count    int     // requests, with those that a scan holds
	work     float64 // expected work of these
	tag      float64 // start tag as of the last refresh; the true one is not lower
	sequence uint64  // of its first request, likewise
	position int
}

func (f *flow[L, T]) before(o *flow[L, T]) bool {
	if f.tag != o.tag {
		return f.tag < o.tag
	}
	return f.sequence < o.sequence
}

func (f *flow[L, T]) setPosition(i int) { f.position = i }

// refresh updates the key of a flow that has items and reports whether it changed.
func (f *flow[L, T]) refresh() bool {
	tag, sequence := f.finish+f.skipped, f.items[0].sequence
	changed := tag != f.tag || sequence != f.sequence
	f.tag, f.sequence = tag, sequence
	return changed
}

// New returns an empty queue.
func New[L comparable, T any](cfg Config) *Queue[L, T] {
	return &Queue[L, T]{cfg: cfg, lines: map[L]*line[L, T]{}, ranks: map[int]*rank{}}
}

// SetReserve changes Config.Reserve.
func (q *Queue[L, T]) SetReserve(share float64) { q.cfg.Reserve = share }

// Len returns how many requests wait.
func (q *Queue[L, T]) Len() int { return q.len }

// HasLine reports whether requests wait in a line.
func (q *Queue[L, T]) HasLine(id L) bool { return q.lines[id] != nil }

// Push adds a request behind those of its team.
func (q *Queue[L, T]) Push(to L, r Request, value T) *Item[L, T] {
	q.next++
	it := &Item[L, T]{Value: value, request: r, sequence: q.next, position: outside}
	q.enter(it, to, false)
	return it
}

// Remove removes a waiting request. Its team's virtual time stays as it is. It reports
// whether the request still waited.
func (q *Queue[L, T]) Remove(it *Item[L, T]) bool {
	if it.position == outside {
		return false
	}
	f := it.flow
	f.items.remove(it.position)
	q.settle(f)
	q.leave(it)
	return true
}

// Charge adds a grant to a team's account that did not come out of a scan. Less urgent ranks
// that wait in the line were passed over by it.
func (q *Queue[L, T]) Charge(at L, r Request) {
	own := q.rankOf(r.Rank)
	own.charge(own.accountOf(r), r.Cost)
	if l := q.lines[at]; l != nil && q.cfg.Reserve > 0 {
		q.owe(r.Rank, r.Cost, []*lane[L, T]{&l.lanes[0], &l.lanes[1]})
	}
}

// Waiting returns how many requests of a team wait in a line.
func (q *Queue[L, T]) Waiting(at L, urgency int, team string) (n int) {
	l := q.lines[at]
	if l == nil {
		return 0
	}
	for i := range l.lanes {
		if lr := l.lanes[i].find(urgency); lr != nil && lr.byTeam[team] != nil {
			n += lr.byTeam[team].count
		}
	}
	return n
}

// Ahead returns how many requests of a line, and of how much work, would be granted before
// a new one. Late requests are not before it.
func (q *Queue[L, T]) Ahead(at L, r Request) (n int, work float64) {
	l := q.lines[at]
	if l == nil {
		return 0, 0
	}
	start := q.startTag(at, r)
	for _, lr := range l.lanes[0].ranks {
		switch {
		case lr.urgency < r.Rank:
			n, work = n+lr.count, work+lr.work
		case lr.urgency == r.Rank:
			for _, f := range lr.byTeam {
				k := f.countUntil(start, f.team == r.Team)
				n, work = n+k, work+f.work*float64(k)/float64(f.count)
			}
		}
	}
	return n, work
}

// startTag returns the start tag that a new request would have if it were granted after
// those of its team in the line.
func (q *Queue[L, T]) startTag(at L, r Request) float64 {
	own := q.ranks[r.Rank]
	if own == nil {
		return 0
	}
	a := own.accounts[r.Team]
	if a == nil {
		return own.virtual
	}
	if a.waiting == 0 {
		return own.start(a, r.Cost)
	}
	tag := a.finish
	if lr := q.lines[at].lanes[0].find(r.Rank); lr != nil && lr.byTeam[r.Team] != nil {
		tag += lr.byTeam[r.Team].work / a.weight
	}
	return tag
}

// countUntil counts the requests of a flow whose start tag is not above tag, as if they were
// of the same cost.
func (f *flow[L, T]) countUntil(tag float64, own bool) int {
	if own {
		return f.count
	}
	if f.finish > tag {
		return 0
	}
	each := f.work / float64(f.count) / f.weight
	if tag-f.finish >= each*float64(f.count) {
		return f.count
	}
	return min(int((tag-f.finish)/each+roundingTolerance)+1, f.count)
}

// roundingTolerance, in requests, is by how much sums of equal costs may differ.
const roundingTolerance = 1e-6
