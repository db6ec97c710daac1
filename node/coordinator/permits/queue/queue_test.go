package queue

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func never(int) bool { return false }

// Guards against lines that are not tried for as long as others hold more requests that
// cannot be granted: an upstream that appears for one model is not used.
func TestAllLinesAreTriedInTurn(t *testing.T) {
	q := New[int]()
	for i := range 2000 {
		q.Push(Request{Service: "s", Model: fmt.Sprint("large-", i%2), Cost: 1}, 0, start)
	}
	for i := range 30 {
		q.Push(Request{Service: "t", Model: fmt.Sprint("small-", i), Rank: 3, Cost: 1}, 1, start)
	}
	taken := 0
	for range 2 {
		tries := 0
		q.ScanAll(Scan[int]{Now: start, Late: never, Try: func(v int) (bool, float64) {
			tries++
			taken += v
			return v == 1, 1
		}})
		assert.Assert(t, tries <= maxTries)
	}
	assert.Equal(t, taken, 30)
	assert.Equal(t, q.Len(), 2000)
}

// An operator sees which team waits, for what, since when, and what it got of its share.
func TestTheStatusNamesWhoWaits(t *testing.T) {
	q := New[time.Time]()
	q.Configure(true, func(team string) float64 { return map[string]float64{"a": 3, "b": 1}[team] })
	now := start
	for range 9 {
		q.Charge(Request{Service: "s", Model: "m", Team: "a", Cost: 2}, now)
	}
	q.Charge(Request{Service: "s", Model: "m", Team: "b", Cost: 2}, now)
	for i := range 4 {
		now = now.Add(100 * time.Millisecond)
		q.Push(Request{Service: "s", Model: fmt.Sprint("m", i%2), Team: "a", Rank: 1, Cost: 2}, now, now)
	}
	now = now.Add(time.Second)
	all := q.Status(now, func(at time.Time) time.Time { return at })
	assert.Equal(t, len(all), 1)
	a := all[0]
	assert.Equal(t, a.Service+a.Team, "sa")
	assert.Equal(t, a.Waiting, 4)
	assert.Equal(t, a.OldestMs, int64(1300))
	assert.Equal(t, a.Share, 0.75)
	assert.Equal(t, a.Granted, 0.9)
	assert.Assert(t, a.Asked > 0.9 && a.HadItsShare())
	assert.DeepEqual(t, a.Lines, []LineWaiting{{"m0", 1, 2}, {"m1", 1, 2}})
	for range 2 {
		now = now.Add(windowSpan)
		q.Charge(Request{Service: "s", Model: "m", Team: "b", Cost: 2}, now)
	}
	a = q.Status(now, func(at time.Time) time.Time { return at })[0]
	assert.Equal(t, a.Granted, 0.0, "what was granted longer ago is forgotten")
	assert.Assert(t, !a.HadItsShare())
}

// Guards against a refusal by what the line looked like before: nobody has waited since.
func TestNothingIsPredictedFromAQueueThatWasEmpty(t *testing.T) {
	q := New[int]()
	r := Request{Service: "s", Model: "m", Cost: 1}
	items := []*Item[int]{}
	for range 100 {
		items = append(items, q.Push(r, 0, start))
	}
	now := start
	for range 2 * minRateGrants {
		now = now.Add(rateSpan / minRateGrants)
		q.ScanModels("s", []string{"m"}, Scan[int]{Now: now, Late: never, Try: func(int) (bool, float64) { return false, 0 }})
		q.Charge(r, now)
	}
	_, hopeless := q.Refuse(r, 100*time.Millisecond, now)
	assert.Assert(t, hopeless)
	_, hopeless = q.Refuse(r, time.Hour, now)
	assert.Assert(t, !hopeless)
	for _, it := range items {
		q.Remove("s", "m", it, now)
	}
	for range 100 {
		q.Push(r, 0, now)
	}
	_, hopeless = q.Refuse(r, 100*time.Millisecond, now.Add(time.Millisecond))
	assert.Assert(t, !hopeless)
}

// fill lets n requests of 100 teams wait for 20 models.
func fill(q *Queue[int], n int) {
	for i := range n {
		q.Push(Request{Service: "s", Model: fmt.Sprint("m", i%20), Team: fmt.Sprint("t", i%100), Rank: i % 3, Cost: float64(1 + i%7)}, i, start)
	}
}

// BenchmarkAnEvent measures an event at an upstream with four models, at which one request
// of 10,000 that wait is granted and another begins to wait; bytes is what one that waits
// takes.
func BenchmarkAnEvent(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			q := New[int]()
			fill(q, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				model := i % 20
				q.Push(Request{Service: "s", Model: fmt.Sprint("m", model), Team: fmt.Sprint("t", i%100), Rank: i % 3, Cost: 1}, i, start)
				granted := false
				q.ScanModels("s", []string{fmt.Sprint("m", model), "m1", "m2", "m3"}, Scan[int]{Now: start, Late: never, Try: func(int) (bool, float64) {
					if granted {
						return false, 0
					}
					granted = true
					return true, 1
				}})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/waiting")
		})
	}
}

// Guards against a weight that is not in force until a team's next request arrives, since a
// queue may hold minutes of requests.
func TestANewWeightHoldsForThoseWhoWait(t *testing.T) {
	q := New[string]()
	for range 40 {
		q.Push(Request{Service: "s", Model: "m", Team: "a", Cost: 1}, "a", start)
		q.Push(Request{Service: "s", Model: "m", Team: "b", Cost: 1}, "b", start)
	}
	q.Configure(true, func(team string) float64 { return map[string]float64{"a": 3, "b": 1}[team] })
	taken := map[string]int{}
	q.ScanModels("s", []string{"m"}, Scan[string]{Now: start, Late: func(string) bool { return false }, Try: func(team string) (bool, float64) {
		taken[team]++
		return true, 1
	}})
	assert.Assert(t, taken["a"] >= 35 && taken["b"] >= 11, "%v", taken)
}

// Guards against refusals by a few grants, which say little about the next ones.
func TestNothingIsPredictedFromAFewGrants(t *testing.T) {
	q := New[int]()
	r := Request{Service: "s", Model: "m", Cost: 1}
	for range 1000 {
		q.Push(r, 0, start)
	}
	now := start
	refused := func() bool {
		_, hopeless := q.Refuse(r, time.Millisecond, now)
		return hopeless
	}
	for range minRateGrants - 1 {
		now = now.Add(rateSpan / minRateGrants)
		q.Charge(r, now)
	}
	now = start.Add(rateSpan + time.Millisecond)
	assert.Assert(t, !refused())
	q.Charge(r, now)
	assert.Assert(t, refused())
}
