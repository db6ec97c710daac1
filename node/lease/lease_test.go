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
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	decide "peridotpier.example/core/lease"
	"peridotpier.example/node/event"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// act is one action of a holder on a target that checks fencing numbers.
type act struct {
	holder string
	epoch  uint64
}

// fencedTarget is the model of a target that refuses actions of earlier epochs:
// an accepted action belongs to the one holder of the highest epoch so far.
var fencedTarget = porcupine.Model{
	Init: func() any { return act{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(act), input.(act)
		if !output.(bool) {
			return in.epoch < s.epoch, s
		}
		return in.epoch > s.epoch || in == s, in
	},
}

// gate simulates a paused process: its calls and actions block until it resumes.
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

// history records the actions of one run.
type history struct {
	mu       sync.Mutex
	fence    uint64 // highest epoch that the fenced target accepted
	fenced   []porcupine.Operation
	unfenced []act // on a target that ignores fencing, in order, without a pause between check and action
}

func (h *history) actFenced(client int, a act, called int64, now func() int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok := a.epoch >= h.fence
	h.fence = max(h.fence, a.epoch)
	h.fenced = append(h.fenced, porcupine.Operation{ClientId: client, Input: a, Output: ok, Call: called, Return: now()})
}

// script describes one run: faults of the table and pauses of processes.
type script struct {
	seed   uint64
	faults standin.Settings
	skew   float64
	pauses []pauseAt
	outage time.Duration // of the table, once in the run
	// restores are the times at which the table is restored from a copy, of age behind.
	restores []time.Duration
	behind   time.Duration
}

type pauseAt struct {
	node         int
	at, duration time.Duration
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
				lease.Deps{Table: gatedTable{tb, gates[i]}, Era: tb.Era, Now: now, Rand: rng.Float64})
			wg.Go(func() { _ = l.Run(ctx) })
			wg.Go(func() { actAll(ctx, l, gates[i], h, i, name, nanos) })
		}
		for _, p := range s.pauses {
			time.AfterFunc(p.at, func() { gates[p.node].set(true) })
			time.AfterFunc(p.at+p.duration, func() { gates[p.node].set(false) })
		}
		for _, at := range s.restores {
			time.AfterFunc(max(at-s.behind, 0), func() {
				copied := tb.Copy()
				time.AfterFunc(s.behind, func() { tb.Restore(copied) })
			})
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
			h.unfenced = append(h.unfenced, a)
		}
		h.mu.Unlock()
		called := nanos()
		time.Sleep(actEvery) // a pause may occur here, between the decision and the action
		g.pass()
		h.actFenced(client, a, called, nanos)
	}
}

func verify(h *history) error {
	holders, last := map[uint64]string{}, uint64(0)
	for _, a := range h.unfenced {
		if by, ok := holders[a.epoch]; ok && by != a.holder {
			return fmt.Errorf("%s and %s both acted in epoch %d", by, a.holder, a.epoch)
		}
		if a.epoch < last {
			return fmt.Errorf("%s acted in epoch %d after an act in epoch %d", a.holder, a.epoch, last)
		}
		holders[a.epoch], last = a.holder, a.epoch
	}
	if !porcupine.CheckOperations(fencedTarget, h.fenced) {
		return fmt.Errorf("the history of %d fenced actions has two holders in one epoch", len(h.fenced))
	}
	return nil
}

// Symptom: two planners send orders to one upstream at the same time. Sequence:
// processes are paused for longer than the lease at any point, responses are
// lost or late, the store has an outage, and clocks run at the bound of their
// rate. Cause: a process relies on a check that it made before a pause.
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
		// Rapid prefers small numbers, but pauses must occur at any time and
		// outlast the lease.
		rng := rand.New(rand.NewPCG(s.seed, 0))
		for range rapid.IntRange(0, 12).Draw(rt, "pauses") {
			s.pauses = append(s.pauses, pauseAt{rng.IntN(processes),
				time.Duration(rng.Int64N(int64(runFor))), time.Duration(rng.Int64N(int64(3 * policy.TTL)))})
		}
		s.behind = time.Duration(rapid.IntRange(0, 20).Draw(rt, "restored behind s")) * time.Second
		for range rapid.IntRange(0, 3).Draw(rt, "restores") {
			s.restores = append(s.restores, time.Duration(rng.Int64N(int64(runFor))))
		}
		if err := verify(run(t, s)); err != nil {
			rt.Fatal(err)
		}
	})
}

