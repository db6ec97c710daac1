package coordinator

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/residency"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/lease"
)

// lastOrder is the last order that was sent to one upstream.
type lastOrder struct {
	at  time.Time
	own bool // sent by this process, so that it need not wait before its next order
}

// handover is what the last lease holder reported when it gave up the lease. Two
// holders that give orders to one upstream too soon after each other could each undo
// the other's; upstreams that got none recently need no such wait, and loads that are
// known need not be assumed.
type handover struct {
	epoch            uint64
	lastOrderAt      time.Time // latest time at which the last order may have been sent
	complete         bool      // whether the fields below list everything recent
	orderedAt        map[string]time.Time
	loads            []time.Time // when each load from the weight store began
	unconfirmedUntil []time.Time // until when each load whose order is unconfirmed may begin
	demand           []*coordpb.HeldDemand
	demandPeriod     time.Duration // how long the demand had been reported without a break
	speeds           []*coordpb.UpstreamSpeed
	receivedAt       time.Time // when the handover was received
}

// RecordHandover records the handover of a host that held the lease in an epoch and
// gave it up. sinceOrder is the time since the last order that the host knows of.
func (c *Coordinator) RecordHandover(epoch uint64, sinceOrder time.Duration, msg *coordpb.Handover) {
	now := c.now()
	h := handover{epoch: epoch, lastOrderAt: now.Add(-sinceOrder), complete: msg.GetWhole(), orderedAt: map[string]time.Time{},
		demand: msg.GetDemand(), demandPeriod: wire.Milliseconds(msg.GetHeardMs()), speeds: msg.GetSpeeds(), receivedAt: now}
	for _, o := range msg.GetOrders() {
		h.orderedAt[o.Upstream] = now.Add(-wire.Milliseconds(o.AgeMs))
	}
	for _, ms := range msg.GetLoadAgesMs() {
		h.loads = append(h.loads, now.Add(-wire.Milliseconds(ms)))
	}
	for _, ms := range msg.GetLoadDoubtsMs() {
		h.unconfirmedUntil = append(h.unconfirmedUntil, now.Add(wire.Milliseconds(ms)))
	}
	c.mu.Lock()
	if epoch >= c.predecessor.epoch {
		c.predecessor = h
	}
	c.mu.Unlock()
	c.deps.Lease.RecordStepDown(epoch)
}

// beginTermLocked starts a term. Orders of the former holder may still arrive, so that
// each upstream gets none until the quiet period after its last order is over; if that
// time is unknown, no upstream does.
func (c *Coordinator) beginTermLocked(t lease.Term, now time.Time) {
	again := c.lastEpoch > 0 && (t.Follows(c.lastEpoch) || t.PreviousUnknown && c.heldLastLocked(now))
	c.planner.Reset()
	if !again && !(t.PreviousUnknown && c.acted) {
		c.resetCounts(now) // another coordinator has counted since
	}
	c.repeats.BeginTerm(t.Follows(0), again, now)
	switch {
	case t.Follows(0): // there is no former holder
		c.quietUntil, c.ordersKnownFrom = now, now
	case again: // what this process knows of its former term is still valid
	case c.predecessor.epoch > 0 && t.Follows(c.predecessor.epoch):
		c.inheritLocked(&c.predecessor, now)
	case t.PreviousSettled && c.succeedsItself(t): // orders of one host count as those of one holder
		c.quietUntil, c.lastOrderAt = now, now
		c.ordersKnownFrom = now.Add(c.cfg.QuietPeriod) // only the former process knew its latest orders
		c.storeLoads.AssumeFull(now)
	default:
		c.quietUntil, c.lastOrderAt = now.Add(c.cfg.QuietPeriod), now
		c.ordersKnownFrom = c.quietUntil
		c.storeLoads.AssumeFull(now)
	}
	c.deps.Log.Emit(event.QuietPeriod, zap.Uint64("epoch", t.Epoch), zap.Duration("for", max(c.quietUntil.Sub(now), 0)), zap.Int("upstreams", len(c.lastOrders)))
}

// heldLastLocked reports whether nobody can have held the lease since this process did,
// although a restored store may have forgotten a holder: all hosts have reported here
// without a break, and a holder reports to itself until it has seen a later one.
func (c *Coordinator) heldLastLocked(now time.Time) bool {
	return c.acted && c.followed && c.aggregate.AllFresh(now) && c.predecessor.epoch < c.lastEpoch
}

