package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/budget"
	"peridotpier.example/core/deploy"
	decide "peridotpier.example/core/lease"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/repeats"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/lease"
)

const (
	testQuiet  = 3 * time.Second
	testWindow = 5 * time.Second
)

// clock is the time of a test's coordinators.
type clock struct{ now time.Time }

func newHolder(k *clock, host string) *Coordinator { return newHolderWith(k, host, testWindow) }

// newHolderWith returns a holder that counts loads in a window.
func newHolderWith(k *clock, host string, window time.Duration) *Coordinator {
	log := event.NewLog(nil)
	return New(Config{Host: host, Holder: wire.HolderName(host, "127.0.0.1:1", host), QuietPeriod: testQuiet, CeilingWindow: window, CeilingFactor: 1},
		Deps{Fleet: fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return k.now }}), Config: follow.NewActiveConfig(log), Log: log,
			Lease: lease.New(lease.Config{Name: "l"}, lease.Deps{Table: noTable{}}), Now: func() time.Time { return k.now }})
}

// takeLease begins a term.
func (c *Coordinator) takeLease(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginTermLocked(lease.Term{Epoch: epoch, Previous: epoch - 1}, c.now())
	c.lastEpoch, c.term = epoch, lease.Term{Epoch: epoch}
}

// handOverTo hands over to a successor.
func (c *Coordinator) handOverTo(next *Coordinator) {
	out := &coordpb.SiteState{}
	c.addLease(out, c.now())
	next.RecordHandover(out.Epoch, wire.Milliseconds(out.LastOrderMs), out.Handover)
}

// mustNotOrder reports whether no order may be sent to an upstream yet.
func (c *Coordinator) mustNotOrder(upstream string) bool {
	return c.now().Before(c.quietUntil) || c.InQuietPeriod(upstream, c.now())
}

// Guards against a second holder's order right after one that the first gave after its
// last handover: the cached handover lacks the orders since.
func TestAHandoverIncludesOrdersSinceTheLastOne(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	a, b, d := newHolder(k, "a"), newHolder(k, "b"), newHolder(k, "d")
	a.takeLease(1)
	a.handOverTo(b)
	a.takeLease(2)
	a.RecordOrder("u")
	a.handOverTo(b)
	b.takeLease(3)
	assert.Assert(t, b.mustNotOrder("u"), "ordered in a later term")
	k.now = k.now.Add(testQuiet)
	b.handOverTo(d)
	k.now = k.now.Add(time.Millisecond)
	b.RecordOrder("v")
	b.handOverTo(d)
	d.takeLease(4)
	assert.Assert(t, d.mustNotOrder("v"), "ordered in the same term")
}

// Guards against models and adapters with waiting callers that are not loaded for three
// to five seconds whenever the lease holder restarts: it stops gracefully, and its
// successor waits, for all upstreams, until the last order to any of them is old, and
// for a complete window before it loads from the weight store, because the former
// holder reported no more than the time of its last order. With four holders in 20 s,
// loads began 5 s after each of them.
func TestASuccessorWaitsWhereTheFormerHolderOrdered(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	a, b := newHolder(k, "a"), newHolder(k, "b")
	a.takeLease(1)
	a.RecordOrder("u")
	a.storeLoads.Add(k.now)
	free := a.storeLoads.Remaining(1, k.now)
	k.now = k.now.Add(time.Second)
	a.handOverTo(b)
	b.takeLease(2)
	assert.Assert(t, b.mustNotOrder("u") && !b.mustNotOrder("v"))
	assert.Equal(t, b.storeLoads.Remaining(1, k.now), free, "the former holder's load counts")
	assert.Equal(t, b.storeLoads.InheritedWithin(2*time.Second, k.now), 1, "it may be under way")
	assert.Equal(t, b.storeLoads.InheritedWithin(time.Second/2, k.now), 0)
	k.now = k.now.Add(testQuiet - time.Second - time.Millisecond)
	assert.Assert(t, b.mustNotOrder("u"))
	k.now = k.now.Add(2 * time.Millisecond)
	assert.Assert(t, !b.mustNotOrder("u"))
	k.now = k.now.Add(testWindow)
	assert.Equal(t, b.storeLoads.Remaining(1, k.now), free+1)
}

