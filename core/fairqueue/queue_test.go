package fairqueue

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type testQueue = Queue[string, int]

// takeNext grants the next request of some lines, and returns its value; -1: none waits.
func takeNext(q *testQueue, lines ...string) int {
	got := -1
	q.Scan(lines, Scan[string, int]{Limit: math.MaxInt32, Try: func(it *Item[string, int]) (Verdict, float64) {
		if got >= 0 {
			return Stopped, 0
		}
		got = it.Value
		return Taken, it.Request().Cost
	}})
	return got
}

// Guards against a team that gets more than its share by many or by large requests, and
// against a team that is granted less because others ask for more: what two teams that wait
// all the time are granted differs by one request of each at most, by weight.
func TestTeamsThatWaitAreGrantedWorkByTheirWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string, int](Config{})
		n := rapid.IntRange(2, 6).Draw(t, "teams")
		weights, largest, granted := make([]float64, n), make([]float64, n), make([]float64, n)
		costs := make([]*rapid.Generator[float64], n)
		for i := range n {
			weights[i] = rapid.Float64Range(0.1, 20).Draw(t, "weight")
			costs[i] = rapid.Float64Range(1, rapid.Float64Range(1, 500).Draw(t, "largest"))
		}
		push := func(team int) {
			c := costs[team].Draw(t, "cost")
			largest[team] = max(largest[team], c)
			q.Push("l", Request{Team: fmt.Sprint("team-", team), Weight: weights[team], Cost: c}, team)
		}
		for i := range n {
			push(i)
			push(i)
		}
		for range rapid.IntRange(1, 100).Draw(t, "grants") {
			team := -1
			q.Scan([]string{"l"}, Scan[string, int]{Limit: 2, Try: func(it *Item[string, int]) (Verdict, float64) {
				if team >= 0 {
					return Stopped, 0
				}
				team = it.Value
				granted[team] += it.Request().Cost
				return Taken, it.Request().Cost
			}})
			push(team)
			for a := range n {
				for b := range n {
					apart := granted[a]/weights[a] - granted[b]/weights[b]
					assert.Assert(t, apart <= largest[a]/weights[a]+largest[b]/weights[b]+1e-6, "%d is %f ahead of %d", a, apart, b)
				}
			}
		}
	})
}

// waitingRequest is a request of the reference queue below.
type waitingRequest struct {
	rank, id int
	late     bool
}

// Property: with one team, whatever happens, requests are tried by lateness, rank and age, in
// the lines that a scan names and in no others. What is removed is never tried.
func TestOneTeamIsServedByRankAndAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string, int](Config{})
		waiting := map[string][]waitingRequest{}
		items := map[int]*Item[string, int]{}
		late := map[int]bool{}
		lines := []string{"a", "b", "c"}
		for id := range rapid.IntRange(1, 80).Draw(t, "steps") {
			at := rapid.SampledFrom(lines).Draw(t, "line")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				items[id] = q.Push(at, Request{Rank: rank, Cost: 1}, id)
				waiting[at] = append(waiting[at], waitingRequest{rank: rank, id: id})
			case 2:
				if len(waiting[at]) > 0 {
					late[rapid.SampledFrom(waiting[at]).Draw(t, "late").id] = true
				}
			case 3:
				if len(waiting[at]) > 0 {
					i := rapid.IntRange(0, len(waiting[at])-1).Draw(t, "removed")
					assert.Assert(t, q.Remove(items[waiting[at][i].id]))
					assert.Assert(t, !q.Remove(items[waiting[at][i].id]))
					waiting[at] = slices.Delete(waiting[at], i, i+1)
				}
			default:
				scanned := lines[:rapid.IntRange(1, 3).Draw(t, "lines")]
				compareScan(t, q, waiting, late, scanned)
			}
			n := 0
			for _, all := range waiting {
				n += len(all)
			}
			assert.Equal(t, q.Len(), n)
		}
	})
}