// Symptom: after a store outage the role has no holder, or two processes act.
// Sequence: the holder cannot renew for longer than its lease. Cause: the holder
// continues to act, or candidates do not try again.
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
		assert.Assert(t, !ok, "a renewed lease is not acquired")

		tb.Faults.StartOutage(time.Minute)
		time.Sleep(policy.TTL)
		assert.ErrorIs(t, a.Check(first.Epoch, 0), lease.ErrNotHeld)
		time.Sleep(time.Minute + 2*policy.TTL)
		_, okA := a.Term()
		_, okB := b.Term()
		assert.Assert(t, okA != okB, "one holder after the outage")
		_, err := tb.Commit(t.Context(), store.Txn{Op: "x", Conds: []store.Cond{first.Guard}})
		assert.ErrorIs(t, err, store.ErrConflict, "a write under the old term is refused")

		// After a release the successor acts within a poll, not after the full TTL.
		stopA()
		time.Sleep(policy.TTL / 2)
		_, okB = b.Term()
		assert.Assert(t, okB)
		stopB()
		wg.Wait()
	})
}

// Guards against a fencing number that is used again: a grant row whose value the store
// cannot return, or that has no epoch, is taken for that of a lease that was never held.
func TestAGrantWithoutAnEpochIsNotTakenOver(t *testing.T) {
	for _, value := range []string{"", "null", "{}", "7x"} {
		synctest.Test(t, func(t *testing.T) {
			tb := standin.NewTable()
			row := store.Write{Key: lease.Prefix + "r", Value: []byte(value)}
			_, err := tb.Commit(t.Context(), store.Txn{Op: "w", Writes: []store.Write{row}})
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			l := lease.New(lease.Config{Name: "r", Holder: "a", Policy: policy}, lease.Deps{Table: tb})
			assert.ErrorIs(t, l.Run(ctx), context.DeadlineExceeded)
			rows, err := tb.Get(t.Context(), row.Key)
			assert.NilError(t, err)
			assert.Equal(t, string(rows[0].Value), value, "nobody has overwritten it")
		})
	}
}

// Guards against a log of nothing but one lease that nobody can take, and against a role
// without a holder after its row was mended.
func TestACorruptRecordIsToldOnceAMinuteUntilItIsMended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		write := func(op, value string) {
			_, err := tb.Commit(t.Context(), store.Txn{Op: op, Writes: []store.Write{{Key: lease.Prefix + "r", Value: []byte(value)}}})
			assert.NilError(t, err)
		}
		write("damage", "{}")
		core, lines := observer.New(zap.DebugLevel)
		l := lease.New(lease.Config{Name: "r", Holder: "a", Policy: policy}, lease.Deps{Table: tb, Log: event.NewLog(zap.New(core))})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
		defer cancel()
		time.AfterFunc(150*time.Second, func() { write("mend", `{"holder":"","epoch":7}`) })
		time.AfterFunc(160*time.Second, func() {
			term, held := l.Term()
			assert.Check(t, held)
			assert.Check(t, term.Follows(7))
		})
		assert.ErrorIs(t, l.Run(ctx), context.DeadlineExceeded)
		corrupt := lines.FilterMessage(event.LeaseRecordCorrupt.Name).Len()
		assert.Equal(t, corrupt, 3, "in two and a half minutes")
	})
}

// Symptom: nobody gives orders for five seconds after all hosts were lost.
// Sequence: the holder's process is killed and starts again a second later.
// Cause: it waits for the lease of its own former process to expire.
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
		g.set(true) // like a killed process, it writes nothing more

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

// Guards against a process that does not know whether its host's former one still had to wait, and
// against one that waits for nothing.
func TestASuccessorOnTheSameHostLearnsWhetherItsFormerProcessWasSettled(t *testing.T) {
	for _, settled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			tb := standin.NewTable()
			first := startProcess(t, tb, "host 1", "", settled)
			time.Sleep(policy.TTL) // it renews
			first.kill()
			for n, former := 2, "host 1"; n < 4; n++ { // each is killed before it renews
				next := startProcess(t, tb, fmt.Sprint("host ", n), former, false)
				synctest.Wait()
				assert.Equal(t, next.term(t).PreviousSettled, settled)
				next.kill()
				former = fmt.Sprint("host ", n)
			}
			other := startProcess(t, tb, "other", "", false)
			time.Sleep(2 * policy.TTL)
			assert.Assert(t, !other.term(t).PreviousSettled, "that was another host")
			other.kill()
		})
	}
}

// process is a process that takes part in a lease until it is killed.
type process struct {
	*lease.Lease
	gate  *gate
	stop  context.CancelFunc
	ended chan struct{}
}

// startProcess starts one, whose host's former process was the holder former, if any.
func startProcess(t *testing.T, tb store.Table, holder, former string, settled bool) *process {
	ctx, stop := context.WithCancel(t.Context())
	p := &process{gate: &gate{}, stop: stop, ended: make(chan struct{})}
	p.Lease = lease.New(lease.Config{Name: "r", Holder: holder, Policy: policy, HasTerminated: func(h string) bool { return former != "" && h == former }},
		lease.Deps{Table: gatedTable{tb, p.gate}, Settled: func(uint64) bool { return settled }})
	go func() { defer close(p.ended); _ = p.Run(ctx) }()
	return p
}

func (p *process) term(t *testing.T) lease.Term {
	t.Helper()
	term, ok := p.Term()
	assert.Assert(t, ok)
	return term
}

