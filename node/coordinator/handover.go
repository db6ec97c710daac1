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
	epoch     uint64
	ordered   time.Time // the last order, at the latest
	whole     bool      // what follows is all there is
	upstreams map[string]time.Time
	loads     []time.Time // from the weight store, when each began
	doubts    []time.Time // until when each load whose order went unanswered may begin
	demand    []*coordpb.HeldDemand
	heard     time.Duration // for which the demand had been reported
	at        time.Time     // when it was said
}

// RecordHandover notes what a host said that held the lease in an epoch and gave it up.
func (c *Coordinator) RecordHandover(epoch uint64, sinceOrder time.Duration, told *coordpb.Handover) {
	now := c.now()
	h := handover{epoch: epoch, ordered: now.Add(-sinceOrder), whole: told.GetWhole(), upstreams: map[string]time.Time{},
		demand: told.GetDemand(), heard: milliseconds(told.GetHeardMs()), at: now}
	for _, o := range told.GetOrders() {
		h.upstreams[o.Upstream] = now.Add(-milliseconds(o.AgeMs))
	}
	for _, ms := range told.GetLoadAgesMs() {
		h.loads = append(h.loads, now.Add(-milliseconds(ms)))
	}
	for _, ms := range told.GetLoadDoubtsMs() {
		h.doubts = append(h.doubts, now.Add(milliseconds(ms)))
	}
	c.mu.Lock()
	if epoch >= c.former.epoch {
		c.former = h
	}
	c.mu.Unlock()
	c.deps.Lease.RecordStepDown(epoch)
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// beginLocked starts a term. Orders of the former holder may still be on their
// way, so that each upstream gets none until the quiet time after its last one
// is over; where that is not known, none of them does.
func (c *Coordinator) beginLocked(t lease.Term, now time.Time) {
	again := c.lastEpoch > 0 && c.lastEpoch+1 == t.Epoch
	c.units, c.held, c.looked = map[string]*unit{}, changes.Log[*unit]{}, look{}
	if !again {
		c.beginCounts(now)
	}
	switch {
	case t.Epoch <= 1: // nobody was there before
		c.quiet, c.whole = now, true
	case again: // what this process knows of the former term still holds
	case c.former.epoch+1 == t.Epoch:
		c.inheritLocked(&c.former, now)
	case c.succeedsItself(t): // the orders of one host are those of one holder
		c.quiet = now
		c.stores.assumeFull(now)
	default:
		c.quiet, c.ordered, c.whole = now.Add(c.cfg.QuietPeriod), now, false
		c.stores.assumeFull(now)
	}
	c.deps.Log.Emit(event.QuietPeriod, zap.Uint64("epoch", t.Epoch), zap.Duration("for", max(c.quiet.Sub(now), 0)), zap.Int("upstreams", len(c.orders)))
}

// inheritLocked goes by the former holder's word.
func (c *Coordinator) inheritLocked(h *handover, now time.Time) {
	if h.ordered.After(c.ordered) {
		c.ordered = h.ordered
	}
	c.whole = h.whole
	c.demand.inherit(h.demand, h.heard, h.at, now)
	if !h.whole {
		c.quiet = h.ordered.Add(c.cfg.QuietPeriod)
		c.stores.assumeFull(now)
		return
	}
	c.quiet = now
	for id, at := range h.upstreams {
		c.orders[id] = lastOrder{at: at}
	}
	c.stores.inherit(h.loads, h.doubts)
}

// succeedsItself says whether this host held the lease in the epoch before a
// term, in its former process.
func (c *Coordinator) succeedsItself(t lease.Term) bool {
	before := c.deps.Lease.LastObserved()
	return before.Epoch+1 == t.Epoch && sameHost(c.cfg.Holder, before.Holder)
}

// ordering notes that an order is sent to an upstream now.
func (c *Coordinator) ordering(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordered = c.now()
	c.orders[upstream] = lastOrder{at: c.ordered, own: true}
}

// quietFor says whether the quiet time after a former holder's last order to
// an upstream is not over.
func (c *Coordinator) quietFor(upstream string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.orders[upstream]
	return ok && !o.own && now.Before(o.at.Add(c.cfg.QuietPeriod))
}

// handed is what was told last to hosts that may succeed this one.
type handed struct {
	told   *coordpb.Handover
	of     orderState
	acting bool
	at     time.Time
}

// orderState is which orders a handover tells of: it lacks those given since, and in
// later terms.
type orderState struct {
	epoch uint64
	last  time.Time
}

// tellHandover is makeHandover, made anew expiryEach at most: all hosts ask at once.
// What it says happened counts as having happened that much later.
func (c *Coordinator) tellHandover(acting bool, now time.Time) *coordpb.Handover {
	c.mu.Lock()
	h, of := c.handed, orderState{c.lastEpoch, c.ordered}
	c.mu.Unlock()
	if h.told != nil && h.of == of && h.acting == acting && now.Sub(h.at) < expiryEach {
		return h.told
	}
	h = handed{c.makeHandover(acting, now), of, acting, now}
	c.mu.Lock()
	c.handed = h
	c.mu.Unlock()
	return h.told
}

// makeHandover tells a successor what it needs to know. c.mu is not held.
//
// A host that acts on without the lease is asked five times a second by every
// other. It leaves the demand out, which is most of it: 4 of 5.5 kB at 131
// models, so that 81 hosts would cost 1.6 MB/s while the store is away.
func (c *Coordinator) makeHandover(acting bool, now time.Time) *coordpb.Handover {
	loads, doubts, known := c.stores.tell(now)
	for _, u := range c.allUnits() {
		if u.loadUnanswered() { // it may turn out to be carried out late
			doubts = append(doubts, now.Add(residency.MaxOrderDelay))
		}
	}
	c.mu.Lock()
	orders := maps.Clone(c.orders)
	whole := known && (c.whole || !now.Before(c.quiet))
	c.mu.Unlock()
	out := &coordpb.Handover{Whole: whole}
	if !acting {
		demand, heard := c.demand.tell(now)
		out.Demand, out.HeardMs = demand, uint32(heard.Milliseconds())
	}
	for id, o := range orders {
		out.Orders = append(out.Orders, &coordpb.OrderAge{Upstream: id, AgeMs: uint32(now.Sub(o.at).Milliseconds())})
	}
	for _, at := range loads {
		out.LoadAgesMs = append(out.LoadAgesMs, uint32(now.Sub(at).Milliseconds()))
	}
	for _, until := range doubts {
		out.LoadDoubtsMs = append(out.LoadDoubtsMs, uint32(until.Sub(now).Milliseconds())+1)
	}
	return out
}

// loadUnanswered says whether a load from the weight store was ordered here and
// is not known to have been taken.
func (u *unit) loadUnanswered() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.moving
	return v != nil && v.sent && !v.taken.Load()
}
