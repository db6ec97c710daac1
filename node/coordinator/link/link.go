// Package link is a host's side of the coordination: it finds the acting coordinator or
// has its own host become it, reports to it, applies its answers, asks it for permits and
// holds this host's shares of the teams' limits. It uses only the messages of the acting
// coordinator, and its own host's coordinator by the interface Coordinator.
//
// Memory and reports grow with the upstreams that this host uses and with the teams that
// have a limit; an answer is bounded by the coordinator. The number of hosts matters only
// for how often this one reports.
//
// The mutex of a Link guards what it knows of the coordinator and what it has to report
// next. The shares of the teams, the stream of permits, the connections and the pace of
// reports have a mutex each. Only those of the pace, the fleet and the lease are taken under
// the Link's; else none is held while another is taken, or while something is awaited.
package link

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/budget"
	"peridotpier.example/node/coordinator/conns"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/permits"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/origin"
	"peridotpier.example/node/pace"
)

const (
	// maxFailedReports is how many reports in a row must fail for the link to be given
	// up.
	maxFailedReports = 2
	// modelLoadInterval is how often a host gets the others' loads at upstreams that
	// run models. It needs them only to judge whether these are unresponsive, and when
	// it has to decide by itself; with 156 such upstreams they are some 4 kB in the
	// answer to each report of each host. The interval is a fraction of the time for
	// which these loads are used.
	modelLoadInterval = 500 * time.Millisecond
)

// Config describes this host.
type Config struct {
	Host       string
	DataCentre string
	Address    string   // address that its coordinator listens on
	Seeds      []string // addresses of a few hosts, possibly outdated
	// HasSpareCapacity reports whether this host has enough spare capacity to
	// coordinate that many hosts; nil: it never has.
	HasSpareCapacity func(hosts int) bool
	// DetourAddress is where this host forwards requests of hosts that reach no
	// upstream; "": it takes none.
	DetourAddress string
	// Draining reports whether this host is stopping; nil: it never is.
	Draining func() bool
	// Partitioned reports whether this host reaches no upstream; nil: it always reaches
	// some.
	Partitioned func() bool
}

// Coordinator is the coordinator of this host, whether it is acting or not.
type Coordinator interface {
	// ID returns a number that identifies the coordinator's process, never 0.
	ID() uint64
	// Acting reports whether it is the acting coordinator, and HoldsLease whether it may
	// give orders.
	Acting() bool
	HoldsLease() bool
	// StartActing makes it the acting coordinator without the lease, until StopActing.
	StartActing()
	StopActing()
	// Repeat permits a request of a service to be sent once more; ok is false while it is
	// not acting.
	Repeat(*coordpb.RepeatCall) (u budget.Usage, allowed, ok bool)
	// Report applies a host's report and returns the answer.
	Report(r *coordpb.HostReport) *coordpb.SiteState
	// RecordHandover records the handover of a host that gave up the lease.
	RecordHandover(epoch uint64, sinceOrder time.Duration, msg *coordpb.Handover)
	// RequestAnnouncement has all hosts that have a stream of permits report soon.
	RequestAnnouncement()
	// LoadAdapter has an adapter loaded and returns the upstream where it is ready.
	LoadAdapter(ctx context.Context, upstream, model, adapter string) (string, error)
	// Permits returns what grants permits while it is acting.
	Permits() *permits.Permits
	// OtherHasSpareCapacity reports whether another host that reports to it has enough
	// spare capacity to coordinate, and OtherReachesUpstreams whether one reaches
	// upstreams and may take the lease; small: with too little capacity, too.
	OtherHasSpareCapacity() bool
	OtherReachesUpstreams(small bool) bool
}

// Deps are the dependencies of a Link.
type Deps struct {
	Own    Coordinator
	Fleet  *fleet.Fleet
	Config *follow.ActiveConfig
	Feed   *follow.Follower
	Lease  *lease.Lease
	Dial   conns.Dial
	Log    *event.Log
	// Origins keeps which version of the software began each stream; nil: a separate one
	// is made.
	Origins *origin.Registry
	// LoadOrigins reads the streams that the platform's store keeps into Origins; nil: it
	// keeps none.
	LoadOrigins func(ctx context.Context)
	// LoadHistory is LoadOrigins unless this host knows what hosts knew that ended before it
	// started, and reports whether it does; nil: the store keeps none.
	LoadHistory func(ctx context.Context) bool
	Metrics     *metrics.Set     // nil: a separate set is made
	Now         func() time.Time // nil: time.Now
}

