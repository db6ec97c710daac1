package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	decide "peridotpier.example/core/lease"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// act is one act of a holder on a target that checks fencing numbers.
type act struct {
	holder string
	epoch  uint64
}

// fenced is a target that refuses acts under an old epoch, as the model sees
// it: an accepted act is by the one holder of the newest epoch.
var fenced = porcupine.Model{
	Init: func() any { return act{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(act), input.(act)
		if !output.(bool) {
			return in.epoch < s.epoch, s
		}
		return in.epoch > s.epoch || in == s, in
	},
}

// gate stops a paused process: its calls and acts wait until it goes on.
type gate struct {
	mu     sync.Mutex
	paused bool
	wake   chan struct{}
}

func (g *gate) set(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == paused {
		return
	}
	if g.paused = paused; paused {
		g.wake = make(chan struct{})
	} else {
		close(g.wake)
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	wake, paused := g.wake, g.paused
	g.mu.Unlock()
	if paused {
		<-wake
	}
}

type gatedTable struct {
	store.Table
	gate *gate
}

func (t gatedTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	t.gate.pass()
	v, err := t.Table.Commit(ctx, txn)
	t.gate.pass()
	return v, err
}

func (t gatedTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	t.gate.pass()
	rows, err := t.Table.Get(ctx, keys...)
	t.gate.pass()
	return rows, err
}

// history is what happened in one run.
type history struct {
	mu      sync.Mutex
	fence   uint64 // of the target that checks
	checked []porcupine.Operation
	bare    []act // on a target that ignores fencing, in order, without a pause between check and act
}

func (h *history) actFenced(client int, a act, called int64, now func() int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok := a.epoch >= h.fence
	h.fence = max(h.fence, a.epoch)
	h.checked = append(h.checked, porcupine.Operation{ClientId: client, Input: a, Output: ok, Call: called, Return: now()})
}

// script is one run: faults of the table and pauses of processes.
type script struct {
	seed   uint64
	faults standin.Settings
	skew   float64
	pauses []pauseAt
	outage time.Duration // one, in the middle
}

type pauseAt struct {
	node     int
	at, last time.Duration
}

const (
	processes = 3
	runFor    = 2 * time.Minute
	actEvery  = 300 * time.Millisecond
)

var policy = decide.Policy{TTL: 6 * time.Second, Margin: 100 * time.Millisecond, ClockRate: 0.01}

func run(t *testing.T, s script) *history {
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		nanos := func() int64 { return int64(time.Since(start)) }
		tb := standin.NewTableWith(standin.NewFaults(s.seed, nil))
		tb.Faults.Set(s.faults)
		ctx, cancel := context.WithTimeout(t.Context(), runFor)
		defer cancel()
		var wg sync.WaitGroup
		gates := make([]*gate, processes)
		for i := range processes {
			gates[i] = &gate{}
			rng := rand.New(rand.NewPCG(s.seed, uint64(i)))
			rate := 1 + s.skew*float64(i-1)
			now := func() time.Time { return start.Add(time.Duration(float64(time.Since(start)) * rate)) }
			name := fmt.Sprint("p", i)
			l := lease.New(lease.Config{Name: "r", Holder: name, Policy: policy},
				lease.Deps{Table: gatedTable{tb, gates[i]}, Now: now, Rand: rng.Float64})
			wg.Go(func() { _ = l.Run(ctx) })
			wg.Go(func() { actAll(ctx, l, gates[i], h, i, name, nanos) })
		}
		for _, p := range s.pauses {
			time.AfterFunc(p.at, func() { gates[p.node].set(true) })
			time.AfterFunc(p.at+p.last, func() { gates[p.node].set(false) })
		}
		if s.outage > 0 {
			time.AfterFunc(runFor/3, func() { tb.Faults.StartOutage(s.outage) })
		}
		wg.Wait()
		for _, g := range gates {
			g.set(false)
		}
		tb.WaitLateEffects()
	})
	return h
}

