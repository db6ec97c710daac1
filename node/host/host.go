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
	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/gate"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/quarantine"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/conn"
)

// Platform is what the host speaks to through an adapter.
type Platform struct {
	Source follow.Source
	Table  store.Table
	Codec  gate.Codec
	Orders coordinator.OrderClient
}

// Deps are what a Host is made of.
type Deps struct {
	Settings       *Settings
	Platform       Platform
	Client         *conn.Client // towards upstreams
	Log            *event.Log
	Metrics        *metrics.Set
	DroppedLines   func() int64              // lines that the log had no room for; nil: none
	ReloadSettings func() (*Settings, error) // the settings file, on SIGHUP
	ReloadSignal   <-chan struct{}
}

// Host is one entry host.
type Host struct {
	deps     Deps
	set      *Settings
	log      *event.Log
	config   *follow.ActiveConfig
	fleet    *fleet.Fleet
	gate     *gate.Gate
	crashes  *quarantine.CrashDetector
	guard    *quarantine.Guard
	feed     *follow.Follower
	lease    *lease.Lease
	coord    *coordinator.Coordinator
	link     *coordinator.Link
	callers  *callers
	ready    *http.Server
	metrics  *http.Server
	draining atomic.Bool   // callers should go elsewhere
	closing  atomic.Bool   // requests are not taken any more
	giveUp   func()        // ends the requests that are under way
	leave    func()        // ends the long waits of requests
	listed   chan struct{} // closed when the upstreams were read once
	listOnce atomic.Bool
	stopped  chan struct{} // closed when the stop is over
	started  time.Time
}

// New puts a host together and opens its listeners.
func New(d Deps) (*Host, error) {
	set := d.Settings
	h := &Host{deps: d, set: set, log: d.Log, config: follow.NewActiveConfig(d.Log), listed: make(chan struct{}), stopped: make(chan struct{}), started: time.Now()}
	h.fleet = fleet.New(fleet.Config{DataCentre: set.DataCentre, RecoveryGrace: milliseconds(set.Bounds.LapseMs), MassRemovalGrace: milliseconds(set.Bounds.DrainMs * massHoldShare)},
		fleet.Deps{Log: d.Log, OnForgotten: d.Client.Forget, OnListChange: h.announce, OnUrgentChange: h.hasten})
	h.config.OnChange(h.announce)
	h.controlPath()
	policy := budget.Policy{Ratio: set.Bounds.RepeatRatio, Slack: set.Bounds.RepeatSlack, Window: seconds(set.Bounds.RepeatWindowS)}
	ending, giveUp := context.WithCancel(context.Background())
	h.giveUp = giveUp
	leaving, leave := context.WithCancel(context.Background())
	h.leave = leave
	h.guard = quarantine.NewGuard(quarantine.GuardDeps{Connected: h.link.Linked, Log: d.Log, Metrics: d.Metrics})
	h.link.Quarantine = h.guard
	h.crashes = quarantine.NewCrashDetector(quarantine.CrashDetectorDeps{NotListening: d.Client.NotListening, OnCrash: h.crashed, Log: d.Log, Metrics: d.Metrics})
	h.gate = gate.New(gate.Deps{HoldLimitContext: leaving, StopContext: ending, Config: h.config, Fleet: h.fleet, Client: d.Client, Codec: d.Platform.Codec, Coordinator: h.link, TeamLimits: h.link, CrashRecorder: h.crashes, PoisonGuard: h.guard,
		RetryBudget: gate.NewRetryBudget(policy, h.link.Hosts), Log: d.Log, Metrics: d.Metrics, Draining: h.draining.Load, RejectsNew: h.closing.Load, DisconnectReason: connGone})
	h.limitMemory()
	return h, h.listen()
}

// relayFreshShare is the part of the time in which a leaving upstream may still
// get work for which a relay of the store's changes is trusted without news.
const relayFreshShare = 0.6

// massHoldShare is the part of the time in which a leaving upstream may still
// get work for which upstreams are used whose entries vanish in great number.
const massHoldShare = 0.6

// memoryShare is the part of the machine's memory that the runtime aims at.
// The rest covers what it does not count: sockets' buffers and stacks in use.
const memoryShare = 0.6

// limitMemory keeps the process from being ended by force: past the limit the
// collector works harder instead of the heap growing on.
func (h *Host) limitMemory() {
	debug.SetMemoryLimit(int64(float64(h.set.Limits.MemoryMB) * memoryShare * (1 << 20)))
}

func (h *Host) listen() error {
	ln, err := net.Listen("tcp", h.set.Callers)
	if err != nil {
		return eris.Wrapf(err, "listen for callers at %s", h.set.Callers)
	}
	attempt := func(head http.Header) string { return h.deps.Platform.Codec.DecodeRequest(head).AttemptID }
	h.callers = newCallers(ln, h.gate, h.idleBound, newConnLog(h.deps.Log, h.deps.Metrics, attempt))
	h.ready = &http.Server{Handler: h.readiness(), ReadHeaderTimeout: adminBound}
	h.metrics = &http.Server{Handler: h.metricsPage(), ReadHeaderTimeout: adminBound}
	return nil
}