// signalSource is the source of the coordinator's signals, in logs.
const signalSource = "holder"

// idleInterval is how often a host that is linked, or has a stream of permits, checks that
// it still needs no other.
const idleInterval = time.Second

// Link connects a host to the acting coordinator, which may be its own.
type Link struct {
	cfg   Config
	own   Coordinator
	deps  Deps
	conns *conns.Conns
	log   *event.Log
	// Quarantine is this host's part in finding requests that crash upstreams. NewLink
	// sets one that does nothing; another one is set before Run.
	Quarantine   Quarantine
	permitClient *permitClient
	teams        teamShares
	requests     requestCounts
	roundTrip    roundTrip
	pace         *reportPace
	listChanged  pace.Signal // notified when other upstreams, or other versions, are listed
	linkChanged  pace.Signal // notified when this host gets another coordinator, or loses its stream of permits

	mu                 sync.Mutex
	demand             map[demandKey]*coordpb.Demand
	modelLoadsAt       time.Time // when the others' loads at upstreams that run models were last received
	coordinator        string    // address of the acting coordinator, if it is another host; "": not linked
	failedReports      int       // consecutive failed reports
	linkedWithoutLease bool      // whether that coordinator is acting without the lease
	countID            uint64    // the coordinator's quarantine ID, which identifies all that it has counted since it began to act
	countIsNew         bool      // whether countID changed with the last answer
	namedSelf          bool      // whether the host that was asked last named this one as the lease holder
	revision           uint64
	list               uint64   // state of the coordinator's list up to which this host has it
	met                bool     // whether this host has ever received another coordinator's state
	coordinatorChanges uint64   // how often another host became the coordinator
	deputies           []string // addresses, as the holder last named them
	maxHosts           int      // maximum number of hosts ever reported
	lastHostCount      int      // number of hosts that another coordinator last reported
	signals            signals
	detours            detours

	origins origins
}

type demandKey struct {
	service, model, adapter string
	rank                    int // urgency of the requests
}

// New returns a Link that is not linked yet.
func New(cfg Config, d Deps) *Link {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Metrics == nil {
		d.Metrics = metrics.New()
	}
	if d.Origins == nil {
		d.Origins = origin.NewRegistry(d.Now())
	}
	if d.LoadOrigins == nil {
		d.LoadOrigins = func(context.Context) {}
	}
	if d.LoadHistory == nil {
		d.LoadHistory = func(context.Context) bool { return true }
	}
	l := &Link{cfg: cfg, origins: origins{registry: d.Origins}, own: d.Own, deps: d, conns: conns.New(d.Dial), log: d.Log, Quarantine: noQuarantine{}, demand: map[demandKey]*coordpb.Demand{}}
	l.permitClient, l.pace = newPermitClient(l), newReportPace()
	return l
}

// RunPermits keeps a stream of permit requests to the acting coordinator until ctx
// ends.
func (l *Link) RunPermits(ctx context.Context) error { return l.permitClient.run(ctx) }

// Run reports until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	for l.pace.wait(ctx) {
		if address := l.coordinatorAddress(); address != "" {
			l.reportTo(ctx, address)
		} else {
			l.pace.setPeriod(wire.MinReportPeriod)
			l.deps.Fleet.SetUncoordinated()
		}
	}
	return ctx.Err()
}

// ReportSoon makes this host send what should not wait for its next report at once.
func (l *Link) ReportSoon() { l.pace.hasten(0) }

// reportJitter is the share by which periods vary, so that the hosts' reports are
// spread.
const reportJitter = 0.1

// ReportPeriod returns how often this host reports when nothing urgent happens.
func (l *Link) ReportPeriod() time.Duration { return l.pace.currentPeriod() }

// coordinatorAddress returns the address to report to: this host's own while it is
// acting.
func (l *Link) coordinatorAddress() string {
	if l.own.Acting() {
		return l.cfg.Address
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator // never this host's own
}

// linkedAddress returns the address of the other host that this one is linked to; "":
// none.
func (l *Link) linkedAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator
}

