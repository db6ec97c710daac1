package admit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
)

var (
	start  = time.Unix(1000, 0)
	preset = config.Preset{UrgentHeadroom: 0.2, BulkShare: 0.3, AcceptBulk: true}
)

func item(id uint64, team string, c class.Class) Item {
	return Item{ID: id, Team: team, Weight: 1, Class: c}
}

// fill sends n requests of a class and returns how many were admitted.
func fill(p *Pool, first uint64, n int, team string, c class.Class) int {
	admitted := 0
	for i := range n {
		if v, _, _ := p.Arrive(start, item(first+uint64(i), team, c)); v == Admitted {
			admitted++
		}
	}
	return admitted
}

func TestClassesStayWithinTheirSlots(t *testing.T) {
	p := NewPool(NewPolicy(preset, nil, 20))
	assert.Equal(t, fill(p, 0, 30, "a", class.Bulk), 6)        // 0.3 of 20
	assert.Equal(t, fill(p, 100, 30, "a", class.Standard), 10) // up to 16 with bulk
	assert.Equal(t, fill(p, 200, 30, "a", class.Urgent), 4)    // the headroom is available at once
	r := p.Release(class.Bulk, "a", time.Second)
	assert.DeepEqual(t, r.Granted, []uint64{204}) // urgent first, bulk last
}

func TestRefusals(t *testing.T) {
	rules := []config.ClassRule{{Class: class.Standard, MaxQueue: 2}}
	noBulk := preset
	noBulk.AcceptBulk = false
	full := func() *Pool {
		p := NewPool(NewPolicy(noBulk, rules, 10))
		fill(p, 0, 8, "a", class.Standard)
		p.Release(class.Standard, "a", 8*time.Second)
		fill(p, 100, 2, "a", class.Standard) // one granted, one waits; each slot is held for 8 s
		return p
	}
	late := item(1000, "b", class.Standard)
	late.Deadline = start.Add(time.Second / 2)
	done := late
	done.Deadline = start.Add(-time.Second)
	for _, c := range []struct {
		name  string
		pool  *Pool
		item  Item
		cause Cause
	}{
		{"no slots", NewPool(NewPolicy(preset, nil, 0)), item(1, "b", class.Urgent), CauseNoCapacity},
		{"preset without bulk", full(), item(1, "b", class.Bulk), CauseBulkDisabled},
		{"cannot make its deadline", full(), late, CauseDeadlineUnreachable},
		{"deadline passed", full(), done, CauseDeadlineUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, refusal, _ := c.pool.Arrive(start, c.item)
			assert.Equal(t, v, Refused)
			assert.Equal(t, refusal.Cause, c.cause)
			assert.Assert(t, refusal.RetryAfter > 0)
		})
	}
}

func TestWaitingTeamsAreServedByWeight(t *testing.T) {
	p := NewPool(NewPolicy(preset, nil, 1))
	fill(p, 0, 1, "other", class.Standard)
	for id := uint64(100); id < 120; id++ {
		heavy, light := item(id, "heavy", class.Standard), item(id+100, "light", class.Standard)
		heavy.Weight = 3
		p.Arrive(start, heavy)
		p.Arrive(start, light)
	}
	served, team := 0, "other"
	for range 16 {
		id := p.Release(class.Standard, team, time.Second).Granted[0]
		team = "light"
		if id < 200 {
			team = "heavy"
			served++
		}
	}
	assert.Equal(t, served, 12)
}

// Guards against answering a caller "not run" only at its deadline, too late for a retry
// of its own. A request is queued behind quick ones, and then the slots are held far longer
// than before; a prediction made only on arrival does not show it.
func TestExpireQueuedRefusesAtOnce(t *testing.T) {
	p := NewPool(NewPolicy(preset, nil, 1))
	fill(p, 0, 1, "a", class.Standard)
	it := item(7, "a", class.Standard)
	it.Deadline = start.Add(10 * time.Second)
	v, _, _ := p.Arrive(start, it)
	assert.Equal(t, v, Queued)
	assert.Equal(t, len(p.ExpireQueued(start).Refused), 0)
	p.meanHold = 30 * time.Second
	r := p.ExpireQueued(start.Add(time.Second))
	assert.Equal(t, len(r.Refused), 1)
	assert.Equal(t, r.Refused[0].ID, uint64(7))
}

// Guards against refusing every other team while one floods. The flood fills the bounded
// queue before a request of another team arrives.
func TestFloodIsDisplacedFromAFullQueue(t *testing.T) {
	p := NewPool(NewPolicy(preset, []config.ClassRule{{Class: class.Standard, MaxQueue: 4}}, 10))
	fill(p, 0, 100, "flood", class.Standard)
	for id := uint64(300); id < 302; id++ {
		v, _, displaced := p.Arrive(start, item(id, "b", class.Standard))
		assert.Equal(t, v, Queued)
		assert.Equal(t, displaced.Cause, CauseDisplaced)
		assert.Assert(t, displaced.ID < 200)
	}
	v, refusal, _ := p.Arrive(start, item(302, "b", class.Standard)) // team b has half of the queue now
	assert.Equal(t, v, Refused)
	assert.Equal(t, refusal.Cause, CauseQueueFull)
	assert.Equal(t, p.Waiting(class.Standard), 4)
}