func actAll(ctx context.Context, l *lease.Lease, g *gate, h *history, client int, name string, nanos func() int64) {
	for ctx.Err() == nil {
		time.Sleep(actEvery)
		g.pass()
		term, ok := l.Term()
		if !ok {
			continue
		}
		a := act{name, term.Epoch}
		h.mu.Lock()
		if l.Check(term.Epoch, 0) == nil {
			h.bare = append(h.bare, a)
		}
		h.mu.Unlock()
		called := nanos()
		time.Sleep(actEvery) // between decision and act, where a pause may fall
		g.pass()
		h.actFenced(client, a, called, nanos)
	}
}

func verify(h *history) error {
	holders, last := map[uint64]string{}, uint64(0)
	for _, a := range h.bare {
		if by, ok := holders[a.epoch]; ok && by != a.holder {
			return fmt.Errorf("%s and %s both acted in epoch %d", by, a.holder, a.epoch)
		}
		if a.epoch < last {
			return fmt.Errorf("%s acted in epoch %d after an act in epoch %d", a.holder, a.epoch, last)
		}
		holders[a.epoch], last = a.holder, a.epoch
	}
	if !porcupine.CheckOperations(fenced, h.checked) {
		return fmt.Errorf("the history of %d fenced acts has two holders in one epoch", len(h.checked))
	}
	return nil
}

// Symptom: two planners order one upstream at once. Sequence: pauses longer
// than the lease at any point, lost and late answers, an outage, clocks at
// the bound of their rate. Cause: authority taken from an old check.
func TestNoTwoHoldersActInOneEpoch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.1, 0.3})
		s := script{
			seed: rapid.Uint64().Draw(rt, "seed"),
			faults: standin.Settings{LostAnswers: share.Draw(rt, "lost answers"), LostRequests: share.Draw(rt, "lost requests"),
				LateEffects: share.Draw(rt, "late effects"), LateEffectDelay: time.Duration(rapid.SampledFrom([]int{10, 3000, 15000}).Draw(rt, "late ms")) * time.Millisecond,
				Delay: time.Duration(rapid.SampledFrom([]int{0, 5, 300, 1500}).Draw(rt, "delay ms")) * time.Millisecond},
			skew:   rapid.SampledFrom([]float64{-0.0099, 0, 0.0099}).Draw(rt, "skew"),
			outage: time.Duration(rapid.IntRange(0, 30).Draw(rt, "outage s")) * time.Second,
		}
		// Rapid prefers small numbers; pauses must fall anywhere and outlast the lease.
		rng := rand.New(rand.NewPCG(s.seed, 0))
		for range rapid.IntRange(0, 12).Draw(rt, "pauses") {
			s.pauses = append(s.pauses, pauseAt{rng.IntN(processes),
				time.Duration(rng.Int64N(int64(runFor))), time.Duration(rng.Int64N(int64(3 * policy.TTL)))})
		}
		if err := verify(run(t, s)); err != nil {
			rt.Fatal(err)
		}
	})
}

