package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const shapingSeeds = 10

// shapingLoads are the loads of one team under which its limit is simulated. Small teams
// have a burst of two requests or fewer.
func shapingLoads() map[string]shapingLoad {
	out := map[string]shapingLoad{}
	for _, perSecond := range []float64{4200, 20_000, 100_000} {
		for _, factor := range []float64{1.5, 3, 7} {
			out[fmt.Sprintf("%.0f a second, %.1f times", perSecond, factor)] = shapingLoad{perSecond, factor, mixedKinds(), byWaiting}
		}
	}
	return out
}

// Guards against a team over its limit whose less urgent requests take what its urgent ones
// lack, whose less urgent ones starve, or that gets more or less than its limit.
func TestATeamsUrgentRequestsGetItsLimitFirst(t *testing.T) {
	for name, l := range shapingLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			on := played(l, shapingSeeds)
			reserved, off := l, l
			reserved.way, off.way = byReserve, asTheyCome
			before := played(off, shapingSeeds)
			t.Logf("as they come %v", before)
			t.Logf("by reserve   %v", played(reserved, shapingSeeds))
			t.Logf("by waiting   %v", on)
			assert.Assert(t, on.excess <= roundingTolerance, "%f over", on.excess)
			assert.Assert(t, on.used >= min(0.97, before.used), "%.3f of the limit used", on.used)
			asked := 0.0
			for _, k := range on.kinds {
				asked += k.asked
			}
			room := asked / l.factor * (1 - floorShare - cheapShare)
			assert.Assert(t, on.kinds[0].served > before.kinds[0].served)
			if l.perSecond > 10_000 { // otherwise a burst is less than two requests, and an urgent one waits for the half of its objective
				assert.Assert(t, on.kinds[0].inTime > before.kinds[0].inTime)
			}
			if l.perSecond > 50_000 {
				assert.Assert(t, on.kinds[0].served >= 0.95*min(on.kinds[0].asked, room), "%.3f served", on.kinds[0].served/min(on.kinds[0].asked, room))
			}
			assert.Assert(t, float64(on.kept) >= 0.75*float64(on.promised), "%d of %d returned as promised", on.kept, on.promised)
		})
	}
}

// Guards against less urgent requests that starve while urgent ones ask for several times
// the limit: together they get their floor.
func TestLessUrgentRequestsGetTheirFloor(t *testing.T) {
	for _, factor := range []float64{3, 7} {
		l := shapingLoad{100_000, factor, []kind{{"urgent", 0, 0.9, tokens(2400), 800 * time.Millisecond, 5 * time.Second},
			{"patient", 2, 0.1, tokens(2400), 15 * time.Second, 20 * time.Second}}, byWaiting}
		v := played(l, shapingSeeds)
		limit := l.perSecond * (spellTo - spellFrom - settled) * shapingSeeds
		patient, urgent := v.kinds[1].duringSpell/limit, v.kinds[0].duringSpell/limit
		t.Logf("%.1f times: urgent %.3f, patient %.3f of the limit", factor, urgent, patient)
		// What a rank got beyond its floor before, it may owe for floorSpan.
		owed := floorSpan.Seconds() / (spellTo - spellFrom - settled)
		assert.Assert(t, patient >= floorShare*(1-owed), "%.3f of the limit", patient)
		assert.Assert(t, urgent >= 0.97*(1-floorShare), "%.3f of the limit", urgent)
	}
}

// Guards against other decisions than the bucket's where there is nothing to divide: the
// routes have equal urgency, or the team stays within its limit.
func TestWithoutRanksOrWithinTheLimitTheBucketDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Unit: Tokens, PerSecond: rapid.Float64Range(100, 10_000).Draw(t, "rate"), Burst: rapid.Float64Range(100, 10_000).Draw(t, "burst")}
		within := rapid.Bool().Draw(t, "within")
		l, bucket := NewLedger(0), NewBucket(limit, at(0))
		l.SetTeams([]Team{{Name: "team", Limit: limit}}, nil, at(0))
		now := at(0)
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Float64Range(0, 0.5).Draw(t, "gap") * float64(time.Second)))
			q := Ask{Rank: 1, Cost: float64(rapid.IntRange(0, 3000).Draw(t, "cost")), MaxWait: time.Second, InTime: time.Second, ReturnWithin: time.Second}
			if within {
				q.Rank = rapid.IntRange(0, 3).Draw(t, "rank")
				q.Cost = min(q.Cost, bucket.Level(now))
			}
			q.Overdue = rapid.Bool().Draw(t, "overdue")
			wait, ok := bucket.Take(q.Cost, now)
			got := l.Ask("team", q, now)
			assert.Equal(t, got.Verdict, verdictOf(ok))
			assert.Equal(t, got.RetryAfter, wait)
			assert.Assert(t, !got.Promised)
		}
	})
}

