package host

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/budget"
	leasing "peridotpier.example/core/lease"
	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/coordinator"
	"peridotpier.example/node/coordinator/link"
	"peridotpier.example/node/coordinator/orders"
	"peridotpier.example/node/coordinator/streams"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/gate"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/origin"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/quarantine"
	"peridotpier.example/node/reach"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/conn"
)

// Platform holds the interfaces to the platform, which an adapter implements.
type Platform struct {
	Source follow.Source
	Table  store.Table
	Eras   *store.Eras // of the store, as the adapter sees them
	Codec  gate.Codec
	Orders orders.Client
	// Trial returns a request to the upstream at an address which it answers without work.
	Trial func(address string) *conn.Request
}

// Deps are the dependencies of a Host.
type Deps struct {
	Settings       *Settings
	Platform       Platform
	Client         *conn.Client // to upstreams
	Log            *event.Log
	Metrics        *metrics.Set
	DroppedLines   func() int64              // returns the number of lines that the log dropped for lack of room; nil means none
	ReloadSettings func() (*Settings, error) // reads the settings file again
	ReloadSignal   <-chan struct{}           // receives a value on SIGHUP
	Detour         gate.Detour               // the way to upstreams through other hosts; nil: the hosts that the coordinator names
}

// Host is one entry host.
type Host struct {
	deps           Deps
	settings       *Settings
	log            *event.Log
	config         *follow.ActiveConfig
	fleet          *fleet.Fleet
	reach          *reach.Monitor
	gate           *gate.Gate
	clients        *connlimit.Limiter // of callers, other hosts' requests and the host's own pages
	peers          *connlimit.Limiter // of other hosts' messages
	crashes        *quarantine.CrashDetector
	guard          *quarantine.Guard
	origins        *origin.Registry
	streams        *streams.Keeper
	feed           *follow.Follower
	lease          *lease.Lease
	coord          *coordinator.Coordinator
	link           *link.Link
	callers        *callerServer
	overload       *overload
	detours        *callerServer // of requests that other hosts forward; nil: none
	ready          *http.Server
	metrics        *http.Server
	draining       atomic.Bool   // the host is stopping, and callers should use another one
	closing        atomic.Bool   // new requests are rejected
	abortRequests  func()        // aborts the current requests
	releaseWaiting func()        // ends the long waits of requests
	listed         chan struct{} // closed once the list of upstreams was received
	listOnce       atomic.Bool
	stopped        chan struct{} // closed when the stop is complete
	started        time.Time
}

// New returns a host whose listener for callers is open; Run opens the others.
func New(d Deps) (*Host, error) {
	set := d.Settings
	h := &Host{deps: d, settings: set, log: d.Log, config: follow.NewActiveConfig(d.Log), listed: make(chan struct{}), stopped: make(chan struct{}), started: time.Now()}
	h.fleet = fleet.New(fleet.Config{DataCentre: set.DataCentre, RecoveryGrace: milliseconds(set.Bounds.LapseMs), MassRemovalGrace: milliseconds(set.Bounds.DrainMs * massRemovalGraceShare),
		StaleEntryTTL: milliseconds(set.Bounds.HeartbeatMs * heartbeatsUntilRemoval)},
		fleet.Deps{Log: d.Log, OnForgotten: d.Client.Forget, OnListChange: h.listChanged, OnUrgentChange: h.announceUrgent})
	h.reach = h.newReachMonitor()
	h.config.OnChange(h.announce)
	d.Platform.Eras.OnChange(func(was, now uint64) {
		h.log.Emit(event.StoreRestored, zap.Uint64("was", was), zap.Uint64("era", now))
	})
	d.Metrics.SetFunc(metrics.StoreEra, func() any { return d.Platform.Eras.Newest() })
	h.controlPath()
	aborted, abortRequests := context.WithCancel(context.Background())
	h.abortRequests = abortRequests
	released, releaseWaiting := context.WithCancel(context.Background())
	h.releaseWaiting = releaseWaiting
	h.guard = quarantine.NewGuard(quarantine.GuardDeps{Connected: h.link.Linked, Log: d.Log, Metrics: d.Metrics})
	h.link.Quarantine = h.guard
	h.crashes = quarantine.NewCrashDetector(quarantine.CrashDetectorDeps{NotListening: h.hasTerminated, OnCrash: h.recordCrash, Log: d.Log, Metrics: d.Metrics})
	h.gate = gate.New(gate.Deps{HoldLimitContext: released, StopContext: aborted, Config: h.config, Fleet: h.fleet, Client: d.Client, Codec: d.Platform.Codec, Coordinator: h.link, TeamLimits: h.link, CrashRecorder: h.crashes, PoisonGuard: h.guard, Origins: h.link,
		RetryBudget: gate.NewRetryBudget(repeatPolicy(set), h.link), Log: d.Log, Metrics: d.Metrics, Draining: h.draining.Load, RejectsNew: h.closing.Load, DisconnectReason: disconnectReason, BodyRefused: connlimit.Refused, ResponseMemory: h.newResponseMemory(), RetainBody: func(bytes int64) func() { return h.clients.Retain(bytes) },
		Detour: h.detour(), HostName: set.Host, LendLimit: lendLimit(set.Limits)})
	h.limitMemory()
	return h, h.listen()
}