// compareScan scans lines, takes every third request and compares the order with that of
// the reference.
func compareScan(t *rapid.T, q *testQueue, waiting map[string][]waitingRequest, late map[int]bool, lines []string) {
	var want []waitingRequest
	for _, at := range lines {
		for _, w := range waiting[at] {
			w.late = late[w.id]
			want = append(want, w)
		}
	}
	slices.SortFunc(want, func(a, b waitingRequest) int {
		if a.late != b.late {
			return map[bool]int{false: -1, true: 1}[a.late]
		}
		return cmp.Or(a.rank-b.rank, a.id-b.id)
	})
	tried := 0
	q.Scan(lines, Scan[string, int]{Limit: 40, Late: func(it *Item[string, int]) bool { return late[it.Value] },
		Try: func(it *Item[string, int]) (Verdict, float64) {
			assert.Assert(t, tried < len(want))
			assert.Equal(t, it.Value, want[tried].id)
			tried++
			if tried%3 != 0 {
				return Kept, 0
			}
			for at := range waiting {
				waiting[at] = slices.DeleteFunc(waiting[at], func(w waitingRequest) bool { return w.id == it.Value })
			}
			return Taken, 1
		}})
	assert.Equal(t, tried, min(len(want), 40))
}

// Property: whatever is pushed, removed, charged and scanned, the counts agree, a scan tries
// each request of its lines at most once, and everything can be granted in the end.
func TestNothingIsLostOrGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string, int](Config{Reserve: rapid.SampledFrom([]float64{0, 1.0 / 16}).Draw(t, "reserve")})
		items := map[int]*Item[string, int]{}
		lines := []string{"a", "b"}
		draw := func() Request {
			return Request{Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Team: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "team"),
				Weight: rapid.Float64Range(-1, 3).Draw(t, "weight"), Cost: rapid.Float64Range(0.1, 9).Draw(t, "cost")}
		}
		for id := range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := rapid.SampledFrom(lines).Draw(t, "line")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				items[id] = q.Push(at, draw(), id)
			case 2:
				q.Charge(at, draw())
			case 3:
				i := rapid.IntRange(0, id).Draw(t, "removed")
				if it := items[i]; it != nil {
					assert.Assert(t, q.Remove(it))
					delete(items, i)
				}
			default:
				seen := map[int]bool{}
				q.Scan(lines[:rapid.IntRange(1, 2).Draw(t, "lines")], Scan[string, int]{Limit: 9,
					Late: func(it *Item[string, int]) bool { return it.Value%4 == 0 },
					Try: func(it *Item[string, int]) (Verdict, float64) {
						assert.Assert(t, !seen[it.Value] && items[it.Value] != nil)
						seen[it.Value] = true
						v := Verdict(rapid.IntRange(0, 3).Draw(t, "verdict"))
						if v == Taken {
							delete(items, it.Value)
						}
						return v, 1
					}})
			}
			assert.Equal(t, q.Len(), len(items))
		}
		for range len(items) {
			assert.Assert(t, items[takeNext(q, lines...)] != nil)
		}
		assert.Equal(t, q.Len(), 0)
		assert.Equal(t, len(q.lines), 0)
	})
}

