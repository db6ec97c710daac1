// Package coordinator contains the part of a host that can coordinate the whole
// deployment: it aggregates the load that all hosts have sent to each upstream, gives
// the upstreams their orders, grants dispatch permits and publishes to the hosts which
// models the upstreams have resident.
//
// Every host runs a Coordinator. The hosts use the one whose host holds the lease, the
// acting coordinator; see Coordinator.Acting. They request a permit from it for each
// request for a model, and ask it to load an adapter that no upstream has resident. A
// host that reaches no coordinator, or gets no answer in time, decides by what it
// observes itself.
//
// Each job has a package below this one: reports adds up what the hosts report, demand
// knows which models are requested, permits decides where requests are dispatched,
// accounts counts the use of the teams' limits, quarantine bars requests that crash
// upstreams, moves keeps the upstreams' records and gives them orders, and relay sends the
// store's state. A host's side of all of it is the package link. This package connects
// them, answers the calls of other hosts, and keeps what binds the orders to the lease: its
// terms, their quiet periods and the handover to the next holder.
//
// The mutex of a Coordinator guards the term and the orders that were given lately. It is
// taken before those of the parts, and no part takes it under its own. What it guards grows
// with the upstreams that were given orders within the quiet period; a report costs what it
// contains, and an answer is bounded, whatever the number of hosts, upstreams and models.
package coordinator

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/budget"
	"peridotpier.example/core/distance"
	"peridotpier.example/core/quota"
	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/moves"
	"peridotpier.example/node/coordinator/orders"
	"peridotpier.example/node/coordinator/permits"
	"peridotpier.example/node/coordinator/quarantine"
	"peridotpier.example/node/coordinator/relay"
	"peridotpier.example/node/coordinator/repeats"
	"peridotpier.example/node/coordinator/reports"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/origin"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

// Config holds the settings of a Coordinator.
type Config struct {
	Host            string
	Holder          string        // name of this process in the lease, as HolderName makes it
	Address         string        // address that Serve listens on
	QuietPeriod     time.Duration // time without orders after the lease was taken from another holder
	CeilingWindow   time.Duration // length of the sliding window over which loads from the weight store are bounded
	CeilingFactor   float64       // factor on the weight store's rate in that bound
	Repeats         budget.Policy // allowance of repeats of each service over all hosts
	LimitSlack      float64       // amount by which operators allow a team's limit to be missed, in the limit's unit
	Policy          replica.Policy
	MaxRelayAge     time.Duration // maximum age of relayed store state that hosts may use; 0: unbounded
	MaxReportRate   int           // maximum reports per second of all hosts together; 0: the default
	LinkMbps        float64       // speed of this host's link in megabits a second; 0: unknown
	AdapterLoadTime time.Duration // time that loading an adapter takes; 0: the default
	NoModelMoves    bool          // leaves models where they are, to measure what moves gain
}

// Deps are the dependencies of a Coordinator.
type Deps struct {
	Fleet  *fleet.Fleet
	Config *follow.ActiveConfig
	Lease  *lease.Lease
	Orders orders.Client
	Table  store.Table
	Feed   *follow.Follower
	Log    *event.Log
	// Origins keeps which version of the software began each stream; nil: a separate one
	// is made.
	Origins *origin.Registry
	// LoadHistory reads what hosts knew of streams that ended before this one started, unless
	// that was done before, and reports whether it is known; nil: it never is.
	LoadHistory func(ctx context.Context) bool
	// Metrics are the host's metrics; nil: a separate set is made.
	Metrics *metrics.Set
	Now     func() time.Time
}

// Coordinator coordinates the whole deployment while its host is the acting
// coordinator; see Acting.
type Coordinator struct {
	cfg        Config
	deps       Deps
	id         uint64 // random number of this process, never 0
	now        func() time.Time
	aggregate  *reports.Aggregate
	demand     *demand.Demand
	speeds     *demand.Speeds
	permits    *permits.Permits
	accounts   *accounts.Teams
	repeats    *repeats.Ledger
	quarantine *quarantine.Ledger
	storeLoads *moves.StoreLoads
	distances  *distance.Estimator
	planner    *moves.Planner

	unconfirmedStoreLoads func() int // returns how many loads from the weight store were ordered and may still be carried out

	actingWithoutLease atomic.Bool // this host is acting without ever having held the lease
	actingStarted      pace.Signal // notified when actingWithoutLease is set

	// LinkedAddress returns the address that this host sends its reports to. It is
	// optional and set before Run.
	LinkedAddress func() string

	// FormerHostCount returns how many hosts the previous acting coordinator had. It is
	// optional and set before Run.
	FormerHostCount func() int

	// LastTeamState returns the state of a team's account as another coordinator last
	// sent it to this host. It is optional and set before Run.
	LastTeamState func(team string) (quota.KnownState, bool)

	startedAt  time.Time
	clockStart uint64 // what the process's clock showed then, see clockMs

	relay           *relay.Relay
	announcePending chan struct{} // holds a token while an announcement is pending

	mu              sync.Mutex
	term            lease.Term
	lastEpoch       uint64               // the last epoch in which this host held the lease
	acted           bool                 // whether this host was acting at the last refresh
	followed        bool                 // whether all hosts have reported to this one since it last held the lease
	quietUntil      time.Time            // no order is sent before this time
	lastOrderAt     time.Time            // when the last order may have been sent, by this host or a predecessor; zero: never
	ordersKnownFrom time.Time            // from then on lastOrders contains all recent orders
	lastOrders      map[string]lastOrder // by upstream ID
	predecessor     handover
	sentHandover    sentHandover
}