// Guards against two holders that give orders to one upstream within the quiet period:
// one orders and stops; the next takes the lease, waits, and stops before it has given
// an order; the third is told that the second never gave one, if a holder reports only
// its own orders.
func TestAHolderPassesOnTheOrdersThatItInherited(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	a, b, c := newHolder(k, "a"), newHolder(k, "b"), newHolder(k, "c")
	a.takeLease(1)
	a.RecordOrder("u")
	a.handOverTo(b)
	b.takeLease(2)
	k.now = k.now.Add(200 * time.Millisecond)
	b.handOverTo(c)
	c.takeLease(3)
	assert.Assert(t, c.mustNotOrder("u") && !c.mustNotOrder("v"))

	d := newHolder(k, "d") // receives c's handover only after it took the lease
	d.takeLease(4)
	assert.Assert(t, d.mustNotOrder("u") && d.mustNotOrder("v"), "without a handover all upstreams wait")
	k.now = k.now.Add(time.Second)
	e := newHolder(k, "e")
	d.handOverTo(e)
	e.takeLease(5)
	assert.Assert(t, e.mustNotOrder("v"), "d did not know all recent orders")
	assert.Assert(t, e.storeLoads.Remaining(1, k.now) == 0)
}

// Guards against replicas of hot models that are loaded 3 s late after a restart of the
// lease holder: if the former holder's demand is lost, its successor moves models only
// for waiting callers until it has received demand for 3 s.
func TestASuccessorInheritsTheDemand(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	a, b := newHolder(k, "a"), newHolder(k, "b")
	a.takeLease(1)
	engineTime := func(demand.Key, int, int) time.Duration { return 100 * time.Millisecond }
	for range 20 {
		a.demand.Add([]*coordpb.Demand{{Service: "s", Model: "hot", Requests: 1, PatienceMs: 1000}}, "", engineTime, k.now)
		k.now = k.now.Add(200 * time.Millisecond)
	}
	e := &deploy.Engine{Models: []deploy.Model{{Name: "hot", StoreLoad: time.Second}}}
	before := a.demand.OfService("s", e, k.now)["hot"]
	assert.Assert(t, before.EngineLoad > 0.3)
	a.handOverTo(b)
	k.now = k.now.Add(200 * time.Millisecond)
	b.demand.Add([]*coordpb.Demand{{Service: "s", Model: "hot", Requests: 1, PatienceMs: 1000}}, "", engineTime, k.now)
	b.takeLease(2)
	assert.Assert(t, b.demand.AllKnown(k.now) && b.demand.IsKnown("s", "hot", k.now))
	after := b.demand.OfService("s", e, k.now)["hot"]
	assert.Assert(t, after.EngineLoad > 0.9*before.EngineLoad && after.EngineLoad < 1.1*before.EngineLoad, "%v %v", before, after)
	assert.Equal(t, after.WaitsForLoad, before.WaitsForLoad)
	k.now = k.now.Add(demand.Expiry + time.Second)
	assert.Equal(t, b.demand.OfService("s", e, k.now)["hot"].EngineLoad, 0.0)
	assert.Assert(t, !newHolder(k, "c").demand.AllKnown(k.now))
}

// Guards against more loads in one window than the weight store allows: a holder orders
// a load, and stops before the order is answered; the load begins seconds later, beside
// its successor's, if unconfirmed loads are not handed over.
func TestAnUnconfirmedLoadIsHandedOver(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	a, b := newHolder(k, "a"), newHolder(k, "b")
	a.takeLease(1)
	a.unconfirmedStoreLoads = func() int { return 1 }
	a.storeLoads.Add(k.now)
	free := b.storeLoads.Remaining(1, k.now)
	a.handOverTo(b)
	b.takeLease(2)
	assert.Equal(t, b.storeLoads.Remaining(1, k.now), free-2, "it may have begun, and may begin late")
	k.now = k.now.Add(14 * time.Second)
	assert.Equal(t, b.storeLoads.Remaining(1, k.now), free-1)
}

