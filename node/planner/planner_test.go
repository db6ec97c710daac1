package planner

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
	"peridotpier.example/core/place"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/engineapi"
	standin "peridotpier.example/standin/platform"
)

func inBubble(t *testing.T, f func(t *testing.T)) { t.Helper(); synctest.Test(t, f) }

// Guards against a model that stays unreachable, or that is loaded twice: an order
// is lost, or is executed but its answer is lost, and an order without an answer is
// treated as failed, or as done.
func TestOrderOrAnswerLost(t *testing.T) {
	for name, delivered := range map[string]bool{"order lost": false, "answer lost": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newTestWorld(config.FencingIgnored, testModel("a", "1", 80), testModel("b", "1", 80))
				orders := 0
				w.network = func(engineapi.Order) (bool, bool) {
					orders++
					return delivered || orders > 2, orders > 2
				}
				p := w.planner(&testLease{1, true})
				w.steps(t.Context(), 5, p)
				assert.Equal(t, w.residentCount("a"), 1)
				assert.Equal(t, w.residentCount("b"), 1)
				ops := map[string]bool{}
				for _, o := range w.sent {
					ops[o.Op] = true
				}
				assert.Equal(t, len(ops), 2, "sent again under the same id")
			})
		})
	}
}

// Guards against an engine with both an unloaded model and its successor resident.
// A copy of the load order arrives after the unload that followed it, at an engine
// that ignores fences, and the ledger relies on the report from before.
func TestLateCopyAfterItsSuccessor(t *testing.T) {
	for _, fencing := range []config.Fencing{config.FencingChecked, config.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newTestWorld(fencing, testModel("a", "1", 60))
				w.view.Config.Upstreams = w.view.Config.Upstreams[:1]
				p := w.planner(&testLease{1, true})
				w.steps(t.Context(), 3, p)
				firstOrder := w.sent[0]
				w.view.Config.Models = []config.Model{testModel("b", "1", 70)} // a is no longer configured
				for range 200 {
					w.steps(t.Context(), 1, p)
					if time.Since(firstOrder.at) < ledger.DefaultBounds().MaxInFlight {
						w.engines["u1"].execute(firstOrder.Order)
					}
				}
				assert.Assert(t, !w.overcommitted())
				w.steps(t.Context(), 200, p)
				assert.Equal(t, w.residentCount("b"), 1)
			})
		})
	}
}

func TestEngineRestartIsLoadedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingChecked, testModel("a", "1", 80), testModel("b", "1", 80), testModel("c", "1", 80))
		p := w.planner(&testLease{1, true})
		w.steps(t.Context(), 3, p)
		w.engines["u2"].restart()
		w.steps(t.Context(), 3, p)
		assert.Equal(t, w.residentCount("a")+w.residentCount("b")+w.residentCount("c"), 3)
		assert.Assert(t, !w.overcommitted())
	})
}

// Guards against an order from a planner whose lease has lapsed. The reservation is
// committed; the process is paused past its lease, resumes and goes on. It must
// check the lease again, not only at the beginning of a plan.
func TestPausedPastItsLease(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingIgnored, testModel("a", "1", 80))
		old, next := &testLease{1, true}, &testLease{2, true}
		p := w.planner(lapsingLease{old, w.table, 3}) // commits: take-over, rows of the first reports, reservation
		p.Step(t.Context())
		assert.Equal(t, len(w.sent), 0)
		assert.Assert(t, w.table.commits >= 3, "the reservation was committed")
		w.steps(t.Context(), 40, w.planner(next))
		assert.Equal(t, w.residentCount("a"), 1)
		assert.Assert(t, !w.overcommitted())
	})
}

// lapsingLease is a lease that lapses after a number of commits.
type lapsingLease struct {
	*testLease
	table      *testTable
	maxCommits int
}

func (l lapsingLease) Valid(uint64) bool { return l.table.commits < l.maxCommits }

// Guards against two planners that write the same ledger. The holder's lease lapses
// without its noticing, because its clock has stopped, and another host takes
// over; only the table service can tell them apart.
func TestSupersededPlannerWritesNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingIgnored, testModel("a", "1", 60))
		first, second := w.planner(&testLease{1, true}), w.planner(&testLease{2, true})
		w.steps(t.Context(), 3, first)
		w.steps(t.Context(), 1, second)
		w.view.Config.Models = append(w.view.Config.Models, testModel("b", "1", 60))
		before := len(w.sent)
		w.steps(t.Context(), 5, first)
		assert.Equal(t, len(w.sent), before)
		w.steps(t.Context(), 3, second)
		assert.Equal(t, w.residentCount("b"), 1)
	})
}