// maxRelayAgeShare is the share of Bounds.DrainMs, in which a draining upstream may
// still get requests, for which a store relay is used without an update.
const maxRelayAgeShare = 0.6

// heartbeatsUntilRemoval is how many heartbeats of an upstream may be missed until the
// platform has removed its entry, and one more for the entry to be removed at this host.
const heartbeatsUntilRemoval = 4

// massRemovalGraceShare is the share of Bounds.DrainMs, in which a draining upstream may
// still get requests, for which upstreams stay in use whose entries are removed in
// large numbers.
const massRemovalGraceShare = 0.6

// limitMemory prevents the process from being killed for its memory use: above the
// limit the garbage collector runs more often, so that the heap grows less.
func (h *Host) limitMemory() {
	debug.SetMemoryLimit(connlimit.HeapLimit(h.settings.Limits.MemoryMB))
}

func (h *Host) listen() error {
	ln, err := net.Listen("tcp", h.settings.Callers)
	if err != nil {
		return eris.Wrapf(err, "listen for callers at %s", h.settings.Callers)
	}
	if h.overload, err = h.newOverload(); err != nil {
		return err
	}
	attempt := func(head http.Header) string { return h.deps.Platform.Codec.DecodeRequest(head).AttemptID }
	h.limitClients()
	h.callers = newCallerServer(h.clients.Listen(ln, "callers"), h.gate, h.callerIdleTimeout, newConnLog(h.deps.Log, h.deps.Metrics, attempt), h.overload.Controller)
	if err := h.listenForDetours(); err != nil {
		return err
	}
	h.ready, h.metrics = newPageServer(h.readinessPage()), newPageServer(h.metricsPage())
	return nil
}

const (
	// leaseName is the name of the coordinator lease.
	leaseName = "coordinator"
	// leaseTTL bounds the time without a coordinator after the lease holder was lost.
	// With a renewal every 0.5 s the lease costs two calls to the store a second.
	leaseTTL = 1500 * time.Millisecond
	// leaseTryTimeout bounds one try of a renewal: several tries fit into leaseTTL, even
	// if the store takes a quarter of a second to answer.
	leaseTryTimeout = 400 * time.Millisecond
	// maxOrderTransit is how long the last order of a former lease holder may be in transit.
	maxOrderTransit = 100 * time.Millisecond
)

// repeatPolicy returns the allowance of repeats that all hosts share.
func repeatPolicy(s *Settings) budget.Policy {
	return budget.Policy{Ratio: s.Bounds.RepeatRatio, Slack: s.Bounds.RepeatSlack, Window: seconds(s.Bounds.RepeatWindowS)}
}

