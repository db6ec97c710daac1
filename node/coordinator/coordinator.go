// Package coordinator is the part of a host that acts for the whole
// deployment: it sums up what all hosts have sent to each upstream, gives the
// upstreams their orders, and tells the hosts what the upstreams hold. Every
// host has one; the one whose host holds the lease is heard.
//
// Requests for models ask it for a turn, and for an adapter that no upstream has
// at hand. Without it, or without its word in time, hosts go on by what they see
// themselves.
package coordinator

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/changes"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

// Verdict is an upstream's answer to an order.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota // it is being carried out
	Done                    // it holds already, or was done at once
	Conflict                // another order is under way, or its number has moved on
	Fenced                  // a higher epoch was seen
	Invalid                 // there is no such order
	Replaced                // another process is at the address
)

// String names the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "invalid", "replaced"}[v]
}

// Authority says under which authority an order is given.
type Authority struct {
	Holder string
	Epoch  uint64
}

// OrderClient carries orders to upstreams. An error means that no answer came.
type OrderClient interface {
	Order(ctx context.Context, u *deploy.Upstream, o residency.Order, t Authority) (Verdict, error)
	Report(ctx context.Context, u *deploy.Upstream) (residency.Report, error)
}

// Config bounds a Coordinator.
type Config struct {
	Host            string
	Holder          string        // this process, as the lease names it
	Address         string        // where Serve listens
	QuietPeriod     time.Duration // after a lease was taken from another holder
	CeilingWindow   time.Duration // loads from the weight store are counted in any span of this length
	CeilingFactor   float64       // factor on its rate
	LimitSlack      float64       // by which operators allow a team's limit to be missed, in what it counts
	Policy          replica.Policy
	MaxRelayAge     time.Duration // for which hosts go by a relay of the store's changes; 0: not bounded
	LinkMbps        float64       // of this host, megabits a second; 0: not known
	AdapterLoadTime time.Duration // how long an adapter's load takes; 0: the default
	NoModelMoves    bool          // models stay where they are, for measuring what moves gain
}

// Deps are what a Coordinator works with.
type Deps struct {
	Fleet  *fleet.Fleet
	Config *follow.ActiveConfig
	Lease  *lease.Lease
	Orders OrderClient
	Table  store.Table
	Feed   *follow.Follower
	Log    *event.Log
	// Metrics are the host's; nil: a set of its own.
	Metrics *metrics.Set
	Now     func() time.Time
}

// Coordinator acts for the whole deployment while its host holds the lease.
type Coordinator struct {
	cfg        Config
	deps       Deps
	id         uint64 // of this process, drawn
	now        func() time.Time
	sums       *sums
	newest     time.Time // when an upstream was first seen last; under mu
	demand     *demand
	speeds     *speeds
	turns      *turns
	accounts   *accounts
	quarantine *quarantine
	stores     storeLoads

	standingIn atomic.Bool // acts though it has never held the lease
	begins     pace.Signal // given when it begins to

	// Linked tells the address that this host's own reports go to; set before Run.
	LinkedAddress func() string

	// Hosts tells how many hosts the one had that acted before; set before Run.
	FormerHostCount func() int

	encodings encodings
	lists     listSends
	published published
	announced chan struct{} // has a token while there is something to announce

	mu        sync.Mutex
	units     map[string]*unit             // by upstream; kept while this host acts
	held      changes.Log[*unit]           // in which order what they hold changed
	looked    look                         // at what the units are of
	traits    map[string]*residency.Traits // of upstreams, by service
	revision  uint64                       // rises when what the units hold changes
	term      lease.Term
	lastEpoch uint64               // that this host held
	holds     bool                 // the lease, at the last look
	quiet     time.Time            // until when no order is sent
	ordered   time.Time            // the last order that may have been sent, by this host or one before it; zero: none
	whole     bool                 // orders holds all that were sent lately
	orders    map[string]lastOrder // by upstream
	former    handover
	handed    handed
}