// Guards against overcommitted memory after an outage of the table service. An
// engine unloads a model, the table service becomes unavailable before the release
// is in the ledger, and the next load is due. A release must not count before it is
// committed.
func TestStoreDownInTheMiddleOfAMove(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingChecked, testModel("a", "1", 60))
		w.view.Config.Upstreams = w.view.Config.Upstreams[:1]
		p := w.planner(&testLease{1, true})
		w.steps(t.Context(), 3, p)
		w.view.Config.Models = []config.Model{testModel("b", "1", 70)}
		w.steps(t.Context(), 1, p)
		assert.Equal(t, w.residentCount("a"), 0, "unloaded")
		w.table.down = true
		w.steps(t.Context(), 600, p)
		assert.Equal(t, w.residentCount("b"), 0)
		w.table.down = false
		w.steps(t.Context(), 10, p)
		assert.Equal(t, w.residentCount("b"), 1)
		assert.Assert(t, !w.overcommitted())
	})
}

// Guards against a reservation that is entered twice, and an order that is sent
// without one. The answer to a commit is lost after it took effect, and the planner
// treats that as a failure.
func TestCommitAnswerLost(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingIgnored, testModel("a", "1", 80))
		w.view.Config.Upstreams = w.view.Config.Upstreams[:2] // b fits on one only
		p := w.planner(&testLease{1, true})
		p.Step(t.Context())
		w.view.Config.Models = append(w.view.Config.Models, testModel("b", "1", 80))
		w.table.lostAnswers = 1000 // for longer than the planner waits for one commit
		w.steps(t.Context(), 2, p)
		w.table.lostAnswers = 0
		w.steps(t.Context(), 40, p)
		assert.Equal(t, w.residentCount("b"), 1)
		assert.Assert(t, !w.overcommitted())
	})
}

// Guards against a model that is unreachable while its version changes. Versions and
// presets are switched while moves are in progress, and the old version must not be
// unloaded before the new one is ready.
func TestSwitchesInTheMiddleOfMoves(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingChecked, testModel("a", "1", 40), testModel("b", "1", 40))
		p := w.planner(&testLease{1, true})
		w.steps(t.Context(), 3, p)
		for round := range 60 {
			version := []string{"1", "2", "3"}[round%3]
			c := *w.view.Config
			c.Models = []config.Model{testModel("a", version, 40), testModel("b", "1", 40)}
			w.view.Config = &c
			w.view.Preset.SpreadThreshold = []float64{0.1, 0.9}[round%2]
			w.view.Demand = map[place.Key]place.Demand{{Model: "b"}: {Short: 9, Long: 9}}
			for range 1 + round%7 {
				w.steps(t.Context(), 1, p)
				assert.Assert(t, w.residentCount("a") > 0 && w.residentCount("b") > 0 && !w.overcommitted())
			}
		}
	})
}

// Guards against new replicas on an upstream that is draining. It reports that it
// drains; a report that it made before arrives later and does not say so. An
// incarnation that drains never returns to service.
func TestDrainingIsNotUndoneByALateReport(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingChecked, testModel("a", "1", 80))
		w.view.Config.Upstreams = w.view.Config.Upstreams[:2]
		p := w.planner(&testLease{1, true})
		w.steps(t.Context(), 3, p)
		draining := w.engines[w.sent[0].upstream]
		draining.draining = true
		w.steps(t.Context(), 1, p)
		draining.draining = false
		w.steps(t.Context(), 3, p)
		assert.Equal(t, w.residentCount("a"), 2)
		w.view.Config.Models = append(w.view.Config.Models, testModel("b", "1", 20))
		w.steps(t.Context(), 3, p)
		for artifact := range draining.residents {
			assert.Assert(t, artifact.Model != "b")
		}
	})
}

func TestElectiveMovesAreRateLimited(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingChecked, testModel("a", "1", 10))
		first := w.planner(&testLease{1, true})
		w.steps(t.Context(), 3, first)
		p := w.planner(&testLease{2, true})
		w.view.Demand[place.Key{Model: "a"}] = place.Demand{Short: 99, Long: 99}
		w.steps(t.Context(), 100, p)
		assert.Equal(t, p.Status().LoadOrders, 0, "cooldown under the new lease holder")
		w.steps(t.Context(), 100, p)
		assert.Equal(t, p.Status().LoadOrders, 1, "one, and then its cooldown")
		w.steps(t.Context(), 200, p)
		assert.Equal(t, w.residentCount("a"), 3)
	})
}