// controlPath creates the parts that coordinate the deployment: the lease, the
// follower, the coordinator and the link to it.
func (h *Host) controlPath() {
	set, d := h.settings, h.deps
	table := countedTable{d.Platform.Table, d.Metrics}
	relayFresh := milliseconds(set.Bounds.DrainMs * maxRelayAgeShare)
	holder := wire.HolderName(set.Host, set.Peers, uuid.NewString())
	h.lease = lease.New(lease.Config{Name: leaseName, Holder: holder, HasTerminated: wire.FormerProcessOf(holder),
		TryTimeout: leaseTryTimeout, Policy: leasing.Policy{TTL: leaseTTL, Margin: leasing.DefaultMargin, ClockRate: leasing.DefaultClockRate}},
		lease.Deps{Table: table, Era: d.Platform.Eras.Newest, Settled: func(epoch uint64) bool { return h.coord.IsSettled(epoch) }, Log: d.Log})
	h.feed = follow.New(follow.Deps{Source: d.Platform.Source, Eras: d.Platform.Eras, Config: h.config, Upstreams: h.fleet, Log: d.Log, Metrics: d.Metrics,
		OthersProbeFirst:    func() bool { return !h.link.Candidate() && !h.coord.Acting() },
		LinkedToCoordinator: func() bool { return h.link.LinkedWithoutLease() },
		NotNeededYet:        func() bool { return set.FirstStart },
		MaxRelayAge:         relayFresh,
		IsRelaying:          func() bool { return h.coord.Acting() }, OnListed: h.upstreamsListed})
	h.origins = origin.NewRegistry(time.Now())
	d.Metrics.SetFunc(metrics.LimitPromises, func() any { made, _ := h.coord.LimitPromises(); return made })
	d.Metrics.SetFunc(metrics.LimitPromisesKept, func() any { _, kept := h.coord.LimitPromises(); return kept })
	d.Metrics.SetFunc(metrics.OriginsKept, func() any { return h.origins.Len() })
	h.streams = streams.New(streams.Deps{Table: table, Registry: h.origins, Host: set.Host, Acting: func() bool { return h.coord.Acting() }, Log: d.Log, Now: time.Now})
	h.coord = coordinator.New(coordinator.Config{Host: set.Host, Holder: holder, Address: set.Peers, QuietPeriod: milliseconds(set.Bounds.LeaseMs) + maxOrderTransit,
		CeilingWindow: seconds(set.Bounds.CeilingWindowS), CeilingFactor: set.Bounds.CeilingOver, Repeats: repeatPolicy(set), LimitSlack: set.Bounds.LimitSlack, MaxRelayAge: relayFresh, LinkMbps: set.Limits.LinkMbps, NoModelMoves: set.NoModelMoves},
		coordinator.Deps{Fleet: h.fleet, Config: h.config, Lease: h.lease, Orders: d.Platform.Orders, Table: table, Feed: h.feed, Log: d.Log, Origins: h.origins, LoadHistory: h.streams.LoadHistory, Metrics: d.Metrics})
	h.link = link.New(link.Config{Host: set.Host, DataCentre: set.DataCentre, Address: set.Peers, DetourAddress: set.Detours, Seeds: set.Seeds, HasSpareCapacity: func(hosts int) bool { return hasSpareCapacity(set.Limits, hosts) },
		Draining: h.draining.Load, Partitioned: h.reach.Partitioned},
		link.Deps{Own: h.coord, Fleet: h.fleet, Config: h.config, Feed: h.feed, Lease: h.lease, Dial: conn.NewDialer().DialContext, Log: d.Log, Origins: h.origins, LoadOrigins: h.streams.Load, LoadHistory: h.streams.LoadHistory, Metrics: d.Metrics})
	h.coord.LinkedAddress, h.coord.FormerHostCount, h.coord.LastTeamState = h.link.CoordinatorAddress, h.link.FormerHostCount, h.link.TeamState
}