// newestUnit is when an upstream was first seen last.
func (c *Coordinator) newestUnit() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// relayPeriods is how many reports of a host there are at least in the time for which
// it goes by a relay, so that one that is lost does not send it to the store.
const relayPeriods = 3

// New makes a Coordinator.
func New(cfg Config, deps Deps) *Coordinator {
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.New()
	}
	if cfg.Policy == (replica.Policy{}) {
		cfg.Policy = replica.DefaultPolicy
	}
	if cfg.AdapterLoadTime == 0 {
		cfg.AdapterLoadTime = defaultAdapterLoad
	}
	c := &Coordinator{cfg: cfg, deps: deps, id: rand.Uint64() | 1, now: deps.Now, demand: newDemand(), speeds: newSpeeds(), units: map[string]*unit{},
		announced: make(chan struct{}, 1), traits: map[string]*residency.Traits{}, orders: map[string]lastOrder{}, stores: storeLoads{window: cfg.CeilingWindow, over: cfg.CeilingFactor}}
	c.sums = newSums(cfg.Address, c.runsModelsAt)
	c.sums.longest = cfg.MaxRelayAge / relayPeriods
	c.turns, c.accounts, c.quarantine = newTurns(c), newAccounts(c), newQuarantine(c)
	return c
}

// tick is how often books and plans are looked at.
const tick = 200 * time.Millisecond

// planPause is how many times as long as a plan took the next one waits, so that
// plans of thousands of upstreams leave the processor to turns.
const planPause = 20

// idleTick is that of a host that does not act.
const idleTick = time.Second

// Run acts until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	var next time.Time // plan
	for c.pause(ctx) {
		c.follow()
		c.turns.sweep()
		began := time.Now()
		if c.mayOrder(0) != nil || began.Before(next) {
			continue
		}
		c.plan(ctx)
		now := time.Now()
		next = now.Add(planPause * now.Sub(began))
	}
	return ctx.Err()
}