// With all faults at once and two planners that take over from each other, memory
// is never overcommitted, and once the faults end every model is reachable.
func TestFaultsTogether(t *testing.T) {
	for _, fencing := range []config.Fencing{config.FencingChecked, config.FencingIgnored} {
		for seed := range uint64(10) {
			inBubble(t, func(t *testing.T) {
				w := newTestWorld(fencing, testModel("a", "1", 55), testModel("b", "1", 45), testModel("c", "1", 60))
				src := rand.New(rand.NewPCG(seed, 1))
				w.network = func(engineapi.Order) (bool, bool) { return src.IntN(4) > 0, src.IntN(4) > 0 }
				leases := []*testLease{{1, true}, {0, false}}
				planners := []*Planner{w.planner(leases[0]), w.planner(leases[1])}
				for range 900 {
					w.injectFault(src, leases)
					w.steps(t.Context(), 1, planners...)
					assert.Assert(t, !w.overcommitted(), "%s seed %d", fencing, seed)
				}
				w.network, w.table.down, w.table.lostAnswers = nil, false, 0
				w.steps(t.Context(), 600, planners...)
				assert.Assert(t, w.residentCount("a") > 0 && w.residentCount("b") > 0 && w.residentCount("c") > 0, "%s seed %d", fencing, seed)
				assert.Assert(t, !w.overcommitted())
			})
		}
	}
}

// injectFault causes one fault at random: a late copy of an order, a restart, an
// outage, lost answers, a change of the lease or of a version.
func (w *testWorld) injectFault(src *rand.Rand, leases []*testLease) {
	switch src.IntN(24) {
	case 0, 1, 2, 3:
		if len(w.sent) > 0 {
			o := w.sent[src.IntN(len(w.sent))]
			if time.Since(o.at) <= ledger.DefaultBounds().MaxInFlight {
				w.engines[o.upstream].execute(o.Order)
			}
		}
	case 4:
		if src.IntN(4) == 0 {
			w.engines[[]string{"u1", "u2", "u3"}[src.IntN(3)]].restart()
		}
	case 5:
		w.table.down = !w.table.down
	case 6:
		w.table.lostAnswers = src.IntN(20)
	case 7:
		next := max(leases[0].epoch, leases[1].epoch) + 1
		i := src.IntN(2)
		leases[i].epoch, leases[i].valid = next, true
		leases[1-i].valid = src.IntN(2) == 0 // a former holder may not have noticed
	case 8:
		c := *w.view.Config
		c.Models = append([]config.Model(nil), c.Models...)
		c.Models[src.IntN(3)].Version = []string{"1", "2"}[src.IntN(2)]
		w.view.Config = &c
	}
}

// Guards against a fencing number that is used again: an epoch row that cannot be read is
// taken for that of epoch 0 and overwritten.
func TestAnUnreadableEpochRowIsNotTakenOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingChecked, testModel("a", "1", 60))
		row := store.Write{Key: epochPrefix + "p", Value: []byte("7x")}
		_, err := w.table.Commit(t.Context(), store.Txn{Writes: []store.Write{row}})
		assert.NilError(t, err)
		w.steps(t.Context(), 3, w.planner(&testLease{1, true}))
		assert.Equal(t, len(w.sent), 0)
		rows, err := w.table.Get(t.Context(), row.Key)
		assert.NilError(t, err)
		assert.Equal(t, string(rows[0].Value), "7x")
	})
}

// Guards against overcommitted memory: an order is on its way whose reservation a restored
// table has forgotten, and the next planner uses the room again.
func TestNoOrderIsSentWhileOneMayBeForgotten(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newTestWorld(config.FencingIgnored)
		w.view.Config.Upstreams = w.view.Config.Upstreams[:1]
		tb := w.table.Table.(*standin.Table)
		var late []engineapi.Order
		w.network = func(o engineapi.Order) (bool, bool) { late = append(late, o); return false, false }
		w.steps(t.Context(), 2, w.planner(&testLease{1, true})) // no model is configured
		copied := tb.Copy()
		w.view.Config.Models = []config.Model{testModel("a", "1", 60)}
		w.steps(t.Context(), 2, w.planner(&testLease{2, true}))
		assert.Assert(t, len(late) > 0)
		tb.Restore(copied)
		w.network = nil
		w.view.Config.Models = []config.Model{testModel("b", "1", 70)}
		const eraOne = 1 << 24                                   // epochs of the table's first era after a restore
		for _, epoch := range []uint64{eraOne + 1, eraOne + 2} { // the second takes over from the first
			w.steps(t.Context(), 20, w.planner(&testLease{epoch, true}))
		}
		for _, o := range late {
			w.engines["u1"].execute(o)
		}
		assert.Assert(t, !w.overcommitted())
		w.steps(t.Context(), 200, w.planner(&testLease{eraOne + 3, true}))
		assert.Assert(t, !w.overcommitted())
		assert.Equal(t, w.residentCount("b"), 1, "orders go on once all are settled")
	})
}