// Run serves until ctx ends, then stops gracefully: it aborts no request before the
// grace period of the platform is over.
func (h *Host) Run(ctx context.Context) error {
	h.log.Emit(event.HostStarting, zap.String("host", h.settings.Host), zap.String("data_centre", h.settings.DataCentre),
		zap.String("callers", h.settings.Callers), zap.String("store", h.settings.Store), zap.Strings("seeds", h.settings.Seeds))
	// The parts that serve requests continue after ctx ends, until the stop is complete.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g run.Group
	h.add(&g, work, h.feed.RunConfig)
	h.add(&g, work, h.feed.RunUpstreams)
	h.add(&g, work, h.runChecks)
	h.add(&g, work, h.reach.Run)
	h.add(&g, work, h.coord.Run)
	h.add(&g, work, h.link.Run)
	h.add(&g, work, h.link.RunPermits)
	h.add(&g, work, h.link.RunOrigins)
	h.add(&g, work, h.link.RunVersions)
	h.add(&g, work, h.streams.Run)
	h.add(&g, work, h.coord.RunAnnouncements)
	h.add(&g, work, h.fetchFromPeers)
	h.add(&g, work, h.crashes.Run)
	h.add(&g, work, h.guard.Run)
	h.add(&g, work, h.overload.run)
	h.add(&g, work, h.coord.RunQuarantine)
	elector := &link.Elector{Lease: h.lease, Link: h.link, CampaignDelay: h.campaignDelay, StoreReachable: h.link.StoreReachable}
	h.add(&g, ctx, h.whileServing(elector.Run))
	h.servePeers(&g)
	h.add(&g, work, h.handleReloads)
	h.add(&g, work, h.logReady)
	h.serve(&g, h.ready, "readiness", h.settings.Readiness)
	if h.settings.Metrics != "" {
		h.serve(&g, h.metrics, "metrics", h.settings.Metrics)
	}
	g.Add(h.callers.serve, func(error) { h.callers.close() })
	h.serveDetours(&g)
	g.Add(func() error { return h.stopOn(ctx, work) }, func(error) { end() })
	return g.Run()
}

func (h *Host) add(g *run.Group, ctx context.Context, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// serve adds the server of one of the host's own pages to g.
func (h *Host) serve(g *run.Group, s *http.Server, name, address string) {
	g.Add(func() error {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen at %s", address)
		}
		return s.Serve(h.clients.Listen(ln, name))
	}, func(error) { _ = s.Close() })
}

// servePeers adds the listener for other hosts to g.
func (h *Host) servePeers(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		ln, err := net.Listen("tcp", h.settings.Peers)
		if err != nil {
			return eris.Wrapf(err, "listen for peers at %s", h.settings.Peers)
		}
		return h.coord.Serve(ctx, h.peers.ListenForMessages(ln, "peers"))
	}, func(error) { cancel() })
}

// whileServing returns a function that runs f, and then waits until the stop is
// complete. f thus ends at the stop signal without ending the process: the lease is
// handed over at once, while the current requests are finished.
func (h *Host) whileServing(f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		_ = f(ctx) // f ends only with ctx
		<-h.stopped
		return nil
	}
}

const (
	// The minCoordinator constants are the resources that an acting coordinator should
	// have, in any case and for each host: its work grows with the number of hosts.
	// The acting coordinator of 986 hosts takes 0.00037 cores and 0.26 MB for each host.
	minCoordinatorCores           = 0.35
	minCoordinatorCoresPerHost    = 0.0006
	minCoordinatorLinkMbps        = 50
	minCoordinatorLinkMbpsPerHost = 0.1
	minCoordinatorMemoryMBPerHost = 0.4
	// campaignDelayLowCapacity is how long a host with less waits before it campaigns
	// for the lease.
	campaignDelayLowCapacity   = 800 * time.Millisecond
	campaignDelaySpareCapacity = 40 * time.Millisecond
)

// campaignDelay returns how long this host waits before it campaigns for the lease;
// hosts with spare capacity go first.
func (h *Host) campaignDelay() time.Duration {
	if !h.link.HasSpareCapacity() {
		return campaignDelayLowCapacity
	}
	return campaignDelaySpareCapacity
}

// hasSpareCapacity reports whether a host with these limits has enough capacity to
// coordinate the given number of hosts. A limit of 0 means unlimited.
func hasSpareCapacity(l Limits, hosts int) bool {
	n := float64(hosts)
	return (l.Cores == 0 || l.usualCores() >= max(minCoordinatorCores, minCoordinatorCoresPerHost*n)) &&
		(l.LinkMbps == 0 || l.LinkMbps >= max(minCoordinatorLinkMbps, minCoordinatorLinkMbpsPerHost*n)) &&
		(l.MemoryMB == 0 || float64(l.MemoryMB) >= minCoordinatorMemoryMBPerHost*n)
}

