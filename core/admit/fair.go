package admit

import (
	"slices"
	"time"
)

// fairQueue orders the waiting requests of one class by start-time fair queueing. The
// start tag of a request is the later of the queue's virtual time and the finish tag of
// its team's previous request; the finish tag is the start tag plus 1/weight. Deficit
// round robin would be as fair in the long run, but lets a team send a whole quantum at
// once; with few slots that is a burst that delays the others.
type fairQueue struct {
	virtual float64          // virtual time
	flows   map[string]*flow // by team
	n       int              // number of waiting requests
}

// flow holds the waiting requests of one team.
type flow struct {
	weight float64
	finish float64 // finish tag of the team's latest request
	items  []taggedItem
}

type taggedItem struct {
	Item
	start float64 // start tag
}

func newFairQueue() fairQueue { return fairQueue{flows: map[string]*flow{}} }

func (q *fairQueue) flowFor(it Item) *flow {
	f := q.flows[it.Team]
	if f == nil {
		f = &flow{finish: q.virtual}
		q.flows[it.Team] = f
	}
	f.weight = float64(max(it.Weight, 1))
	return f
}

// startTag returns the tag that a request of the team would get now.
func (q *fairQueue) startTag(team string) float64 {
	if f := q.flows[team]; f != nil {
		return max(q.virtual, f.finish)
	}
	return q.virtual
}

// hasWaiting reports whether a request of the team is waiting.
func (q *fairQueue) hasWaiting(team string) bool {
	f := q.flows[team]
	return f != nil && len(f.items) > 0
}

func (q *fairQueue) push(it Item) {
	f := q.flowFor(it)
	start := max(q.virtual, f.finish)
	f.finish = start + 1/f.weight
	f.items = append(f.items, taggedItem{it, start})
	q.n++
}

// recordAdmitted accounts for a request that was admitted without waiting.
func (q *fairQueue) recordAdmitted(it Item) {
	f := q.flowFor(it)
	q.virtual = max(q.virtual, f.finish)
	f.finish = q.virtual + 1/f.weight
}

// pop removes the request with the lowest start tag of the allowed teams.
func (q *fairQueue) pop(allowed func(team string) bool) (Item, bool) {
	var first *flow
	var name string
	for team, f := range q.flows {
		if len(f.items) == 0 || !allowed(team) {
			continue
		}
		if first == nil || f.items[0].start < first.items[0].start || (f.items[0].start == first.items[0].start && team < name) {
			first, name = f, team
		}
	}
	if first == nil {
		return Item{}, false
	}
	head := first.items[0]
	first.items = slices.Delete(first.items, 0, 1)
	q.virtual = max(q.virtual, head.start)
	q.n--
	return head.Item, true
}

// remove removes a request from any position, and reports whether it was there.
func (q *fairQueue) remove(id uint64) bool {
	for _, f := range q.flows {
		at := slices.IndexFunc(f.items, func(t taggedItem) bool { return t.ID == id })
		if at < 0 {
			continue
		}
		f.items = slices.Delete(f.items, at, at+1)
		q.n--
		return true
	}
	return false
}

// dropLongest removes the newest request of the team with the most waiting requests for
// its weight, if that is more than the asking team would have. Without it, one team's
// flood would fill the queue and the requests of all other teams would be refused.
func (q *fairQueue) dropLongest(asking Item) (Item, bool) {
	own := 1.0
	if f := q.flows[asking.Team]; f != nil {
		own += float64(len(f.items))
	}
	largest, name := own/float64(max(asking.Weight, 1)), ""
	for team, f := range q.flows {
		held := float64(len(f.items)) / f.weight
		if team != asking.Team && (held > largest || (held == largest && name != "" && team < name)) {
			largest, name = held, team
		}
	}
	if name == "" {
		return Item{}, false
	}
	f := q.flows[name]
	last := f.items[len(f.items)-1]
	f.items = f.items[:len(f.items)-1]
	f.finish -= 1 / f.weight
	q.n--
	return last.Item, true
}

// countAhead counts the requests that would be served before one with this start tag.
func (q *fairQueue) countAhead(start float64) int {
	n := 0
	for _, f := range q.flows {
		for _, it := range f.items {
			if it.start > start {
				break // tags increase within a flow
			}
			n++
		}
	}
	return n
}

// ordered returns the waiting requests in the order in which they will be served.
func (q *fairQueue) ordered() []taggedItem {
	all := make([]taggedItem, 0, q.n)
	for _, f := range q.flows {
		all = append(all, f.items...)
	}
	slices.SortFunc(all, func(a, b taggedItem) int {
		switch {
		case a.start != b.start:
			if a.start < b.start {
				return -1
			}
			return 1
		case a.ID < b.ID:
			return -1
		default:
			return 1
		}
	})
	return all
}

// dropIdle removes the flows without waiting requests whose finish tag has passed, so that
// the queue does not grow with every team ever seen.
func (q *fairQueue) dropIdle() {
	for team, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.virtual {
			delete(q.flows, team)
		}
	}
}

// missesDeadline reports whether a request that starts after wait misses its deadline.
func missesDeadline(now time.Time, it Item, wait time.Duration) bool {
	return !it.Deadline.IsZero() && now.Add(wait+it.MinDuration).After(it.Deadline)
}