// minReportsPerRelayAge is how many reports a host makes at least within MaxRelayAge,
// so that one lost report doesn't make the host read the store itself.
const minReportsPerRelayAge = 3

// New returns a Coordinator that is not running yet.
func New(cfg Config, deps Deps) *Coordinator {
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.New()
	}
	if deps.Origins == nil {
		deps.Origins = origin.NewRegistry(deps.Now())
	}
	c := &Coordinator{cfg: cfg, deps: deps, id: rand.Uint64() | 1, clockStart: rand.Uint64()>>1 | 1, startedAt: deps.Now(), now: deps.Now, demand: demand.New(), speeds: demand.NewSpeeds(),
		announcePending: make(chan struct{}, 1), lastOrders: map[string]lastOrder{}, storeLoads: moves.NewStoreLoads(cfg.CeilingWindow, cfg.CeilingFactor)}
	c.aggregate = reports.New(reports.Config{OwnAddress: cfg.Address, RunsModels: c.runsModelsAt, MaxPeriod: cfg.MaxRelayAge / minReportsPerRelayAge, MaxRate: cfg.MaxReportRate})
	c.accounts = accounts.New(accounts.Deps{Config: deps.Config, LimitSlack: cfg.LimitSlack, ReportingShare: c.aggregate.ReportingShare, LastState: c.lastTeamState})
	c.repeats = repeats.New(cfg.Repeats)
	c.distances = distance.NewEstimator(deps.Fleet.DataCentre())
	c.quarantine = quarantine.New(quarantine.Deps{Lease: deps.Lease, Table: deps.Table, Log: deps.Log, Now: deps.Now})
	c.permits = permits.New(permits.Deps{Fleet: deps.Fleet, Log: deps.Log, Reports: c.aggregate, Accounts: c.accounts, Speeds: c.speeds, Engine: c.engine, Config: deps.Config, Metrics: deps.Metrics, RoundTrip: c.distances.RoundTrip, Now: func() time.Time { return c.now() }})
	c.relay = c.newRelay()
	c.planner = moves.New(moves.Deps{Fleet: deps.Fleet, Config: deps.Config, Term: c, Orders: deps.Orders, Demand: c.demand, StoreLoads: c.storeLoads, Log: deps.Log, Metrics: deps.Metrics, Now: func() time.Time { return c.now() },
		Policy: cfg.Policy, AdapterLoadTime: cfg.AdapterLoadTime, NoModelMoves: cfg.NoModelMoves})
	c.unconfirmedStoreLoads = c.planner.UnconfirmedStoreLoads
	return c
}

func (c *Coordinator) newRelay() *relay.Relay {
	return relay.New(relay.Deps{Fleet: c.deps.Fleet, Config: c.deps.Config, Feed: c.deps.Feed, LinkMbps: c.cfg.LinkMbps, Now: func() time.Time { return c.now() }})
}

// runInterval is how often an acting coordinator refreshes its upstreams and plans
// moves.
const runInterval = 200 * time.Millisecond

// idleInterval is the interval of a host that is not acting.
const idleInterval = time.Second

// Run coordinates until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	var next time.Time // when the next plan may begin
	for c.waitNext(ctx) {
		c.refresh()
		c.permits.Maintain()
		if c.MayOrder(0) != nil || time.Now().Before(next) {
			continue
		}
		pause := c.planner.Plan(ctx)
		next = time.Now().Add(pause)
	}
	return ctx.Err()
}