// kill ends the process without a word: what it still writes fails.
func (p *process) kill() {
	p.gate.set(true)
	p.stop()
	time.Sleep(time.Minute) // the time of its release
	p.gate.set(false)
	<-p.ended
}

// Symptom: during a store outage all hosts decide by themselves and query the
// store. Sequence: the holder cannot renew, and nobody else can acquire the
// lease. Cause: the last holder does not know that it was the last holder.
func TestALapsedLeaseBelongsToItsLastHolderUntilItIsAcquired(t *testing.T) {
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
		g.set(true) // disconnected from the store while it recovers for others
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
		assert.Assert(t, !ok && !a.Lapsed(), "it has observed that another process acquired it")
		stop()
		stopB()
		wg.Wait()
	})
}

// Guards against a role without a holder, or orders under an epoch that was used before,
// after the store was restored and has forgotten the holder.
func TestAHolderThatARestoredStoreHasForgottenGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		empty := tb.Copy()
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		start := func(name string) *lease.Lease {
			l := lease.New(lease.Config{Name: "r", Holder: name, Policy: policy}, lease.Deps{Table: tb, Era: tb.Era})
			wg.Go(func() { _ = l.Run(ctx) })
			synctest.Wait()
			return l
		}
		a := start("a")
		before, ok := a.Term()
		assert.Assert(t, ok)
		tb.Restore(empty)
		b := start("b")
		for end := time.Now().Add(3 * policy.TTL); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			_, ok := a.Term()
			assert.Assert(t, ok, "its term had not expired")
			_, ok = b.Term()
			assert.Assert(t, !ok)
		}
		after, _ := a.Term()
		assert.Assert(t, after.Epoch > before.Epoch+1, "higher than any that the store gave out and has forgotten")
		assert.Equal(t, after.Previous, before.Epoch)
		assert.Assert(t, !after.PreviousUnknown)
		stop()
		wg.Wait()
	})
}

// Guards against two holders at once: a store that has forgotten the holder shows a free
// lease, which a process that has just started would acquire at once.
func TestAForgottenHolderIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		empty := tb.Copy()
		g := &gate{}
		ctx, stop := context.WithCancel(t.Context())
		a := lease.New(lease.Config{Name: "r", Holder: "a", Policy: policy}, lease.Deps{Table: gatedTable{tb, g}, Era: tb.Era})
		b := lease.New(lease.Config{Name: "r", Holder: "b", Policy: policy}, lease.Deps{Table: tb, Era: tb.Era})
		var wg sync.WaitGroup
		wg.Go(func() { _ = a.Run(ctx) })
		synctest.Wait()
		first, ok := a.Term()
		assert.Assert(t, ok)
		g.set(true) // cut off from the store
		tb.Restore(empty)
		wg.Go(func() { _ = b.Run(ctx) })
		for a.Check(first.Epoch, 0) == nil {
			_, ok := b.Term()
			assert.Assert(t, !ok, "the former holder may still act")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(policy.TTL / 2)
		next, ok := b.Term()
		assert.Assert(t, ok && next.PreviousUnknown && next.Epoch > first.Epoch)
		g.set(false)
		stop()
		wg.Wait()
	})
}

// Guards against an epoch that is used twice: a grant that was sent before a restore takes
// effect after it, on a grant that got the same version again, and hides its epoch.
func TestALateGrantOfAnEarlierEraChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		empty := tb.Copy()
		late := decide.Record{Holder: "c", Epoch: 2, TTLMs: policy.TTL.Milliseconds()}
		at, err := tb.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "lease/r"}, {Key: "lease/r/beat"}}})
		assert.NilError(t, err)
		tb.Faults.Set(standin.Settings{LateEffects: 1, LateEffectDelay: 7 * time.Second})
		_, err = tb.Commit(t.Context(), store.Txn{Conds: []store.Cond{{Key: "lease/r", Version: at}, {Key: "lease/r/beat", Version: at}},
			Writes: []store.Write{{Key: "lease/r", Value: late.Encode()}, {Key: "lease/r/beat"}}})
		assert.ErrorIs(t, err, store.ErrUnconfirmed)
		tb.Faults.Set(standin.Settings{})
		tb.Restore(empty)
		ctx, stop := context.WithCancel(t.Context())
		l := lease.New(lease.Config{Name: "r", Holder: "a", Policy: policy}, lease.Deps{Table: tb, Era: tb.Era})
		var wg sync.WaitGroup
		wg.Go(func() { _ = l.Run(ctx) })
		time.Sleep(6500 * time.Millisecond)
		term, ok := l.Term()
		assert.Assert(t, ok)
		for end := time.Now().Add(3 * policy.TTL); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			now, ok := l.Term()
			assert.Assert(t, ok && now.Epoch == term.Epoch)
		}
		stop()
		wg.Wait()
		tb.WaitLateEffects()
	})
}
