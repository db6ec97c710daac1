package lease_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/lease"
)

var policy = lease.Policy{TTL: 9 * time.Second, Margin: 100 * time.Millisecond, ClockRate: 0.01}

func TestDecisions(t *testing.T) {
	t0 := time.Unix(1000, 0)
	held := lease.Held{Record: lease.Record{Holder: "a", Epoch: 3, TTLMs: 9000}, TTLStart: t0}
	for _, c := range []struct {
		after time.Duration
		want  lease.Action
	}{{0, lease.Wait}, {3 * time.Second, lease.Renew}, {8800 * time.Millisecond, lease.Renew}, {8810 * time.Millisecond, lease.StepDown}} {
		assert.Equal(t, policy.DecideForHolder(held, 0, t0.Add(c.after)).Action, c.want, "%v", c.after)
	}
	seen := lease.Observed{}.Observe(lease.Rows{Grant: 1, Heartbeat: 1}, held.Record, 0, t0)
	seen = seen.Observe(lease.Rows{Grant: 1, Heartbeat: 1}, held.Record, 0, t0.Add(5*time.Second))
	assert.Equal(t, policy.DecideForCandidate("b", seen, t0.Add(9180*time.Millisecond)).Action, lease.Wait)
	d := policy.DecideForCandidate("b", seen, t0.Add(9190*time.Millisecond))
	assert.Equal(t, d, lease.Decision{Action: lease.Acquire, Next: lease.Record{Holder: "b", Epoch: 4, TTLMs: 9000}})
	seen = seen.Observe(lease.Rows{Grant: 1, Heartbeat: 2}, held.Record, 0, t0.Add(9*time.Second))
	assert.Equal(t, policy.DecideForCandidate("b", seen, t0.Add(12*time.Second)).Action, lease.Wait)
	free := lease.Observed{}.Observe(lease.Rows{}, lease.Record{}, 0, t0)
	assert.Equal(t, policy.DecideForCandidate("b", free, t0).Next.Epoch, uint64(1))
}

// Guards against a holder that acts at the same time as its successor after its
// machine was suspended for a minute: the monotonic clock stops meanwhile, and a
// check of that clock alone finds time left.
func TestSuspendedHolderHasNoTimeLeft(t *testing.T) {
	from := time.Now() // carries a monotonic reading
	woken := from.Add(time.Minute).Round(0)
	h := lease.Held{Record: lease.Record{Holder: "a", Epoch: 1, TTLMs: 9000}, TTLStart: from}
	assert.Assert(t, policy.Remaining(h, woken) <= 0)
}

// node is one process of the simulation, with a clock that starts at any time
// and runs up to policy.ClockRate fast or slow.
type node struct {
	name    string
	offset  time.Duration
	rate    float64
	era     uint64 // newest era of the store that it has seen
	seen    lease.Observed
	held    *lease.Held
	pending *call
}

// call is a commit in progress: sent, then possibly applied, then possibly
// answered, with any delay between the steps.
type call struct {
	cond    lease.Rows
	next    lease.Held
	renewal bool
	applied bool
	ok      bool
	era     uint64 // in which it was applied
}

// leaseRows are the rows of the lease in one era.
type leaseRows struct {
	versions lease.Rows
	record   lease.Record
}

// storage is what the store keeps, and loses when it is restored from a copy. Its
// versions are numbers that are given out again then.
type storage struct {
	rows    map[uint64]leaseRows // by era
	version uint64
}

type world struct {
	storage
	era    uint64
	copied storage
	now    time.Duration // true time
	nodes  []*node
	epochs map[uint64]string // the process that acted in each epoch
	latest uint64            // highest epoch in which a process acted
}

// eraBits is where a version has the store's era, as processes see it.
const eraBits = 40

func (w *world) seenRows() lease.Rows {
	v := w.rows[w.era].versions
	return lease.Rows{Grant: w.era<<eraBits | v.Grant, Heartbeat: w.era<<eraBits | v.Heartbeat}
}