// CoordinatorAddress returns the address of the acting coordinator; "": unknown.
func (l *Link) CoordinatorAddress() string { return l.coordinatorAddress() }

// Linked reports whether this host is linked to an acting coordinator, its own
// included.
func (l *Link) Linked() bool { return l.coordinatorAddress() != "" }

// FormerHostCount returns how many hosts the other coordinator had that last answered
// this host; 0: none answered.
func (l *Link) FormerHostCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastHostCount
}

// Hosts returns the maximum number of hosts that a coordinator ever reported; 0: none did.
func (l *Link) Hosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxHosts
}

// reportTo sends one report and applies the answer.
func (l *Link) reportTo(ctx context.Context, address string) {
	r, quarantineReport := l.buildReport(), l.Quarantine.NextReport(address)
	if l.mayBeNewProcess() {
		l.teams.addStates(r, l.deps.Now())
	}
	reportQuarantine(r, quarantineReport, l.deps.Now())
	l.addPlace(r, address)
	signalsRevision := l.addSignals(r, address)
	var s *coordpb.SiteState
	var err error
	if address == l.cfg.Address {
		s = l.own.Report(r)
	} else {
		sentAt := l.deps.Now()
		s, err = l.conns.Report(ctx, address, r)
		l.roundTrip.record(address, l.deps.Now().Sub(sentAt), err)
	}
	if err != nil {
		l.pace.setPeriod(wire.MinReportPeriod)
		l.reportFailed(address, err)
		return
	}
	l.pace.setPeriod(wire.Milliseconds(s.PeriodMs))
	if address != l.cfg.Address {
		if !s.Holding && s.Epoch > 0 {
			l.own.RecordHandover(s.Epoch, wire.Milliseconds(s.LastOrderMs), s.Handover)
		}
		if !l.accepts(s) {
			l.unlink(address, rejection(s))
			l.followSuccessor(ctx, address)
			return
		}
		l.applyRelay(r, s)
	}
	l.teams.confirmReported()
	l.requests.confirmLate()
	l.requests.setClock(address, s.ClockMs, l.deps.Now())
	l.Quarantine.Acknowledge(quarantineReport, decodeUpdate(s, l.deps.Now()))
	l.applySignals(s, signalsRevision)
	l.applyAnswer(s)
	if s.ListBrief && l.deps.Feed.UpstreamsVersion() == 0 {
		l.fetchList(ctx)
	}
}

// addSignals adds to a report the signals of upstreams that the coordinator has not
// received yet. It returns the revision that applySignals needs with the answer.
func (l *Link) addSignals(r *coordpb.HostReport, address string) (revision uint64) {
	if address == l.cfg.Address {
		return 0 // the coordinator is this host's own and uses the same fleet
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals.addTo(r, l.deps.Fleet, l.deps.Now())
}

// forgetSignals makes the next report contain all signals, unless this host is linked
// to a coordinator that received them: a new one may know nothing.
func (l *Link) forgetSignals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.coordinator == "" {
		l.signals = signals{}
	}
}

// applySignals applies the coordinator's signals of upstreams, and this host's share of
// what the upstreams accept.
func (l *Link) applySignals(s *coordpb.SiteState, sentRevision uint64) {
	if s.SignalsId != l.own.ID() {
		l.mu.Lock()
		l.lastHostCount = int(s.Hosts)
		l.signals.apply(s, sentRevision)
		l.mu.Unlock()
		l.deps.Fleet.ApplySignals(wire.DecodeSignals(s.Signals, l.deps.Now()), signalSource)
	}
	l.deps.Fleet.SetShare(backpressure.Share{Index: int(s.Place), Count: int(max(s.Hosts, 1))})
}

// mayBeNewProcess reports whether the process acting at the address may be another than
// the one that answered last: a process that restarts quickly answers there before the
// former one is missed.
func (l *Link) mayBeNewProcess() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failedReports > 0 || l.countIsNew
}

// introduction returns a report that contains only who this host is and which versions
// it has, so that a new coordinator does not send it everything.
func (l *Link) introduction() *coordpb.HostReport {
	r := &coordpb.HostReport{Host: l.cfg.Host, Address: l.cfg.Address, Ample: l.HasSpareCapacity(), ListAt: l.deps.Feed.UpstreamsVersion(), Packed: true, PackedList: true, BriefList: true,
		Partitioned: l.Partitioned(), DetourAddress: l.detourAddress()}
	if r.Partitioned || r.DetourAddress != "" {
		r.DataCentre = l.cfg.DataCentre
	}
	if t := l.deps.Config.Current(); t != nil {
		r.Config = t.Config.Version
	}
	return r
}