// inheritLocked takes over a former holder's handover.
func (c *Coordinator) inheritLocked(h *handover, now time.Time) {
	if h.lastOrderAt.After(c.lastOrderAt) {
		c.lastOrderAt = h.lastOrderAt
	}
	c.demand.Inherit(h.demand, h.demandPeriod, h.receivedAt, now)
	c.inheritSpeeds(h)
	if !h.complete {
		c.quietUntil = h.lastOrderAt.Add(c.cfg.QuietPeriod)
		c.ordersKnownFrom = c.quietUntil
		c.storeLoads.AssumeFull(now)
		return
	}
	c.quietUntil, c.ordersKnownFrom = now, now
	for id, at := range h.orderedAt {
		c.lastOrders[id] = lastOrder{at: at}
	}
	c.storeLoads.Inherit(h.loads, h.unconfirmedUntil)
}

// IsSettled reports whether this process holds the lease in an epoch and no former holder's
// orders keep it from giving any. Until then a process that succeeds it on this host must wait as
// it does, and knows nothing of those orders.
func (c *Coordinator) IsSettled(epoch uint64) bool {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastEpoch != epoch || now.Before(c.quietUntil) {
		return false
	}
	for _, o := range c.lastOrders {
		if !o.own && now.Before(o.at.Add(c.cfg.QuietPeriod)) {
			return false
		}
	}
	return true
}

// succeedsItself reports whether a former process of this host held the lease in the
// epoch before a term.
func (c *Coordinator) succeedsItself(t lease.Term) bool {
	before := c.deps.Lease.LastObserved()
	return t.Follows(before.Epoch) && wire.SameHost(c.cfg.Holder, before.Holder)
}

// RecordOrder records that an order is being sent to an upstream now.
func (c *Coordinator) RecordOrder(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOrderAt = c.now()
	c.lastOrders[upstream] = lastOrder{at: c.lastOrderAt, own: true}
}

// InQuietPeriod reports whether the quiet period after a former holder's last order to
// an upstream is not over.
func (c *Coordinator) InQuietPeriod(upstream string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.lastOrders[upstream]
	return ok && !o.own && now.Before(o.at.Add(c.cfg.QuietPeriod))
}

// sentHandover is the handover that was last sent to hosts that may succeed this one.
type sentHandover struct {
	message *coordpb.Handover
	state   orderState
	acting  bool
	at      time.Time
}

// orderState identifies the orders that a handover lists: later orders, and those of
// later terms, are missing from it.
type orderState struct {
	epoch uint64
	last  time.Time
}

// handoverInterval is how often a handover is built anew at most.
const handoverInterval = 100 * time.Millisecond

// currentHandover returns the result of buildHandover, which is rebuilt at most once
// per handoverInterval: all hosts ask at the same time. The receiver takes the ages in a
// reused handover as counted from its arrival, so events appear up to that much later.
func (c *Coordinator) currentHandover(acting bool, now time.Time) *coordpb.Handover {
	c.mu.Lock()
	h, state := c.sentHandover, orderState{c.lastEpoch, c.lastOrderAt}
	c.mu.Unlock()
	if h.message != nil && h.state == state && h.acting == acting && now.Sub(h.at) < handoverInterval {
		return h.message
	}
	h = sentHandover{c.buildHandover(acting, now), state, acting, now}
	c.mu.Lock()
	c.sentHandover = h
	c.mu.Unlock()
	return h.message
}

// buildHandover returns what a successor needs to know. The caller must not hold c.mu.
//
// A host that is acting without the lease is asked by every other one five times a
// second. It leaves out the demand, which is most of the message: 4 of 5.5 kB at 131
// models, so that 81 hosts would cost 1.6 MB/s while the store is unavailable.
func (c *Coordinator) buildHandover(acting bool, now time.Time) *coordpb.Handover {
	loads, unconfirmed, known := c.storeLoads.Counted(now)
	for range c.unconfirmedStoreLoads() { // their orders may still be carried out
		unconfirmed = append(unconfirmed, now.Add(residency.MaxOrderDelay))
	}
	c.mu.Lock()
	orders := maps.Clone(c.lastOrders)
	complete := known && !now.Before(c.ordersKnownFrom)
	c.mu.Unlock()
	out := &coordpb.Handover{Whole: complete}
	if !acting {
		demand, demandPeriod := c.demand.Snapshot(now)
		out.Demand, out.HeardMs = demand, uint32(demandPeriod.Milliseconds())
	}
	out.Speeds = c.learntSpeeds(now)
	for id, o := range orders {
		out.Orders = append(out.Orders, &coordpb.OrderAge{Upstream: id, AgeMs: uint32(now.Sub(o.at).Milliseconds())})
	}
	for _, at := range loads {
		out.LoadAgesMs = append(out.LoadAgesMs, uint32(now.Sub(at).Milliseconds()))
	}
	for _, until := range unconfirmed {
		out.LoadDoubtsMs = append(out.LoadDoubtsMs, uint32(until.Sub(now).Milliseconds())+1)
	}
	return out
}
