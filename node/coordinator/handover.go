package coordinator

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/changes"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/event"
	"peridotpier.example/node/lease"
)

// lastOrder is the last order to one upstream.
type lastOrder struct {
	at  time.Time
	own bool // this process sent it, so that it need not wait before its next
}

// handover is what the last holder of the lease said when it gave up. Two
// holders that give orders to one upstream too soon after each other could each
// undo the other's; upstreams that got none lately need no such wait, and loads
// that are known need not be assumed.
type handover struct {
	epoch            uint64
	lastOrderAt      time.Time // the last order, at the latest
	complete         bool      // what follows is all there is
	orderedAt        map[string]time.Time
	loads            []time.Time // from the weight store, when each began
	unconfirmedUntil []time.Time // until when each load whose order went unanswered may begin
	demand           []*coordpb.HeldDemand
	demandPeriod     time.Duration // for which the demand had been reported
	receivedAt       time.Time     // when it was said
}

// RecordHandover notes what a host said that held the lease in an epoch and gave it up.
func (c *Coordinator) RecordHandover(epoch uint64, sinceOrder time.Duration, msg *coordpb.Handover) {
	now := c.now()
	h := handover{epoch: epoch, lastOrderAt: now.Add(-sinceOrder), complete: msg.GetWhole(), orderedAt: map[string]time.Time{},
		demand: msg.GetDemand(), demandPeriod: milliseconds(msg.GetHeardMs()), receivedAt: now}
	for _, o := range msg.GetOrders() {
		h.orderedAt[o.Upstream] = now.Add(-milliseconds(o.AgeMs))
	}
	for _, ms := range msg.GetLoadAgesMs() {
		h.loads = append(h.loads, now.Add(-milliseconds(ms)))
	}
	for _, ms := range msg.GetLoadDoubtsMs() {
		h.unconfirmedUntil = append(h.unconfirmedUntil, now.Add(milliseconds(ms)))
	}
	c.mu.Lock()
	if epoch >= c.predecessor.epoch {
		c.predecessor = h
	}
	c.mu.Unlock()
	c.deps.Lease.RecordStepDown(epoch)
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// beginTermLocked starts a term. Orders of the former holder may still be on their
// way, so that each upstream gets none until the quiet time after its last one
// is over; where that is not known, none of them does.
func (c *Coordinator) beginTermLocked(t lease.Term, now time.Time) {
	again := c.lastEpoch > 0 && c.lastEpoch+1 == t.Epoch
	c.upstreams, c.holdingChanges, c.scanned = map[string]*managedUpstream{}, changes.Log[*managedUpstream]{}, scanPosition{}
	if !again {
		c.resetCounts(now)
	}
	switch {
	case t.Epoch <= 1: // nobody was there before
		c.quietUntil, c.ordersComplete = now, true
	case again: // what this process knows of the former term still holds
	case c.predecessor.epoch+1 == t.Epoch:
		c.inheritLocked(&c.predecessor, now)
	case c.succeedsItself(t): // the orders of one host are those of one holder
		c.quietUntil = now
		c.storeLoads.assumeFull(now)
	default:
		c.quietUntil, c.lastOrderAt, c.ordersComplete = now.Add(c.cfg.QuietPeriod), now, false
		c.storeLoads.assumeFull(now)
	}
	c.deps.Log.Emit(event.QuietPeriod, zap.Uint64("epoch", t.Epoch), zap.Duration("for", max(c.quietUntil.Sub(now), 0)), zap.Int("upstreams", len(c.lastOrders)))
}

// inheritLocked goes by the former holder's word.
func (c *Coordinator) inheritLocked(h *handover, now time.Time) {
	if h.lastOrderAt.After(c.lastOrderAt) {
		c.lastOrderAt = h.lastOrderAt
	}
	c.ordersComplete = h.complete
	c.demand.inherit(h.demand, h.demandPeriod, h.receivedAt, now)
	if !h.complete {
		c.quietUntil = h.lastOrderAt.Add(c.cfg.QuietPeriod)
		c.storeLoads.assumeFull(now)
		return
	}
	c.quietUntil = now
	for id, at := range h.orderedAt {
		c.lastOrders[id] = lastOrder{at: at}
	}
	c.storeLoads.inherit(h.loads, h.unconfirmedUntil)
}

// succeedsItself says whether this host held the lease in the epoch before a
// term, in its former process.
func (c *Coordinator) succeedsItself(t lease.Term) bool {
	before := c.deps.Lease.LastObserved()
	return before.Epoch+1 == t.Epoch && sameHost(c.cfg.Holder, before.Holder)
}

// recordOrder notes that an order is sent to an upstream now.
func (c *Coordinator) recordOrder(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOrderAt = c.now()
	c.lastOrders[upstream] = lastOrder{at: c.lastOrderAt, own: true}
}

// inQuietPeriod says whether the quiet time after a former holder's last order to
// an upstream is not over.
func (c *Coordinator) inQuietPeriod(upstream string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.lastOrders[upstream]
	return ok && !o.own && now.Before(o.at.Add(c.cfg.QuietPeriod))
}

// sentHandover is what was told last to hosts that may succeed this one.
type sentHandover struct {
	message *coordpb.Handover
	state   orderState
	acting  bool
	at      time.Time
}

// orderState is which orders a handover tells of: it lacks those given since, and in
// later terms.
type orderState struct {
	epoch uint64
	last  time.Time
}

// currentHandover is makeHandover, made anew expiryEach at most: all hosts ask at once.
// What it says happened counts as having happened that much later.
func (c *Coordinator) currentHandover(acting bool, now time.Time) *coordpb.Handover {
	c.mu.Lock()
	h, state := c.sentHandover, orderState{c.lastEpoch, c.lastOrderAt}
	c.mu.Unlock()
	if h.message != nil && h.state == state && h.acting == acting && now.Sub(h.at) < expiryInterval {
		return h.message
	}
	h = sentHandover{c.buildHandover(acting, now), state, acting, now}
	c.mu.Lock()
	c.sentHandover = h
	c.mu.Unlock()
	return h.message
}

// buildHandover tells a successor what it needs to know. c.mu is not held.
//
// A host that acts on without the lease is asked five times a second by every
// other. It leaves the demand out, which is most of it: 4 of 5.5 kB at 131
// models, so that 81 hosts would cost 1.6 MB/s while the store is away.
func (c *Coordinator) buildHandover(acting bool, now time.Time) *coordpb.Handover {
	loads, unconfirmed, known := c.storeLoads.counted(now)
	for _, u := range c.allUpstreams() {
		if u.hasUnconfirmedStoreLoad() { // it may turn out to be carried out late
			unconfirmed = append(unconfirmed, now.Add(residency.MaxOrderDelay))
		}
	}
	c.mu.Lock()
	orders := maps.Clone(c.lastOrders)
	complete := known && (c.ordersComplete || !now.Before(c.quietUntil))
	c.mu.Unlock()
	out := &coordpb.Handover{Whole: complete}
	if !acting {
		demand, demandPeriod := c.demand.snapshot(now)
		out.Demand, out.HeardMs = demand, uint32(demandPeriod.Milliseconds())
	}
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

// hasUnconfirmedStoreLoad says whether a load from the weight store was ordered here and
// is not known to have been taken.
func (u *managedUpstream) hasUnconfirmedStoreLoad() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.activeMove
	return v != nil && v.ordered && !v.accepted.Load()
}