// peerFetchDelay is how long a starting host waits for the store before it asks peers,
// and between two such requests.
const peerFetchDelay = time.Second

// fetchFromPeers fetches the configuration and the upstreams from peers while the store
// gives this host no configuration.
func (h *Host) fetchFromPeers(ctx context.Context) error {
	for pace.Sleep(ctx, peerFetchDelay) {
		if h.config.Current() != nil {
			break
		}
		h.link.FetchState(ctx)
	}
	if h.config.Current() != nil && len(h.fleet.All()) > 0 {
		h.upstreamsListed()
	}
	<-ctx.Done()
	return ctx.Err()
}

func (h *Host) upstreamsListed() {
	if h.listOnce.CompareAndSwap(false, true) {
		close(h.listed)
	}
}

// isReady reports whether the load balancer should send callers to this host.
func (h *Host) isReady() bool {
	return h.config.Current() != nil && h.listOnce.Load() && !h.draining.Load() && !h.mayLackChanges()
}

// mayLackChanges reports whether this host has just started and knows only what it has read
// from a store that was restored from a copy. Others may have in force what the copy
// lacks, and send it once this host is linked.
func (h *Host) mayLackChanges() bool {
	return h.deps.Platform.Eras.Newest() > 0 && !h.link.HasState() && time.Since(h.started) < peerFetchDelay
}

// listChanged passes a change of the list of upstreams on.
func (h *Host) listChanged() {
	h.link.ListChanged()
	h.announce()
}

// announce wakes the coordinator so that, if this host is the acting one, it publishes
// the new state to all hosts.
func (h *Host) announce() { h.coord.Announce() }

// announceUrgent reports what this host observed to the acting coordinator without
// delay, and publishes it if this host is the acting one.
func (h *Host) announceUrgent() {
	h.link.ReportSoon()
	h.coord.Announce()
}

// logReady logs when the host has both a configuration and the list of upstreams.
func (h *Host) logReady(ctx context.Context) error {
	for _, c := range []<-chan struct{}{h.config.FirstApplied(), h.listed} {
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	h.log.Emit(event.HostReady, zap.Int64("after_ms", time.Since(h.started).Milliseconds()), zap.Int("upstreams", len(h.fleet.All())), zap.Uint64("store_era", h.deps.Platform.Eras.Newest()))
	<-ctx.Done()
	return ctx.Err()
}

const (
	// checkInterval is how often the host checks for unresponsive upstreams: a fraction
	// of the time after which an upstream counts as unresponsive.
	checkInterval = 100 * time.Millisecond
	// idleCheckInterval is the interval of the same checks while none is pending.
	idleCheckInterval = 500 * time.Millisecond
)

func (h *Host) runChecks(ctx context.Context) error {
	dropped := int64(0)
	for h.waitForCheck(ctx) {
		dropped = h.logDropped(dropped)
		h.fleet.RunChecks()
		h.closeExpired(time.Now())
		if h.draining.Load() {
			h.releaseWaiting()
		}
	}
	return ctx.Err()
}

// waitForCheck waits until the next checks are due. It returns false when ctx ends.
func (h *Host) waitForCheck(ctx context.Context) bool {
	wake := h.fleet.ChecksNeeded()
	if h.fleet.HasPendingChecks() {
		return pace.Sleep(ctx, checkInterval)
	}
	return pace.SleepOrWake(ctx, idleCheckInterval, wake) && pace.Sleep(ctx, checkInterval)
}

// logDropped logs how many log lines were dropped beyond the given count of the last
// call, and returns the new count.
func (h *Host) logDropped(before int64) int64 {
	if h.deps.DroppedLines == nil {
		return 0
	}
	now := h.deps.DroppedLines()
	if now > before {
		h.log.Emit(event.LogDropped, zap.Int64("count", now-before))
	}
	return now
}

// callerIdleTimeout returns how long a caller's connection may stay idle.
func (h *Host) callerIdleTimeout() time.Duration {
	if t := h.config.Current(); t != nil && t.Config.Limits.IdleTimeout > 0 {
		return t.Config.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// defaultIdleTimeout applies as long as no configuration sets a timeout.
const defaultIdleTimeout = 30 * time.Second
