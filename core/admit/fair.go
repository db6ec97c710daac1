package admit

import (
	"math"
	"time"

	"peridotpier.example/core/fairqueue"
)

// fairQueue holds the waiting requests of one class, in the order of package fairqueue. A
// request is one unit of work, since what a request of serve takes is not known.
type fairQueue struct {
	q     *fairqueue.Queue[struct{}, Item]
	items map[uint64]*fairqueue.Item[struct{}, Item] // by ID
}

func newFairQueue() fairQueue {
	return fairQueue{fairqueue.New[struct{}, Item](fairqueue.Config{}), map[uint64]*fairqueue.Item[struct{}, Item]{}}
}

func unit(it Item) fairqueue.Request {
	return fairqueue.Request{Team: it.Team, Weight: float64(max(it.Weight, 1)), Cost: 1}
}

// size returns how many requests wait.
func (q *fairQueue) size() int { return q.q.Len() }

// hasWaiting reports whether a request of the team is waiting.
func (q *fairQueue) hasWaiting(team string) bool { return q.q.Waiting(struct{}{}, 0, team) > 0 }

func (q *fairQueue) push(it Item) { q.items[it.ID] = q.q.Push(struct{}{}, unit(it), it) }

// recordAdmitted accounts for a request that was admitted without waiting.
func (q *fairQueue) recordAdmitted(it Item) { q.q.Charge(struct{}{}, unit(it)) }

// pop removes the next request of the allowed teams.
func (q *fairQueue) pop(allowed func(team string) bool) (popped Item, ok bool) {
	q.scan(func(it *fairqueue.Item[struct{}, Item]) (fairqueue.Verdict, float64) {
		switch {
		case ok:
			return fairqueue.Stopped, 0
		case !allowed(it.Value.Team):
			return fairqueue.TeamSkipped, 0
		}
		popped, ok = it.Value, true
		return fairqueue.Taken, 1
	})
	if ok {
		delete(q.items, popped.ID)
	}
	return popped, ok
}

func (q *fairQueue) scan(try func(*fairqueue.Item[struct{}, Item]) (fairqueue.Verdict, float64)) {
	q.q.Scan([]struct{}{{}}, fairqueue.Scan[struct{}, Item]{Limit: math.MaxInt32, Try: try})
}

// remove removes a request from any position, and reports whether it was there.
func (q *fairQueue) remove(id uint64) bool {
	it, ok := q.items[id]
	delete(q.items, id)
	return ok && q.q.Remove(it)
}

// dropLongest removes the newest request of the team with the most waiting requests for
// its weight, if that is more than the asking team would have. Without it, one team's
// flood would fill the queue and the requests of all other teams would be refused.
func (q *fairQueue) dropLongest(asking Item) (Item, bool) {
	own := float64(q.q.Waiting(struct{}{}, 0, asking.Team) + 1)
	largest, name := own/float64(max(asking.Weight, 1)), ""
	q.q.Flows(func(f fairqueue.Flow[struct{}, Item]) {
		held := float64(f.Waiting) / f.Weight
		if f.Team != asking.Team && (held > largest || held == largest && name != "" && f.Team < name) {
			largest, name = held, f.Team
		}
	})
	if name == "" {
		return Item{}, false
	}
	newest := q.q.Newest(struct{}{}, 0, name)
	return newest.Value, q.remove(newest.Value.ID)
}

// countAhead counts the requests that would be granted before a new one.
func (q *fairQueue) countAhead(it Item) int {
	n, _ := q.q.Ahead(struct{}{}, unit(it))
	return n
}

// ordered returns the waiting requests in the order in which they will be served.
func (q *fairQueue) ordered() []Item {
	all := make([]Item, 0, q.size())
	q.scan(func(it *fairqueue.Item[struct{}, Item]) (fairqueue.Verdict, float64) {
		all = append(all, it.Value)
		return fairqueue.Kept, 0
	})
	return all
}

// missesDeadline reports whether a request that starts after wait misses its deadline.
func missesDeadline(now time.Time, it Item, wait time.Duration) bool {
	return !it.Deadline.IsZero() && now.Add(wait+it.MinDuration).After(it.Deadline)
}