// HasSpareCapacity reports whether this host has enough spare capacity to coordinate
// all hosts that it knows of.
func (l *Link) HasSpareCapacity() bool {
	l.mu.Lock()
	hosts := l.maxHosts
	l.mu.Unlock()
	return l.cfg.HasSpareCapacity != nil && l.cfg.HasSpareCapacity(hosts)
}

// buildReport collects what this host has to report.
func (l *Link) buildReport() *coordpb.HostReport {
	r := l.introduction()
	for _, sent := range l.deps.Fleet.OwnLoads() {
		r.Loads = append(r.Loads, &coordpb.Load{Upstream: sent.Upstream, Requests: uint32(sent.Requests), Waiting: uint32(max(sent.PendingPromptTokens, 0)), Tokens: uint32(max(sent.Tokens, 0)), Slowdown: wire.Percent(sent.Slowdown)})
	}
	r.Silent = l.deps.Fleet.DownIDs()
	l.teams.addUse(r, l.deps.Now())
	l.addRequests(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ModelsLater = l.deps.Now().Sub(l.modelLoadsAt) < modelLoadInterval
	r.Revision, r.List = l.revision, l.list
	for _, d := range l.demand {
		r.Demand = append(r.Demand, d)
	}
	l.demand = map[demandKey]*coordpb.Demand{}
	return r
}

func (l *Link) reportFailed(address string, err error) {
	l.mu.Lock()
	l.failedReports++
	over := l.failedReports >= maxFailedReports
	l.mu.Unlock()
	l.conns.CloseIdle(address)
	if over {
		l.unlink(address, err)
	}
}

func (l *Link) unlink(address string, err error) {
	l.mu.Lock()
	former := l.coordinator
	if former == address {
		l.coordinator, l.failedReports, l.revision, l.list = "", 0, 0, 0
	}
	l.mu.Unlock()
	if former == address {
		l.requests.take("", l.deps.Now()) // too old for another coordinator
		l.linkChanged.Notify()
		l.deps.Fleet.SetUncoordinated()
		l.log.Emit(event.CoordinatorLost, zap.String(event.FieldPeer, address), zap.Error(err))
	}
}

// HasState reports whether this host has received the state of another coordinator, or is
// acting itself.
func (l *Link) HasState() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.met || l.own.Acting()
}

// TryLink links this host to the one at address if that one is the acting coordinator.
func (l *Link) TryLink(ctx context.Context, address string) bool {
	if address == "" || address == l.cfg.Address || address == l.linkedAddress() {
		return false
	}
	r, quarantineReport := l.introduction(), l.Quarantine.NextReport(address)
	reportQuarantine(r, quarantineReport, l.deps.Now())
	l.teams.addStates(r, l.deps.Now())
	l.forgetSignals()
	signalsRevision := l.addSignals(r, address)
	wasActing := l.own.Acting()
	s, err := l.conns.Report(ctx, address, r)
	if err != nil || !l.accepts(s) || !s.Holding && l.Linked() {
		return false
	}
	l.mu.Lock()
	l.coordinator, l.failedReports, l.revision, l.list = address, 0, 0, 0
	l.coordinatorChanges++
	l.modelLoadsAt = time.Time{}
	l.mu.Unlock()
	l.linkChanged.Notify()
	l.applyRelay(r, s) // comes first, since holdings are entered at the upstreams of the list
	l.Quarantine.Acknowledge(quarantineReport, decodeUpdate(s, l.deps.Now()))
	l.applySignals(s, signalsRevision)
	l.applyAnswer(s)
	if wasActing && !l.own.Acting() {
		l.own.RequestAnnouncement() // hosts that are linked to this one find out which coordinator it uses now
	}
	l.mu.Lock()
	l.met = true
	l.mu.Unlock()
	l.log.Emit(event.CoordinatorLinked, zap.String(event.FieldPeer, address), zap.Uint32("hosts", s.Hosts))
	return true
}
