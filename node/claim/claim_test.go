package claim_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/store"
	"peridotpier.example/standin/history"
)

const simHosts = 3

// noDeadline hides testing.T.Deadline, which must not be called in a synctest bubble.
type noDeadline struct{ rapid.TB }

// machine offers the events of a cluster to rapid, which draws them in any order.
type machine struct{ c *cluster }

func (m *machine) flight(t *rapid.T) *flight {
	if len(m.c.flights) == 0 {
		t.Skip("nothing in flight")
	}
	return rapid.SampledFrom(m.c.flights).Draw(t, "flight")
}

func (m *machine) host(t *rapid.T) int { return rapid.IntRange(0, simHosts-1).Draw(t, "host") }

func (m *machine) actions() map[string]func(*rapid.T) {
	late := func(t *rapid.T) bool { return rapid.Bool().Draw(t, "late") }
	some := func(t *rapid.T) int { return rapid.IntRange(1, 3).Draw(t, "n") }
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
			_, _ = m.c.arrive(m.host(t), key, rapid.Bool().Draw(t, "routed"))
		},
		"advance":  func(t *rapid.T) { m.c.advance(m.flight(t)) },
		"advance2": func(t *rapid.T) { m.c.advance(m.flight(t)) },
		"break": func(t *rapid.T) {
			f := m.flight(t)
			if f.stage == granted {
				t.Skip("not sent yet")
			}
			m.c.breakConnection(f, late(t))
		},
		"kill":           func(t *rapid.T) { m.c.kill(m.host(t), late(t)) },
		"engine restart": func(*rapid.T) { m.c.engine.restart() },
		"table outage":   func(*rapid.T) { m.c.table.set(func(f *faults) { f.down = !f.down }) },
		"lose answers":   func(t *rapid.T) { n := some(t); m.c.table.set(func(f *faults) { f.loseAnswers = n }) },
		"lose commits":   func(t *rapid.T) { n := some(t); m.c.table.set(func(f *faults) { f.dropCommits = n }) },
		"forget ids":     func(*rapid.T) { m.c.table.set(func(f *faults) { f.forgetOpIDs = !f.forgetOpIDs }) },
		"drain":          func(t *rapid.T) { m.c.drain(m.host(t)) },
		"pass time": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		},
	}
}

// Whatever happens in whatever order, no key is executed twice, nobody gets a false
// "not run", and every answer is that of the one execution.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for _, b := range []struct {
		name string
		make func() backend
	}{
		{"rows", func() backend { return rows }},
		{"batched", func() backend { return batched }},
		{"ranges", func() backend { return newRangeCluster().host }},
	} {
		t.Run(b.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rapid.Check(noDeadline{t}, func(t *rapid.T) {
					m := &machine{newCluster(simHosts, b.make())}
					m.c.skew = time.Duration(rapid.IntRange(0, 20).Draw(t, "skew")) * time.Second
					defer m.c.stop()
					t.Repeat(m.actions())
					m.converge(t)
					assert.NilError(t, history.Check(m.c.hist))
					n := m.c.hist.Count()
					assert.Equal(t, n.Duplicated+n.Truncated+n.Mismatched+n.FalseNotRun+n.Lost, 0, "%+v", n)
				})
			})
		})
	}
}

// converge ends all faults and all flights, and then requests each key once more: no
// key may stay "in progress" for ever.
func (m *machine) converge(t *rapid.T) {
	m.c.table.set(func(f *faults) { *f = faults{} })
	for len(m.c.flights) > 0 {
		m.c.advance(m.c.flights[0])
	}
	m.c.startHost(0) // takes the range over, where there is one
	for h := range simHosts {
		m.c.drain(h)
	}
	// A claim written under a fast clock is overdue later by the clock's error.
	time.Sleep(2*simDeadline + simHosts*m.c.skew)
	for k := range 3 {
		f, err := m.c.arrive(0, fmt.Sprint("k", k), true)
		if err != nil {
			assert.Equal(t, fault.From(fault.StepClaim, err).Code, fault.CodeOutcomeUnknown)
		}
		for f != nil && len(m.c.flights) > 0 {
			m.c.advance(f)
		}
	}
}

// inBubble runs a test in a synctest bubble, on a cluster of two hosts.
func inBubble(t *testing.T, run func(*cluster)) {
	synctest.Test(t, func(*testing.T) { run(newCluster(2, rows)) })
}

func code(err error) fault.Code { return fault.From(fault.StepClaim, err).Code }