// Guards against more than the limit in any window, requests that are refused although the
// account holds their cost and nobody waits, and requests that wait longer than they may.
func TestAnAccountKeepsItsLimitAndItsWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Unit: Tokens, PerSecond: rapid.Float64Range(100, 10_000).Draw(t, "rate"), Burst: rapid.Float64Range(100, 10_000).Draw(t, "burst")}
		l := NewLedger(0)
		l.SetTeams([]Team{{Name: "team", Limit: limit}}, nil, at(0))
		now, waiting := at(0), map[*Waiter]bool{}
		var admitted []arrival
		decide := func(w *Waiter, a Answer) {
			assert.Assert(t, waiting[w], "decided once")
			delete(waiting, w)
			if a.Verdict == Admit {
				admitted = append(admitted, arrival{at: now, cost: w.Cost()})
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "requests") {
			next := now.Add(time.Duration(rapid.Float64Range(0, 0.3).Draw(t, "gap") * float64(time.Second)))
			for again := l.Serve(now, decide); again > 0 && now.Add(again).Before(next); again = l.Serve(now, decide) {
				now = now.Add(again)
			}
			now = next
			q := Ask{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Cost: float64(rapid.IntRange(1, 3000).Draw(t, "cost")),
				MaxWait: time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond, InTime: time.Second, ReturnWithin: 2 * time.Second}
			level, before := l.accounts["team"].bucket.Level(now), len(waiting)
			switch got := l.Ask("team", q, now); got.Verdict {
			case Admit:
				admitted = append(admitted, arrival{at: now, cost: q.Cost})
			case Wait:
				waiting[got.Waiter] = true
			default:
				assert.Assert(t, before > 0 || level < min(q.Cost, limit.capacity()), "refused with %f for %f", level, q.Cost)
			}
			for w := range waiting {
				assert.Assert(t, !now.After(w.latest.Add(300*time.Millisecond)), "it waits too long")
			}
		}
		assertWithinLimit(t, limit, admitted)
	})
}

// assertWithinLimit checks that no window of boundWindow has more than the rate, a burst and
// one request that costs more than a burst.
func assertWithinLimit(t *rapid.T, limit Limit, admitted []arrival) {
	for i := range admitted {
		sum, largest := 0.0, 0.0
		for _, a := range admitted[i:] {
			if a.at.Sub(admitted[i].at) > boundWindow {
				break
			}
			sum, largest = sum+a.cost, max(largest, a.cost)
		}
		allowed := limit.PerSecond*boundWindow.Seconds() + limit.capacity() + max(largest-limit.capacity(), 0)
		assert.Assert(t, sum <= allowed+1, "%f of %f", sum, allowed)
	}
}

// Guards against callers that are all told the same time: the first told comes back first,
// and each finds its cost when it comes.
func TestThoseRefusedReturnOneAfterTheOther(t *testing.T) {
	l := NewLedger(0)
	l.SetTeams([]Team{{Name: "team", Limit: Limit{Unit: Tokens, PerSecond: 1000, Burst: 1000}}}, nil, at(0))
	patient := Ask{Rank: 1, Cost: 500, InTime: 10 * time.Second, ReturnWithin: 10 * time.Second}
	assert.Equal(t, l.Ask("team", Ask{Rank: 0, Cost: 1000, InTime: time.Second}, at(0)).Verdict, Admit)
	var told []time.Duration
	for range 4 {
		got := l.Ask("team", patient, at(0))
		assert.Equal(t, got.Verdict, Refuse)
		assert.Assert(t, got.Promised)
		told = append(told, got.RetryAfter)
	}
	for i, after := range told {
		assert.Assert(t, i == 0 || after > told[i-1])
		returning := patient
		returning.MaxWait = 100 * time.Millisecond
		got := l.Ask("team", returning, at(after.Seconds()))
		assert.Assert(t, got.Verdict != Refuse, "number %d after %v", i, after)
		l.Serve(at(after.Seconds()+0.1), func(*Waiter, Answer) {})
	}
	_, kept := l.Promises()
	assert.Equal(t, kept, len(told))
	got := l.Ask("team", Ask{Rank: 1, Cost: 500, InTime: 10 * time.Second, ReturnWithin: time.Millisecond}, at(told[3].Seconds()+0.1))
	assert.Assert(t, got.Verdict == Admit || !got.Promised, "nothing is promised beyond the time that a caller waits")
}

// Guards against requests that came back too late and take what others, of whatever rank,
// could still be answered in time with.
func TestThoseThatAreOverdueGoLast(t *testing.T) {
	l := NewLedger(0)
	l.SetTeams([]Team{{Name: "team", Limit: Limit{Unit: Tokens, PerSecond: 1000, Burst: 1000}}}, nil, at(0))
	l.Ask("team", Ask{Rank: 0, Cost: 1000, InTime: time.Second}, at(0))
	inTime := l.Ask("team", Ask{Rank: 1, Cost: 500, MaxWait: 5 * time.Second, InTime: 10 * time.Second}, at(0))
	late := l.Ask("team", Ask{Rank: 0, Cost: 500, MaxWait: 5 * time.Second, Overdue: true}, at(0))
	assert.Equal(t, late.Verdict, Wait)
	assert.Equal(t, inTime.Verdict, Wait)
	var order []*Waiter
	for _, t := range []float64{0.6, 1.1, 2} {
		l.Serve(at(t), func(w *Waiter, a Answer) { order = append(order, w) })
	}
	assert.Equal(t, len(order), 2)
	assert.Equal(t, order[0], inTime.Waiter)
}

// BenchmarkAccount measures one decision with so many requests that wait.
func BenchmarkAccount(b *testing.B) {
	for _, waiting := range []int{0, 100, maxWaiting - 1} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := NewLedger(0)
			l.SetTeams([]Team{{Name: "team", Limit: Limit{Unit: Tokens, PerSecond: 1e6, Burst: 1e6}}}, nil, at(0))
			l.Ask("team", Ask{Rank: 0, Cost: 1e6}, at(0))
			for i := range waiting + 2 {
				l.Ask("team", Ask{Rank: i % 3, Cost: 100, MaxWait: time.Hour, InTime: time.Hour}, at(0))
			}
			b.ReportAllocs()
			now, step := at(0), time.Duration(100*float64(time.Second)/1e6)
			for b.Loop() {
				now = now.Add(step)
				l.Ask("team", Ask{Rank: 1, Cost: 100, MaxWait: time.Hour, InTime: time.Hour}, now)
				l.Serve(now, func(*Waiter, Answer) {})
			}
		})
	}
}