// Symptom: after a store outage the role stays empty, or both act. Sequence:
// the holder cannot renew for longer than its lease. Cause: a holder that
// goes on, or candidates that never try again.
func TestRoleFollowsOutageAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		ctxA, stopA := context.WithCancel(t.Context())
		a := lease.New(lease.Config{Name: "r", Holder: "a", Policy: policy}, lease.Deps{Table: tb})
		b := lease.New(lease.Config{Name: "r", Holder: "b", Policy: policy}, lease.Deps{Table: tb})
		var wg sync.WaitGroup
		wg.Go(func() { _ = a.Run(ctxA) })
		synctest.Wait()
		first, ok := a.Term()
		assert.Assert(t, ok)
		ctxB, stopB := context.WithCancel(t.Context())
		wg.Go(func() { _ = b.Run(ctxB) })
		time.Sleep(30 * time.Second)
		_, ok = b.Term()
		assert.Assert(t, !ok, "a renewed lease is not taken")

		tb.Faults.StartOutage(time.Minute)
		time.Sleep(policy.TTL)
		assert.ErrorIs(t, a.Check(first.Epoch, 0), lease.ErrNotHeld)
		time.Sleep(time.Minute + 2*policy.TTL)
		_, okA := a.Term()
		_, okB := b.Term()
		assert.Assert(t, okA != okB, "one holder after the outage")
		_, err := tb.Commit(t.Context(), store.Txn{Op: "x", Conds: []store.Cond{first.Guard}})
		assert.ErrorIs(t, err, store.ErrConflict, "a write under the old term is refused")

		// Hand-over: the successor acts within a poll, not after the full TTL.
		stopA()
		time.Sleep(policy.TTL / 2)
		_, okB = b.Term()
		assert.Assert(t, okB)
		stopB()
		wg.Wait()
	})
}

// Symptom: nobody gives orders for five seconds after a loss of all hosts.
// Sequence: the holder's process is killed and starts again a second later.
// Cause: it waits for the time of its own former process to run out.
func TestAFormerProcessOfTheSameHostIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		g := &gate{}
		ctx, kill := context.WithCancel(t.Context())
		former := lease.New(lease.Config{Name: "r", Holder: "host old", Policy: policy}, lease.Deps{Table: gatedTable{tb, g}})
		var wg sync.WaitGroup
		wg.Go(func() { _ = former.Run(ctx) })
		synctest.Wait()
		before, ok := former.Term()
		assert.Assert(t, ok)
		g.set(true) // as a killed process, it writes no more

		start := time.Now()
		ctxNew, stop := context.WithCancel(t.Context())
		ended := func(holder string) bool { return holder == "host old" }
		next := lease.New(lease.Config{Name: "r", Holder: "host new", Policy: policy, HasTerminated: ended}, lease.Deps{Table: tb})
		wg.Go(func() { _ = next.Run(ctxNew) })
		synctest.Wait()
		term, ok := next.Term()
		assert.Assert(t, ok && term.Epoch == before.Epoch+1 && time.Since(start) < time.Second)
		kill()
		g.set(false)
		stop()
		wg.Wait()
	})
}

// Symptom: all hosts decide by themselves, and ask the store, while it is away.
// Sequence: the holder cannot renew; nobody else can take the lease either.
// Cause: nobody knows that it held the lease last.
func TestALeaseThatRanOutIsTheLastHoldersUntilItIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		g := &gate{}
		ctx, stop := context.WithCancel(t.Context())
		a := lease.New(lease.Config{Name: "r", Holder: "a", Policy: policy}, lease.Deps{Table: gatedTable{tb, g}})
		var wg sync.WaitGroup
		wg.Go(func() { _ = a.Run(ctx) })
		synctest.Wait()
		assert.Assert(t, !a.Lapsed(), "it is held")
		tb.Faults.StartOutage(3 * policy.TTL)
		time.Sleep(2 * policy.TTL)
		_, ok := a.Term()
		assert.Assert(t, !ok && a.Lapsed())
		g.set(true) // cut off while the store returns for others
		time.Sleep(2 * policy.TTL)
		ctxB, stopB := context.WithCancel(t.Context())
		b := lease.New(lease.Config{Name: "r", Holder: "b", Policy: policy}, lease.Deps{Table: tb})
		wg.Go(func() { _ = b.Run(ctxB) })
		time.Sleep(3 * policy.TTL)
		_, ok = b.Term()
		assert.Assert(t, ok)
		g.set(false)
		time.Sleep(policy.TTL)
		_, ok = a.Term()
		assert.Assert(t, !ok && !a.Lapsed(), "it has seen that another took it")
		stop()
		stopB()
		wg.Wait()
	})
}