// Guards against a request that runs twice. The first host is killed between the
// claim and the dispatch, and the caller repeats the request through another. That
// host must neither run it at once nor refuse it for ever: it asks the engine, which
// never saw the attempt and refuses it from then on.
func TestKilledBetweenClaimAndDispatchRunsOnce(t *testing.T) {
	inBubble(t, func(c *cluster) {
		first, err := c.arrive(0, "k", true)
		assert.NilError(t, err)
		c.kill(0, false)
		_, err = c.arrive(1, "k", true)
		assert.Equal(t, code(err), fault.CodeInProgress)
		time.Sleep(2 * simDeadline)
		second, err := c.arrive(1, "k", true)
		assert.NilError(t, err)
		assert.Assert(t, !c.engine.arrive(first), "the late attempt must be refused")
		c.advance(second)
		c.advance(second)
		c.advance(second)
		assert.NilError(t, history.Check(c.hist))
	})
}

// Guards against a repeat that is answered "unknown" although the engine has the
// answer: the host dies after the dispatch, and the attempt completes without it.
func TestKilledAfterDispatchIsReplayed(t *testing.T) {
	inBubble(t, func(c *cluster) {
		f, err := c.arrive(0, "k", true)
		assert.NilError(t, err)
		c.advance(f)
		c.kill(0, true)
		time.Sleep(2 * simDeadline)
		again, err := c.arrive(1, "k", true)
		assert.NilError(t, err)
		assert.Assert(t, again == nil, "replayed, not run")
		assert.Equal(t, c.hist.Count().Completed, 1)
	})
}

// Guards against a request that runs twice after an engine restart: the attempt ran,
// its host died, and the restarted engine reports it as unseen.
func TestEngineRestartLeavesUnknown(t *testing.T) {
	inBubble(t, func(c *cluster) {
		f, err := c.arrive(0, "k", true)
		assert.NilError(t, err)
		c.advance(f)
		c.kill(0, true)
		c.engine.restart()
		time.Sleep(2 * simDeadline)
		_, err = c.arrive(1, "k", true)
		assert.Equal(t, code(err), fault.CodeOutcomeUnknown)
		assert.Equal(t, fault.From(fault.StepClaim, err).Outcome, outcome.Unknown)
	})
}

// Guards against callers that wait for a refusal during a table outage. Before the
// claim they must be refused at once; after the answer they must not notice the
// outage, and the outcome is written when the table is back.
func TestTableOutageRefusesAtOnce(t *testing.T) {
	inBubble(t, func(c *cluster) {
		f, err := c.arrive(0, "k", true)
		assert.NilError(t, err)
		c.advance(f)
		c.advance(f)
		c.table.set(func(f *faults) { f.down = true })
		c.advance(f) // the caller has its answer; the outcome is queued
		start := time.Now()
		_, err = c.arrive(1, "other", true)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, code(err), fault.CodeStoreUnavailable)
		assert.Equal(t, fault.From(fault.StepClaim, err).Outcome, outcome.NotRun)
		pending, _ := c.hosts[0].Pending()
		assert.Equal(t, pending, 1)
		c.table.set(func(f *faults) { f.down = false })
		c.drain(0)
		again, err := c.arrive(1, "k", true)
		assert.NilError(t, err)
		assert.Assert(t, again == nil)
		assert.Equal(t, c.hist.Count().Completed, 2)
	})
}

// Guards against two hosts that run one request because their clocks differ. By the
// second host's clock the first one's claim, which has no route yet, is long overdue;
// by its own it has time left. The write before the dispatch decides.
func TestDifferingClocksRunOnce(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.skew = time.Minute
		slow, err := c.arrive(0, "k", false)
		assert.NilError(t, err)
		other, err := c.arrive(1, "k", true)
		assert.NilError(t, err)
		c.advance(slow)
		assert.Assert(t, slow.stage == granted, "must not be sent")
		c.advance(other)
		c.advance(other)
		assert.NilError(t, history.Check(c.hist))
	})
}

// Guards against a host that dispatches long after its request's deadline, when the
// upstream no longer knows that it reported the attempt as unseen.
func TestPausedPastTheDeadlineDoesNotDispatch(t *testing.T) {
	inBubble(t, func(c *cluster) {
		f, err := c.arrive(0, "k", true)
		assert.NilError(t, err)
		time.Sleep(2 * simDeadline)
		err = f.grant.RecordDispatch(context.Background(), f.route, f.deadline)
		assert.Equal(t, code(err), fault.CodeDeadlineExceeded)
	})
}

// Guards against a key that is released by an answer about another attempt.
func TestMismatchedAttemptResolvesNothing(t *testing.T) {
	inBubble(t, func(c *cluster) {
		f, err := c.arrive(0, "k", true)
		assert.NilError(t, err)
		c.advance(f)
		c.kill(0, true)
		c.mismatched = true
		time.Sleep(2 * simDeadline)
		_, err = c.arrive(1, "k", true)
		assert.Equal(t, code(err), fault.CodeOutcomeUnknown)
	})
}