func (w *world) clock(n *node) time.Time {
	return time.Unix(0, 0).Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

func (w *world) decide(n *node) {
	now := w.clock(n)
	if n.held == nil {
		n.era = w.era
		n.seen = n.seen.Observe(w.seenRows(), w.rows[w.era].record, n.era, now)
		if d := policy.DecideForCandidate(n.name, n.seen, now); d.Action == lease.Acquire {
			n.pending = &call{cond: n.seen.Rows, next: lease.Held{Record: d.Next, TTLStart: now}}
		}
		return
	}
	switch policy.DecideForHolder(*n.held, n.era, now).Action {
	case lease.Renew:
		n.pending = &call{cond: n.held.Rows, renewal: true, next: lease.Held{Record: n.held.Record, TTLStart: now}}
	case lease.Reacquire:
		n.era = w.era
		next, ok := policy.Reacquisition(*n.held, lease.Observed{}.Observe(w.seenRows(), w.rows[w.era].record, n.era, now))
		if !ok {
			n.held = nil
			return
		}
		n.pending = &call{cond: w.seenRows(), next: lease.Held{Record: next, TTLStart: now}}
	case lease.StepDown:
		n.held = nil
	}
}

// apply carries a commit out. The store compares numbers, which may be those of other
// rows if it was restored since they were read.
func (w *world) apply(c *call) {
	if c.applied {
		return
	}
	c.applied, c.era = true, w.era
	const number = 1<<eraBits - 1
	key := lease.EraOfEpoch(c.next.Record.Epoch)
	row := w.rows[key]
	if c.ok = c.cond.Grant&number == row.versions.Grant && c.cond.Heartbeat&number == row.versions.Heartbeat; !c.ok {
		return
	}
	w.version++
	row.versions.Heartbeat = w.version
	if !c.renewal {
		row.versions.Grant, row.record = w.version, c.next.Record
	}
	rows := maps.Clone(w.rows) // the copy keeps its own
	rows[key] = row
	w.rows = rows
	c.next.Rows = w.seenRows()
}

func (w *world) answer(n *node) {
	w.apply(n.pending)
	c := n.pending
	n.pending, n.era = nil, max(n.era, c.era)
	ofItsEra := lease.EraOfEpoch(c.next.Record.Epoch) == c.era && c.era == n.era
	switch {
	case c.ok && ofItsEra:
		n.held = &c.next
	case n.held != nil && lease.EraOfEpoch(n.held.Record.Epoch) < n.era: // it is acquired again
	default:
		n.held = nil
	}
}

// Property: at any true time at most one process may act, each epoch has one holder, and
// epochs only rise, whatever the order of reads, commits, late answers, pauses, clock
// rates and restores of the store.
func TestAtMostOneHolderAtAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{storage: storage{rows: map[uint64]leaseRows{}}, epochs: map[uint64]string{}}
		w.copied = w.storage
		for i := range 3 {
			w.nodes = append(w.nodes, &node{name: fmt.Sprint("n", i),
				offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Hour,
				rate:   1 + rapid.SampledFrom([]float64{-0.0099, 0, 0.0099}).Draw(t, "rate")})
		}
		pick := func() *node { return w.nodes[rapid.IntRange(0, 2).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += time.Duration(rapid.SampledFrom([]int{1, 50, 500, 3000, 8150, 8750, 8950, 9300}).Draw(t, "ms")) * time.Millisecond
			},
			"decide": func(t *rapid.T) {
				if n := pick(); n.pending == nil {
					w.decide(n)
				}
			},
			"apply": func(t *rapid.T) {
				if n := pick(); n.pending != nil {
					w.apply(n.pending)
				}
			},
			"answer": func(t *rapid.T) {
				if n := pick(); n.pending != nil {
					w.answer(n)
				}
			},
			"crash": func(t *rapid.T) { // the commit in progress is applied, but the new process does not know of it
				n := pick()
				if n.pending != nil {
					w.apply(n.pending)
				}
				*n = node{name: n.name + "'", offset: n.offset, rate: n.rate}
			},
			"copy":    func(*rapid.T) { w.copied = w.storage },
			"restore": func(*rapid.T) { w.storage, w.era = w.copied, w.era+1 },
			"":        func(t *rapid.T) { w.check(t) },
		})
	})
}

func (w *world) check(t *rapid.T) {
	acting := ""
	for _, n := range w.nodes {
		if n.held == nil || policy.Remaining(*n.held, w.clock(n)) <= 0 {
			continue
		}
		if acting != "" {
			t.Fatalf("%s and %s may act at once", acting, n.name)
		}
		acting = n.name
		e := n.held.Record.Epoch
		if by, ok := w.epochs[e]; ok && by != n.name {
			t.Fatalf("%s and %s both act in epoch %d", by, n.name, e)
		}
		w.epochs[e] = n.name
		if e < w.latest {
			t.Fatalf("%s acts in epoch %d after epoch %d", n.name, e, w.latest)
		}
		w.latest = e
	}
}

func BenchmarkDecideForHolder(b *testing.B) {
	t0 := time.Unix(1000, 0)
	h := lease.Held{Record: lease.Record{Holder: "a", Epoch: 3, TTLMs: 9000}, TTLStart: t0}
	b.ReportAllocs()
	for b.Loop() {
		_ = policy.DecideForHolder(h, 0, t0.Add(time.Second))
	}
}