// Property: whoever holds the lease, whether its former holder's handover arrived or
// not, two hosts never give orders to one upstream within the quiet period, and never
// begin more loads in a window than its bound.
func TestHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := &clock{time.Unix(1_700_000_000, 0)}
		hosts := []*Coordinator{newHolder(k, "a"), newHolder(k, "b"), newHolder(k, "c")}
		last := map[string]struct {
			by *Coordinator
			at time.Time
		}{}
		var loads []time.Time
		holder, epoch := hosts[0], uint64(1)
		holder.takeLease(epoch)
		maxLoads := holder.storeLoads.Remaining(1, k.now)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			k.now = k.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				next := hosts[rapid.IntRange(0, 2).Draw(t, "next")]
				if rapid.Bool().Draw(t, "heard") && next != holder {
					holder.handOverTo(next)
				}
				holder, epoch = next, epoch+1
				holder.takeLease(epoch)
				continue
			}
			id := fmt.Sprint("u", rapid.IntRange(0, 2).Draw(t, "upstream"))
			if holder.mustNotOrder(id) {
				continue
			}
			if l, ok := last[id]; ok && l.by != holder {
				assert.Assert(t, k.now.Sub(l.at) >= testQuiet, "%s ordered %v apart", id, k.now.Sub(l.at))
			}
			holder.RecordOrder(id)
			last[id] = struct {
				by *Coordinator
				at time.Time
			}{holder, k.now}
			if holder.storeLoads.Remaining(1, k.now) > 0 {
				holder.storeLoads.Add(k.now)
				loads = append(slices.DeleteFunc(loads, func(at time.Time) bool { return k.now.Sub(at) > testWindow }), k.now)
				assert.Assert(t, len(loads) <= maxLoads, "%d loads in a window", len(loads))
			}
		}
	})
}

// siteTerms plays who holds the lease, with processes that are killed and come back.
type siteTerms struct {
	k       *clock
	holder  *Coordinator
	epoch   uint64
	settled bool // by the holder's newest renewal
}

// take makes a process take the lease. If it is of the holder's host, the holder has ended.
func (s *siteTerms) take(next *Coordinator) {
	t := lease.Term{Epoch: s.epoch + 1, Previous: s.epoch}
	if s.holder != nil {
		next.deps.Lease.Observe(decide.Rows{Grant: s.epoch, Heartbeat: s.epoch}, decide.Record{Holder: s.holder.cfg.Holder, Epoch: s.epoch})
		t.PreviousSettled = s.settled && wire.SameHost(s.holder.cfg.Holder, next.cfg.Holder)
	}
	next.mu.Lock()
	next.beginTermLocked(t, next.now())
	next.lastEpoch, next.term = t.Epoch, t
	next.mu.Unlock()
	s.holder, s.epoch, s.settled = next, t.Epoch, t.PreviousSettled
}

// renew renews the lease.
func (s *siteTerms) renew() { s.settled = s.holder.IsSettled(s.epoch) }

// Property: processes that are killed and come back, at once and again, never give orders to
// an upstream within the quiet period after those of another host.
func TestRestartedHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := &clock{time.Unix(1_700_000_000, 0)}
		names := []string{"a", "b", "c"}
		s := &siteTerms{k: k}
		s.take(newHolder(k, "a"))
		last := map[string]struct {
			host string
			at   time.Time
		}{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			k.now = k.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0: // another host, or a new process of the same one
				s.take(newHolder(k, rapid.SampledFrom(names).Draw(t, "next")))
			case 1: // the process is killed and comes back
				s.take(newHolder(k, s.holder.cfg.Host))
			case 2: // it stops in good order
				next := newHolder(k, rapid.SampledFrom(names).Draw(t, "heir"))
				s.holder.handOverTo(next)
				s.take(next)
			case 3, 4:
				s.renew()
			default:
				id := fmt.Sprint("u", rapid.IntRange(0, 1).Draw(t, "upstream"))
				if s.holder.mustNotOrder(id) {
					continue
				}
				l, ok := last[id]
				assert.Assert(t, !ok || l.host == s.holder.cfg.Host || k.now.Sub(l.at) >= testQuiet, "%s ordered %v apart", id, k.now.Sub(l.at))
				s.holder.RecordOrder(id)
				last[id] = struct {
					host string
					at   time.Time
				}{s.holder.cfg.Host, k.now}
			}
		}
	})
}