// Guards against a batch that overwrites a claim which another host wrote between the
// batcher's read and its commit. Only the change of that claim must fail.
func TestBatchLosesARace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, batched)
		defer c.stop()
		c.table.afterGet = func() {
			_, err := nodeclaim.NewRows(c.table.Table).Swap(context.Background(), claim.Key("north", "k"), store.Absent,
				&claim.Row{ID: "other", Op: "other", BodyHash: "b", State: claim.Dispatched, ExpiresMs: math.MaxInt64, OverdueMs: math.MaxInt64})
			assert.NilError(t, err)
		}
		_, err := c.arrive(0, "k", true)
		assert.Equal(t, code(err), fault.CodeInProgress)
	})
}

// Guards against a paused host that resumes and runs a request which another host ran
// meanwhile: the paused one's claim had no route yet, so the other took it over.
func TestPausedOwnerDoesNotRunAfterTakeover(t *testing.T) {
	inBubble(t, func(c *cluster) {
		paused, err := c.arrive(0, "k", false)
		assert.NilError(t, err)
		paused.deadline = time.Now().Add(time.Hour)
		time.Sleep(2 * simDeadline)
		other, err := c.arrive(1, "k", true)
		assert.NilError(t, err)
		c.advance(paused)
		assert.Assert(t, paused.stage == granted, "must not be sent")
		c.advance(other)
		c.advance(other)
		assert.NilError(t, history.Check(c.hist))
		assert.Equal(t, c.hist.Count().Duplicated, 0)
	})
}

// Guards against a caller that is told "in progress" of a request that nobody runs.
// The answer to the claim's write is lost, and the table service no longer knows the
// operation id when the write is sent again: the host's own claim looks like a
// conflict.
func TestOwnClaimIsKnownAfterIDsWereForgotten(t *testing.T) {
	inBubble(t, func(c *cluster) {
		for range 2 { // the claim's own write, and the write before the dispatch
			c.table.set(func(f *faults) { f.loseAnswers, f.forgetOpIDs = 1, true })
			if len(c.flights) == 0 {
				_, err := c.arrive(0, "k", false)
				assert.NilError(t, err)
				continue
			}
			c.advance(c.flights[0])
		}
		assert.Assert(t, len(c.flights) == 1 && c.flights[0].stage == sent)
	})
}

func TestKeyReusedWithAnotherBody(t *testing.T) {
	inBubble(t, func(c *cluster) {
		_, err := c.arrive(0, "k", true)
		assert.NilError(t, err)
		_, _, err = c.hosts[1].Claim(context.Background(), otherBody("k"))
		assert.Equal(t, code(err), fault.CodeIdempotencyKeyReused)
	})
}

// With one safeguard removed from the hosts' use of the table, the records of callers
// and engine must show the fault.
func TestCheckerCatchesMutants(t *testing.T) {
	claimTwice := func(c *cluster) {
		for h := range 2 {
			if f, err := c.arrive(h, "k", true); err == nil && f != nil {
				c.advance(f)
				c.advance(f)
			}
		}
	}
	for _, m := range []struct {
		name   string
		mutant func(store.Table) store.Table
		run    func(*cluster)
		caught func(*cluster) bool
	}{
		{"no condition on the claim", func(tb store.Table) store.Table { return &mutant{Table: tb, noConds: true} },
			claimTwice, func(c *cluster) bool { return history.Check(c.hist) != nil && c.hist.Count().Duplicated == 1 }},
		{"lost answer treated as success", func(tb store.Table) store.Table { return &mutant{Table: tb, unconfirmedAsSuccess: true} },
			func(c *cluster) { c.table.set(func(f *faults) { f.dropCommits = 2 }); claimTwice(c) },
			func(c *cluster) bool { return history.Check(c.hist) != nil && c.hist.Count().Duplicated == 1 }},
		{"lost answer treated as failure", func(tb store.Table) store.Table {
			return &mutant{Table: tb, unconfirmedAs: store.ErrUnavailable}
		}, func(c *cluster) { c.table.set(func(f *faults) { f.loseAnswers = 1 }); claimTwice(c) },
			func(c *cluster) bool { return c.hist.Count().FalseInProgress == 1 }},
	} {
		t.Run(m.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(2, mutated(m.mutant))
				m.run(c)
				assert.Assert(t, m.caught(c), "%+v", c.hist.Count())
				sound := newCluster(2, rows)
				m.run(sound)
				assert.NilError(t, history.Check(sound.hist))
				n := sound.hist.Count()
				assert.Equal(t, n.Duplicated+n.FalseInProgress, 0)
			})
		})
	}
}