// pause waits for the next look; it says no when ctx ends.
func (c *Coordinator) pause(ctx context.Context) bool {
	taken, acts := c.deps.Lease.Acquired(), c.begins.Next()
	if c.Acting() {
		return pace.Sleep(ctx, tick)
	}
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-taken:
	case <-acts:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

// linked is the address of the host that holds the lease; "": not known.
func (c *Coordinator) linked() string {
	if c.LinkedAddress == nil {
		return ""
	}
	return c.LinkedAddress()
}

// HoldsLease says whether this host holds the lease now.
func (c *Coordinator) HoldsLease() bool {
	_, ok := c.deps.Lease.Term()
	return ok
}

// Acting says whether this host sums up loads and gives turns. It does so while
// it holds the lease, and after its lease ran out, as it does while the store
// is away, for as long as nobody else is known to have taken it: neither needs
// more authority than that hosts ask, and without it they would all decide by
// themselves and look for the store at once. Orders need the lease.
func (c *Coordinator) Acting() bool {
	return c.HoldsLease() || c.deps.Lease.Lapsed() || c.standingIn.Load()
}

// standIn has this host act without ever having held the lease, until standBack.
func (c *Coordinator) standIn() {
	if c.standingIn.Swap(true) {
		return
	}
	c.begins.Notify()
	c.beginCounts(c.now())
	c.deps.Log.Emit(event.ActingCoordinator, zap.Duration("store_age", c.deps.Feed.StoreAge()))
}

// beginCounts forgets what this host counted when it acted before: others have
// counted since, for as many hosts as they told.
func (c *Coordinator) beginCounts(now time.Time) {
	c.accounts.begin()
	c.quarantine.begin()
	c.turns.begin()
	if c.FormerHostCount != nil {
		c.sums.expect(c.FormerHostCount(), now)
	}
}

// standBack ends that.
func (c *Coordinator) standBack() { c.standingIn.Store(false) }

// follow notices a new term and, while this host acts, brings the accounts of
// upstreams up to date with what they say of themselves.
func (c *Coordinator) follow() {
	now := c.now()
	term, held := c.deps.Lease.Term()
	acts := held || c.Acting()
	c.mu.Lock()
	defer c.mu.Unlock()
	if held && (!c.holds || term.Epoch != c.term.Epoch) {
		c.beginLocked(term, now)
	}
	c.holds, c.term = held, term
	if held {
		c.lastEpoch = term.Epoch
	}
	maps.DeleteFunc(c.orders, func(_ string, o lastOrder) bool { return now.Sub(o.at) > c.cfg.QuietPeriod })
	if acts {
		c.bookLocked(now)
	}
}

// look is up to where the upstreams were looked at.
type look struct {
	config     *deploy.Config
	membership uint64 // of the fleet
	state      uint64 // of its list
}

// bookLocked opens and closes accounts as upstreams come and go, and enters what
// their descriptions say. Most looks find a few new descriptions.
func (c *Coordinator) bookLocked(now time.Time) {
	table := c.deps.Config.Current()
	if table == nil {
		return
	}
	next := look{table.Config, c.deps.Fleet.MembershipVersion(), c.looked.state}
	var described []*fleet.Entry
	described, next.state = c.deps.Fleet.DescribedSince(c.looked.state)
	if c.looked.config != next.config || c.looked.membership != next.membership {
		c.bookAllLocked(table, now)
	} else {
		for _, e := range described {
			if u := c.units[e.ID()]; u != nil && u.entry == e && u.describe(now) {
				c.changedLocked(u)
			}
		}
	}
	c.looked = next
}

func (c *Coordinator) bookAllLocked(table *deploy.Table, now time.Time) {
	seen := map[string]bool{}
	for _, e := range c.deps.Fleet.All() {
		s, ok := table.Service(e.Service())
		if !ok || s.Engine == nil {
			continue
		}
		seen[e.ID()] = true
		u := c.units[e.ID()]
		if u == nil || u.entry != e {
			c.openLocked(e, s, u, now)
			continue
		}
		if u.describe(now) {
			c.changedLocked(u)
		}
	}
	for id, u := range c.units {
		if !seen[id] {
			delete(c.units, id)
			c.held.Forget(u)
		}
	}
}

// openLocked opens the account of an upstream's process; former is that of the
// process before, or nil.
func (c *Coordinator) openLocked(e *fleet.Entry, s *deploy.Service, former *unit, now time.Time) {
	u := newUnit(c, e, s.Engine, now)
	u.book.ShareTraits(c.traitsLocked(s.Name))
	if former != nil { // the upstream has started again under its ID
		u.book.InheritUnconfirmed(former.doubts(now))
		c.held.Forget(former)
	}
	c.units[e.ID()] = u
	c.newest = now
	c.changedLocked(u)
}

// traitsLocked is what was learnt of a service's upstreams. It outlives terms.
func (c *Coordinator) traitsLocked(service string) *residency.Traits {
	t := c.traits[service]
	if t == nil {
		t = &residency.Traits{}
		c.traits[service] = t
	}
	return t
}

// changed tells the hosts, with their next reports, what an upstream holds now,
// if that is not what they were told last: an upstream's report, asked for
// several times during each move, mostly shows what is known.
func (c *Coordinator) changed(u *unit) {
	c.mu.Lock()
	c.changedLocked(u)
	c.mu.Unlock()
}

// changedLocked sets both numbers under one lock: a report that is answered
// with the new one must find the unit's change.
func (c *Coordinator) changedLocked(u *unit) {
	if !u.news() && u.revision.Load() > 0 {
		return
	}
	c.revision++
	u.revision.Store(c.revision)
	c.held.Record(u, c.revision)
}

func (c *Coordinator) unit(id string) (*unit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.units[id]
	return u, ok
}

func (c *Coordinator) allUnits() []*unit {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*unit, 0, len(c.units))
	for _, u := range c.units {
		out = append(out, u)
	}
	return out
}