// waitNext waits until the next refresh is due. It returns false when ctx has ended.
func (c *Coordinator) waitNext(ctx context.Context) bool {
	taken, started := c.deps.Lease.Acquired(), c.actingStarted.Next()
	if c.Acting() {
		return pace.Sleep(ctx, runInterval)
	}
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-taken:
	case <-started:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

// linkedAddress returns the address of the acting coordinator; "": unknown.
func (c *Coordinator) linkedAddress() string {
	if c.LinkedAddress == nil {
		return ""
	}
	return c.LinkedAddress()
}

// RunQuarantine keeps the barred requests in the platform's store while this host holds
// the lease, until ctx ends.
func (c *Coordinator) RunQuarantine(ctx context.Context) error { return c.quarantine.Run(ctx) }

func (c *Coordinator) lastTeamState(team string) (quota.KnownState, bool) {
	if c.LastTeamState == nil {
		return quota.KnownState{}, false
	}
	return c.LastTeamState(team)
}

// LoadAdapter has an adapter loaded, at the given upstream if possible, and returns the
// upstream where it is ready.
func (c *Coordinator) LoadAdapter(ctx context.Context, upstream, model, adapter string) (string, error) {
	if !c.HoldsLease() {
		return "", wire.ErrNoLease
	}
	return c.planner.LoadAdapter(ctx, upstream, model, adapter)
}

// HoldsLease reports whether this host holds the lease now.
func (c *Coordinator) HoldsLease() bool {
	_, ok := c.deps.Lease.Term()
	return ok
}

// Acting reports whether this host is the acting coordinator: whether it aggregates
// loads and grants permits. It is while it holds the lease, and also after its lease
// expired, as happens while the store is unavailable, for as long as no other holder is
// known. Aggregation and permits need no authority beyond that hosts ask for them;
// without an acting coordinator all hosts would decide on their own and query the store
// at the same time. Orders need the lease.
func (c *Coordinator) Acting() bool {
	return c.HoldsLease() || c.deps.Lease.Lapsed() || c.actingWithoutLease.Load()
}

// ID returns the random number of this process.
func (c *Coordinator) ID() uint64 { return c.id }

// Permits returns the permits that this host grants while it is acting.
func (c *Coordinator) Permits() *permits.Permits { return c.permits }

// OtherHasSpareCapacity reports whether another host that reports here has enough spare
// capacity to coordinate.
func (c *Coordinator) OtherHasSpareCapacity() bool {
	return c.aggregate.AnyOtherWithSpareCapacity(c.now())
}

// OtherReachesUpstreams reports whether another host that reports here reaches upstreams
// and may take the lease: one with spare capacity, or a small one too.
func (c *Coordinator) OtherReachesUpstreams(small bool) bool {
	return c.aggregate.AnyOtherReaching(small, c.now())
}

// StartActing makes this host the acting coordinator although it has never held the
// lease, until StopActing.
func (c *Coordinator) StartActing() {
	if c.actingWithoutLease.Swap(true) {
		return
	}
	c.actingStarted.Notify()
	c.resetCounts(c.now())
	c.deps.Log.Emit(event.ActingCoordinator, zap.Duration("store_age", c.deps.Feed.StoreAge()))
}

// LimitPromises returns how many requests over their teams' limits were told a time that was
// kept free for them since this host began to act, and how many came back at it.
func (c *Coordinator) LimitPromises() (made, kept int) { return c.accounts.Promises() }

// LimitWaits returns how many requests wait here for their teams' limits.
func (c *Coordinator) LimitWaits() int { return c.permits.TeamWaits() }

// resetCounts drops what this host counted when it was acting before: another
// coordinator has counted since. The number of hosts that the other coordinator had is
// taken over.
func (c *Coordinator) resetCounts(now time.Time) {
	c.accounts.Reset()
	c.quarantine.Reset()
	c.permits.Reset()
	c.repeats.Reset()
	if c.FormerHostCount != nil {
		c.aggregate.ExpectHosts(c.FormerHostCount(), now)
	}
}

// StopActing reverts StartActing.
func (c *Coordinator) StopActing() { c.actingWithoutLease.Store(false) }

// refresh detects a new term and, while this host is acting, updates its records of the
// upstreams from their descriptions.
func (c *Coordinator) refresh() {
	now := c.now()
	term, holds := c.deps.Lease.Term()
	acting := holds || c.Acting()
	c.mu.Lock()
	defer c.mu.Unlock()
	if holds && term.Epoch != c.lastEpoch { // a term whose renewal was answered late goes on
		c.beginTermLocked(term, now)
	}
	c.acted, c.term = acting, term
	c.followed = holds || acting && c.followed && c.aggregate.AllFresh(now)
	if holds {
		c.lastEpoch = term.Epoch
	}
	maps.DeleteFunc(c.lastOrders, func(_ string, o lastOrder) bool { return now.Sub(o.at) > c.cfg.QuietPeriod })
	if acting {
		c.planner.Refresh(now)
	}
}