// Guards against a holder that is killed and waits without need: its former process was in its
// term for long, and no other host has given orders.
func TestARestartedHolderThatWasSettledOrdersAtOnce(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	s := &siteTerms{k: k}
	s.take(newHolder(k, "a"))
	s.take(newHolder(k, "b"))
	assert.Assert(t, s.holder.mustNotOrder("u"))
	s.renew()
	assert.Assert(t, !s.settled)
	k.now = k.now.Add(testQuiet)
	s.renew()
	s.holder.RecordOrder("u")
	for range 2 { // again and again
		s.take(newHolder(k, "b"))
		assert.Assert(t, !s.holder.mustNotOrder("u"))
	}
}

// Guards against a successor that orders right after a process that was killed: the process that
// handed over is the next one of that host, and does not know its orders.
func TestARestartedHolderHandsOverNoMoreThanItKnows(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	const window = testQuiet / 6 // loads of the former process are known to have ended soon
	s := &siteTerms{k: k}
	s.take(newHolderWith(k, "a", window))
	s.holder.RecordOrder("u")
	s.renew()
	s.take(newHolderWith(k, "a", window))
	k.now = k.now.Add(testQuiet / 3)
	next := newHolderWith(k, "b", window)
	s.holder.handOverTo(next)
	s.take(next)
	assert.Assert(t, next.mustNotOrder("u"))
	k.now = k.now.Add(testQuiet)
	assert.Assert(t, !next.mustNotOrder("u"))
}

// Guards against a restarted holder that forgets for which upstreams its former process had still to
// wait.
func TestARestartedHolderWaitsForTheUpstreamsOfAHandover(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	s := &siteTerms{k: k}
	s.take(newHolder(k, "a"))
	s.holder.RecordOrder("u")
	next := newHolder(k, "b")
	s.holder.handOverTo(next)
	s.take(next)
	s.renew()
	s.take(newHolder(k, "b"))
	assert.Assert(t, s.holder.mustNotOrder("u"))
}

// Guards against a megabyte a second between data centres while the store is
// unavailable: the lease expires, and the last holder goes on acting and answers every
// host five times a second, with the demand for all models in each answer.
func TestAHostActingWithoutTheLeaseSendsNoDemand(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	a := newHolder(k, "a")
	a.takeLease(1)
	a.RecordOrder("u")
	a.demand.Add([]*coordpb.Demand{{Service: "s", Model: "m", Requests: 1}}, "", func(demand.Key, int, int) time.Duration { return time.Second }, k.now)
	msg := a.currentHandover(true, k.now)
	assert.Equal(t, len(msg.Demand), 0)
	assert.Equal(t, len(msg.Orders), 1, "what its successor must wait for")
	assert.Equal(t, len(a.currentHandover(false, k.now).Demand), 1)
}

// Guards against three seconds without orders after each restore of the store that lasts
// longer than the lease, and against orders right after those of a holder that the store
// has forgotten.
func TestAHolderThatAllHostsFollowedNeedsNoQuietPeriodAfterARestore(t *testing.T) {
	const forgetful = 1<<24 + 1 // the first epoch of the store's first era after a restore
	for _, c := range []struct {
		name  string
		since func(h *Coordinator, k *clock)
		quiet bool
	}{
		{"all hosts report", func(*Coordinator, *clock) {}, false},
		{"one host is silent", func(h *Coordinator, k *clock) {
			k.now = k.now.Add(2 * time.Second)
			h.aggregate.Record(&coordpb.HostReport{Host: "a"}, k.now)
		}, true},
		{"another host told that it gave the lease up", func(h *Coordinator, _ *clock) { h.RecordHandover(2, time.Hour, &coordpb.Handover{}) }, true},
		{"it was not acting meanwhile", func(h *Coordinator, _ *clock) { h.acted = false }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &clock{time.Unix(1_700_000_000, 0)}
			h := newHolder(k, "a")
			h.repeats = repeats.New(budget.Policy{Slack: 10, Window: 10 * time.Second})
			h.takeLease(1)
			h.acted, h.followed = true, true
			for _, host := range []string{"a", "b"} {
				h.aggregate.Record(&coordpb.HostReport{Host: host}, k.now)
			}
			c.since(h, k)
			h.mu.Lock()
			h.beginTermLocked(lease.Term{Epoch: forgetful, PreviousUnknown: true}, k.now)
			h.mu.Unlock()
			assert.Equal(t, h.mustNotOrder("u"), c.quiet)
			_, hasSlack := h.repeats.Take("s", true, k.now)
			assert.Equal(t, hasSlack, !c.quiet, "the slack of repeats")
		})
	}
}