// adminBound is how long the head of a request for a page of the host's own may take.
const adminBound = 2 * time.Second

const (
	// leaseName is the lease of the host that gives orders.
	leaseName = "coordinator"
	// leaseTTL bounds how long nobody gives orders after their giver was lost.
	// At a renewal every 0.5 s it costs two calls of the store a second.
	leaseTTL = 1500 * time.Millisecond
	// leaseTry bounds one try of a renewal: several fit into a term, also when
	// the store takes a quarter of a second.
	leaseTry = 400 * time.Millisecond
	// orderFlight is how long the last order of a former holder may be on its way.
	orderFlight = 100 * time.Millisecond
)

// controlPath puts together what acts for the whole deployment.
func (h *Host) controlPath() {
	set, d := h.set, h.deps
	table := countedTable{d.Platform.Table, d.Metrics}
	relayFresh := milliseconds(set.Bounds.DrainMs * relayFreshShare)
	holder := coordinator.HolderName(set.Host, set.Peers, uuid.NewString())
	h.lease = lease.New(lease.Config{Name: leaseName, Holder: holder, HasTerminated: coordinator.FormerProcessOf(holder),
		TryTimeout: leaseTry, Policy: leasing.Policy{TTL: leaseTTL, Margin: leasing.DefaultMargin, ClockRate: leasing.DefaultClockRate}},
		lease.Deps{Table: table, Log: d.Log})
	h.feed = follow.New(follow.Deps{Source: d.Platform.Source, Config: h.config, Upstreams: h.fleet, Log: d.Log, Metrics: d.Metrics,
		OthersProbeFirst:    func() bool { return !h.link.Candidate() && !h.coord.Acting() },
		LinkedToCoordinator: func() bool { return h.link.LinkedWithoutLease() },
		NotNeededYet:        func() bool { return set.FirstStart },
		MaxRelayAge:         relayFresh,
		IsRelaying:          func() bool { return h.coord.Acting() }, OnListed: h.upstreamsListed})
	h.coord = coordinator.New(coordinator.Config{Host: set.Host, Holder: holder, Address: set.Peers, QuietPeriod: milliseconds(set.Bounds.LeaseMs) + orderFlight,
		CeilingWindow: seconds(set.Bounds.CeilingWindowS), CeilingFactor: set.Bounds.CeilingOver, LimitSlack: set.Bounds.LimitSlack, MaxRelayAge: relayFresh, LinkMbps: set.Limits.LinkMbps, NoModelMoves: set.NoModelMoves},
		coordinator.Deps{Fleet: h.fleet, Config: h.config, Lease: h.lease, Orders: d.Platform.Orders, Table: table, Feed: h.feed, Log: d.Log, Metrics: d.Metrics})
	h.coord.LinkedAddress = func() string { return h.link.CoordinatorAddress() }
	h.link = coordinator.NewLink(coordinator.LinkConfig{Host: set.Host, DataCentre: set.DataCentre, Address: set.Peers, Seeds: set.Seeds, HasSpareCapacity: func(hosts int) bool { return ample(set.Limits, hosts) }}, h.coord, conn.NewDialer().DialContext, d.Log)
}

// Run serves until ctx ends, then stops without cutting anything off within
// the grace that the platform gives.
func (h *Host) Run(ctx context.Context) error {
	h.log.Emit(event.HostStarting, zap.String("host", h.set.Host), zap.String("data_centre", h.set.DataCentre),
		zap.String("callers", h.set.Callers), zap.String("store", h.set.Store), zap.Strings("seeds", h.set.Seeds))
	// What serves requests outlives ctx by the time that the stop takes.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g run.Group
	h.add(&g, work, h.feed.RunConfig)
	h.add(&g, work, h.feed.RunUpstreams)
	h.add(&g, work, h.sweep)
	h.add(&g, work, h.coord.Run)
	h.add(&g, work, h.link.Run)
	h.add(&g, work, h.link.RunPermits)
	h.add(&g, work, h.coord.RunAnnouncements)
	h.add(&g, work, h.fetch)
	h.add(&g, work, h.crashes.Run)
	h.add(&g, work, h.coord.RunQuarantine)
	lead := &coordinator.Elector{Lease: h.lease, Link: h.link, CampaignDelay: h.handicap, StoreReachable: h.link.StoreReachable}
	h.add(&g, ctx, h.whileServing(lead.Run))
	h.servePeers(&g)
	h.add(&g, work, h.hangups)
	h.add(&g, work, h.logReady)
	h.serve(&g, h.ready, h.set.Readiness)
	if h.set.Metrics != "" {
		h.serve(&g, h.metrics, h.set.Metrics)
	}
	g.Add(h.callers.serve, func(error) { h.callers.close() })
	g.Add(func() error { return h.stopOn(ctx, work) }, func(error) { end() })
	return g.Run()
}

func (h *Host) add(g *run.Group, ctx context.Context, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// serve adds a small server of the host's own pages.
func (h *Host) serve(g *run.Group, s *http.Server, address string) {
	g.Add(func() error {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen at %s", address)
		}
		return s.Serve(ln)
	}, func(error) { _ = s.Close() })
}