// Guards against the least urgent rank that waits for ever while more urgent requests keep
// coming: more urgent work than the package states never passes over it.
func TestALessUrgentRankIsPassedOverForABoundedTime(t *testing.T) {
	const reserve, ranks, cost = 1.0 / 16, 3, 5.0
	q := New[string, int](Config{Reserve: reserve})
	for rank := 1; rank < ranks; rank++ {
		for range 4 {
			q.Push("l", Request{Rank: rank, Cost: cost}, rank)
		}
	}
	passed, grants := map[int]float64{}, map[int]int{}
	for range 800 {
		q.Push("l", Request{Cost: 1}, 0)
		got := takeNext(q, "l")
		grants[got]++
		passed[got] = 0
		if got == 0 {
			for rank := 1; rank < ranks; rank++ {
				passed[rank]++
				assert.Assert(t, grants[rank] == 4 || passed[rank] <= (ranks-1)*cost/reserve+1, "rank %d: %f", rank, passed[rank])
			}
		}
	}
	assert.Equal(t, grants[1], 4)
	assert.Equal(t, grants[2], 4)
	strict := New[string, int](Config{})
	strict.Push("l", Request{Rank: 1, Cost: 1}, 1)
	for range 400 {
		strict.Push("l", Request{Cost: 1}, 0)
		assert.Equal(t, takeNext(strict, "l"), 0, "without a reserve the more urgent rank is always first")
	}
}

// Guards against a scan that tries only the requests of one team, which do not fit, while
// those of another team would.
func TestAScanIsSharedByTheTeams(t *testing.T) {
	q := New[string, int](Config{})
	for range 1000 {
		q.Push("l", Request{Team: "flood", Cost: 1}, 0)
	}
	q.Push("l", Request{Team: "usual", Cost: 1}, 1)
	granted := false
	q.Scan([]string{"l"}, Scan[string, int]{Limit: 48, Try: func(it *Item[string, int]) (Verdict, float64) {
		granted = granted || it.Value == 1
		return map[bool]Verdict{true: Taken}[it.Value == 1], 1
	}})
	assert.Assert(t, granted)
}

// Guards against a team that was idle and then has all capacity for as long as it was idle,
// and against one that waits behind everything that others were granted meanwhile.
func TestAnIdleTeamBeginsWithTheOthers(t *testing.T) {
	q := New[string, int](Config{})
	for range 100 {
		q.Charge("l", Request{Team: "busy", Cost: 1})
	}
	for range 20 {
		q.Push("l", Request{Team: "busy", Cost: 1}, 0)
		q.Push("l", Request{Team: "idle", Cost: 1}, 1)
	}
	ahead, _ := q.Ahead("l", Request{Team: "third", Cost: 1})
	assert.Assert(t, ahead <= 2)
	counts := map[int]int{}
	for range 20 {
		counts[takeNext(q, "l")]++
	}
	assert.Assert(t, counts[0] >= 9 && counts[1] >= 9, "%v", counts)
}

// Guards against a team that has all capacity once an upstream is back that only it waited
// for: what it lacks counts as a few requests at most.
func TestCreditIsBounded(t *testing.T) {
	q := New[string, int](Config{})
	q.Push("lost", Request{Team: "a", Cost: 1}, 0)
	for range 500 {
		q.Charge("l", Request{Team: "b", Cost: 1})
	}
	for range 100 {
		q.Push("l", Request{Team: "a", Cost: 1}, 0)
		q.Push("l", Request{Team: "b", Cost: 1}, 1)
	}
	first := 0
	for takeNext(q, "l") == 0 {
		first++
	}
	assert.Assert(t, first <= creditRequests+2, "%d", first)
}

// BenchmarkPushAndTake measures one request through a queue in which 10,000 of 100 teams
// wait, in 20 lines of which an event scans four.
func BenchmarkPushAndTake(b *testing.B) {
	q := New[int, int](Config{Reserve: 1.0 / 16})
	next := 0
	push := func() {
		next++
		q.Push(next%20, Request{Rank: next % 3, Team: fmt.Sprint(next % 100), Cost: float64(1 + next%7)}, next)
	}
	for range 10_000 {
		push()
	}
	b.ReportAllocs()
	for b.Loop() {
		push()
		at := next % 20
		taken := false
		q.Scan([]int{at, (at + 5) % 20, (at + 10) % 20, (at + 15) % 20}, Scan[int, int]{Limit: 2, Try: func(*Item[int, int]) (Verdict, float64) {
			if taken {
				return Stopped, 0
			}
			taken = true
			return Taken, 1
		}})
	}
}