// simulateFlood simulates two teams in one pool in steps of a millisecond and returns the
// times from arrival to end of the quiet team's requests.
func simulateFlood(flood bool, slots int, seed uint64) []time.Duration {
	const steps, held = 60_000, 200
	type running struct {
		id  uint64
		end int
	}
	src := rand.New(rand.NewPCG(seed, 1))
	p := NewPool(NewPolicy(preset, nil, slots))
	var busy []running
	arrived, teams, next := map[uint64]int{}, map[uint64]string{}, uint64(0)
	var out []time.Duration
	admit := func(id uint64, now int) { busy = append(busy, running{id, now + held/2 + src.IntN(held)}) }
	arrive := func(team string, now int) {
		next++
		arrived[next], teams[next] = now, team
		it := item(next, team, class.Standard)
		it.Deadline = start.Add(time.Duration(now)*time.Millisecond + 2*time.Second)
		if v, _, _ := p.Arrive(start.Add(time.Duration(now)*time.Millisecond), it); v == Admitted {
			admit(next, now)
		}
	}
	for now := range steps {
		var granted []uint64
		busy = slices.DeleteFunc(busy, func(r running) bool {
			if r.end > now {
				return false
			}
			if teams[r.id] == "quiet" {
				out = append(out, time.Duration(now-arrived[r.id])*time.Millisecond)
			}
			granted = append(granted, p.Release(class.Standard, teams[r.id], held*time.Millisecond).Granted...)
			return true
		})
		for _, id := range granted {
			admit(id, now)
		}
		if src.IntN(1600/slots) == 0 { // an eighth of the slots
			arrive("quiet", now)
		}
		if flood && now > steps/10 { // 2,000 a second, ten times the capacity or more
			arrive("flood", now)
			arrive("flood", now)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against one team's flood raising the p99 of another. The flood takes every slot and
// fills the queue; if slots and queue places were granted by arrival only, a request of the
// quiet team would wait for a release, behind the flood.
func TestAFloodDoesNotRaiseTheP99OfOthers(t *testing.T) {
	for _, run := range [][2]int{{40, 0}, {40, 1}, {40, 2}, {16, 0}, {16, 1}, {16, 2}} {
		slots, seed := run[0], uint64(run[1])
		alone, beside := simulateFlood(false, slots, seed), simulateFlood(true, slots, seed)
		p99 := func(d []time.Duration) float64 { return d[len(d)*99/100].Seconds() }
		ratio := p99(beside) / p99(alone)
		t.Logf("%d slots, seed %d: p99 alone %.3f s, beside a flood %.3f s, ratio %.3f", slots, seed, p99(alone), p99(beside), ratio)
		assert.Assert(t, ratio <= 1.10, "ratio %.3f", ratio)
	}
}

// Property: slots, headroom and queue bounds hold in every sequence of events, and no
// request is granted or refused twice.
func TestPoolBoundsHoldInAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := NewPolicy(preset, []config.ClassRule{{Class: class.Standard, MaxQueue: 3}}, rapid.IntRange(1, 12).Draw(t, "slots"))
		p, next, now := NewPool(policy), uint64(0), start
		held, waiting := map[uint64]Item{}, map[uint64]Item{}
		applyResult := func(r Result) {
			for _, id := range r.Granted {
				it, ok := waiting[id]
				assert.Assert(t, ok)
				delete(waiting, id)
				held[id] = it
			}
			for _, x := range r.Refused {
				_, ok := waiting[x.ID]
				assert.Assert(t, ok)
				delete(waiting, x.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				it := item(next, "t"+strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "team")), class.Class(rapid.IntRange(0, 2).Draw(t, "class")))
				it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second)
				switch v, _, displaced := p.Arrive(now, it); v {
				case Admitted:
					held[it.ID] = it
				case Queued:
					waiting[it.ID] = it
					if displaced != nil {
						applyResult(Result{Refused: []Refusal{*displaced}})
					}
				}
			},
			"release": func(t *rapid.T) {
				for id, it := range held {
					delete(held, id)
					applyResult(p.Release(it.Class, it.Team, time.Duration(rapid.IntRange(1, 9).Draw(t, "held"))*time.Second))
					return
				}
			},
			"cancel": func(*rapid.T) {
				for id, it := range waiting {
					assert.Assert(t, p.Cancel(it.Class, id))
					delete(waiting, id)
					return
				}
			},
			"sweep": func(*rapid.T) {
				now = now.Add(time.Second)
				applyResult(p.ExpireQueued(now))
			},
			"": func(t *rapid.T) {
				assert.Assert(t, len(held) <= policy.Slots)
				assert.Assert(t, p.used[class.Bulk] <= max(policy.maxSlots(class.Bulk), 1))
				assert.Assert(t, p.used[class.Bulk]+p.used[class.Standard] <= policy.maxSlots(class.Standard))
				assert.Equal(t, p.queues[0].size()+p.queues[1].size()+p.queues[2].size(), len(waiting))
				assert.Assert(t, p.queues[class.Standard].size() <= 3)
			},
		})
	})
}

func BenchmarkArriveRelease(b *testing.B) {
	p := NewPool(NewPolicy(preset, nil, 100))
	fill(p, 0, 79, "a", class.Standard)
	b.ReportAllocs()
	for i := range b.N {
		p.Arrive(start, item(uint64(1000+i), "b", class.Standard))
		p.Release(class.Standard, "b", time.Second)
	}
}