// servePeers adds the listener for other hosts.
func (h *Host) servePeers(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		ln, err := net.Listen("tcp", h.set.Peers)
		if err != nil {
			return eris.Wrapf(err, "listen for peers at %s", h.set.Peers)
		}
		return h.coord.Serve(ctx, ln)
	}, func(error) { cancel() })
}

// whileServing lets f end with the stop signal without ending the process: the
// lease is handed over at once, the requests under way are finished.
func (h *Host) whileServing(f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		_ = f(ctx) // it ends with ctx only
		<-h.stopped
		return nil
	}
}

const (
	// ampleCores, ampleLinkMbps and ampleMemoryMB are what a host should have that
	// acts for all, in any case and for each host: its work grows with their number.
	// The one that acts for 986 takes 0.00037 cores and 0.26 MB a host.
	ampleCores        = 0.35
	ampleCoresEach    = 0.0006
	ampleLinkMbps     = 50
	ampleLinkMbpsEach = 0.1
	ampleMemoryMBEach = 0.4
	// handicapPoor is how long one with less waits before it campaigns.
	handicapPoor = 800 * time.Millisecond
	handicapAny  = 40 * time.Millisecond
)

// handicap lets hosts with more to spare take the lease first.
func (h *Host) handicap() time.Duration {
	if !h.link.HasSpareCapacity() {
		return handicapPoor
	}
	return handicapAny
}

// ample says whether a host of these limits has enough to spare to act for a number
// of hosts. What a limit does not say is not bounded.
func ample(l Limits, hosts int) bool {
	n := float64(hosts)
	return (l.Cores == 0 || l.usualCores() >= max(ampleCores, ampleCoresEach*n)) &&
		(l.LinkMbps == 0 || l.LinkMbps >= max(ampleLinkMbps, ampleLinkMbpsEach*n)) &&
		(l.MemoryMB == 0 || float64(l.MemoryMB) >= ampleMemoryMBEach*n)
}

// fetchAfter is how long the store may take at the start before peers are asked.
const fetchAfter = time.Second

// fetch asks peers for what this host needs while the store is away.
func (h *Host) fetch(ctx context.Context) error {
	for pace.Sleep(ctx, fetchAfter) {
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

// isReady says whether the balancer should send callers here.
func (h *Host) isReady() bool {
	return h.config.Current() != nil && h.listOnce.Load() && !h.draining.Load()
}

// announce has the other hosts told, if this one acts for them, that there is
// something new for each of them.
func (h *Host) announce() { h.coord.Announce() }

// hasten has the host that acts for all told at once what this one found out.
func (h *Host) hasten() {
	h.link.ReportSoon()
	h.coord.Announce()
}

// crashed notes that an upstream ended under requests of this host.
func (h *Host) crashed(upstream string, at time.Time, ran []poison.Fingerprint) {
	h.guard.RecordCrash(upstream, at, ran)
	h.link.ReportSoon()
}

// logReady logs when the host has what it needs.
func (h *Host) logReady(ctx context.Context) error {
	for _, c := range []<-chan struct{}{h.config.FirstApplied(), h.listed} {
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	h.log.Emit(event.HostReady, zap.Int64("after_ms", time.Since(h.started).Milliseconds()), zap.Int("upstreams", len(h.fleet.All())))
	<-ctx.Done()
	return ctx.Err()
}

const (
	// sweepEach is how often the host looks for silent upstreams: a fraction of
	// the silence that it looks for.
	sweepEach = 100 * time.Millisecond
	// sweepIdle is the same while nothing is under way.
	sweepIdle = 500 * time.Millisecond
)

func (h *Host) sweep(ctx context.Context) error {
	dropped := int64(0)
	for h.sweepPause(ctx) {
		dropped = h.tellDropped(dropped)
		h.fleet.RunChecks()
		h.callers.sweep(time.Now())
		if h.draining.Load() {
			h.leave()
		}
	}
	return ctx.Err()
}

// sweepPause waits for the next look; it says no when ctx ends.
func (h *Host) sweepPause(ctx context.Context) bool {
	stirred := h.fleet.ChecksNeeded()
	if h.fleet.HasPendingChecks() {
		return pace.Sleep(ctx, sweepEach)
	}
	return pace.SleepOrWake(ctx, sweepIdle, stirred) && pace.Sleep(ctx, sweepEach)
}

// tellDropped logs that lines were dropped since it was called last.
func (h *Host) tellDropped(before int64) int64 {
	if h.deps.DroppedLines == nil {
		return 0
	}
	now := h.deps.DroppedLines()
	if now > before {
		h.log.Emit(event.LogDropped, zap.Int64("count", now-before))
	}
	return now
}

// idleBound is how long a caller's connection may stay idle.
func (h *Host) idleBound() time.Duration {
	if t := h.config.Current(); t != nil && t.Config.Limits.IdleTimeout > 0 {
		return t.Config.Limits.IdleTimeout
	}
	return defaultIdle
}

// defaultIdle holds until a configuration says otherwise.
const defaultIdle = 30 * time.Second
