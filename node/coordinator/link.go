package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
)

const (
	// minReportPeriod is how often a host reports at most, and does where there are few.
	// The others' loads are then known within a fraction of the time that a prompt
	// takes to be read. Of many hosts each is told to report less often; see
	// sums.period.
	minReportPeriod = 200 * time.Millisecond
	// reportTimeout is how long a report may take to be answered.
	reportTimeout = 500 * time.Millisecond
	// maxFailedReports is how many reports in a row may fail.
	maxFailedReports = 2
	// modelLoadInterval is how often a host is told what the others have sent to
	// upstreams that run models. It needs that only to judge their silence, and
	// when it has to decide by itself; with 156 of them that is some 4 kB for each
	// report of each host. A fraction of the time for which the word is trusted.
	modelLoadInterval = 500 * time.Millisecond
	// assumedHosts is how many hosts are assumed before the first answer: so
	// many that this host's share of the slack is nothing.
	assumedHosts = 1000
)

// LinkConfig names this host.
type LinkConfig struct {
	Host       string
	DataCentre string
	Address    string   // where its coordinator listens
	Seeds      []string // of a few hosts, perhaps stale
	// Ample says whether this host has enough to spare to act for so many; nil: it has not.
	HasSpareCapacity func(hosts int) bool
}

// Link is how a host reaches the one that holds the lease, be it itself.
type Link struct {
	cfg   LinkConfig
	own   *Coordinator
	conns *conns
	log   *event.Log
	// Quarantine is this host's part in finding requests that end upstreams; set before Run.
	Quarantine   Quarantine
	permitClient *permitClient
	teams        teamShares
	pace         *reportPace
	linkChanged  pace.Signal // given when this host goes by another than before, or loses its stream of turns

	mu                 sync.Mutex
	demand             map[demandKey]*coordpb.Demand
	modelLoadsAt       time.Time // when the others' loads at upstreams that run models were last told
	coordinator        string    // of the host that holds the lease; "": not linked
	failedReports      int       // reports in a row
	linkedWithoutLease bool      // the host at address holds no lease
	countID            uint64    // names what the host at address has counted since it began to act
	countIsNew         bool      // that is another one than at the last report
	namedSelf          bool      // the host asked last took this one for the holder
	revision           uint64
	list               uint64   // change of the holder's list up to which this host has it
	coordinatorChanges uint64   // how many times another host became the one that acts for all
	deputies           []string // as the holder last named them
	maxHosts           int      // most that were ever seen to share the allowance
	lastHostCount      int      // as last told by another
	signals            signals
}

type demandKey struct{ service, model, adapter string }

// NewLink makes a Link that is not linked.
func NewLink(cfg LinkConfig, own *Coordinator, dial Dial, log *event.Log) *Link {
	l := &Link{cfg: cfg, own: own, conns: newConns(dial), log: log, Quarantine: noQuarantine{}, demand: map[demandKey]*coordpb.Demand{}}
	l.permitClient, l.pace = newPermitClient(l), newReportPace()
	if own != nil {
		own.FormerHostCount = l.formerHostCount
		own.accounts.lastState = func(team string) (quota.KnownState, bool) { return l.teams.state(team, own.now()) }
	}
	return l
}

// RunPermits keeps a stream of questions to the host that decides for all.
func (l *Link) RunPermits(ctx context.Context) error { return l.permitClient.run(ctx) }

// Run reports until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	for l.pace.wait(ctx) {
		if address := l.coordinatorAddress(); address != "" {
			l.reportTo(ctx, address)
		} else {
			l.pace.setPeriod(minReportPeriod)
			l.own.deps.Fleet.SetUncoordinated()
		}
	}
	return ctx.Err()
}

// ReportSoon has this host report at once what should not wait for its next report.
func (l *Link) ReportSoon() { l.pace.hasten(0) }

// reportJitter spreads the hosts' reports, as a share.
const reportJitter = 0.1

// ReportPeriod is how often this host reports when nothing happens that is to be told at once.
func (l *Link) ReportPeriod() time.Duration { return l.pace.currentPeriod() }

// coordinatorAddress is the address to report to; this host's own while it acts for all.
func (l *Link) coordinatorAddress() string {
	if l.own.Acting() {
		return l.cfg.Address
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator // never this host's own
}

// linkedAddress is the other host that this one is linked to; "": none.
func (l *Link) linkedAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator
}

// CoordinatorAddress is the address of the host that acts for all; "": not known.
func (l *Link) CoordinatorAddress() string { return l.coordinatorAddress() }

// Linked says whether this host is linked to one that acts for all.
func (l *Link) Linked() bool { return l.coordinatorAddress() != "" }

// formerHostCount is how many hosts the one had that last told this one; 0: none did.
func (l *Link) formerHostCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastHostCount
}

// Hosts is how many hosts share the allowance of repeats.
func (l *Link) Hosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxHosts == 0 {
		return assumedHosts
	}
	return l.maxHosts
}

// reportTo reports once and takes the answer.
func (l *Link) reportTo(ctx context.Context, address string) {
	r, quarantineReport := l.buildReport(), l.Quarantine.NextReport(address)
	if l.mayBeNewProcess() {
		l.teams.addStates(r, l.own.now())
	}
	reportQuarantine(r, quarantineReport, l.own.now())
	signalsRevision := l.addSignals(r, address)
	var s *coordpb.SiteState
	var err error
	if address == l.cfg.Address {
		s = l.own.report(r)
	} else {
		s, err = l.conns.report(ctx, address, r)
	}
	if err != nil {
		l.pace.setPeriod(minReportPeriod)
		l.reportFailed(address, err)
		return
	}
	l.pace.setPeriod(milliseconds(s.PeriodMs))
	if address != l.cfg.Address {
		if !s.Holding && s.Epoch > 0 {
			l.own.RecordHandover(s.Epoch, milliseconds(s.LastOrderMs), s.Handover)
		}
		if !l.accepts(s) {
			l.unlink(address, errNoLease)
			l.followSuccessor(ctx, address)
			return
		}
		l.applyRelay(s)
	}
	l.teams.confirmReported()
	l.Quarantine.Acknowledge(quarantineReport, decodeUpdate(s, l.own.now()))
	l.applySignals(s, signalsRevision)
	l.applyAnswer(s)
	if s.ListBrief && l.own.deps.Feed.UpstreamsVersion() == 0 {
		l.fetchList(ctx)
	}
}

// addSignals adds what upstreams asked for to a report, and returns what to
// enter with its answer.
func (l *Link) addSignals(r *coordpb.HostReport, address string) (revision uint64) {
	if address == l.cfg.Address {
		return 0 // it is what this host goes by itself
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals.addTo(r, l.own.deps.Fleet, l.own.now())
}

// forgetSignals has the next report tell all, if no host is linked that was told:
// one that is met anew may know nothing.
func (l *Link) forgetSignals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.coordinator == "" {
		l.signals = signals{}
	}
}

// applySignals enters what the one that acts for all tells of upstreams, and of this
// host's part in what they take.
func (l *Link) applySignals(s *coordpb.SiteState, sentRevision uint64) {
	if s.SignalsId != l.own.id {
		l.mu.Lock()
		l.lastHostCount = int(s.Hosts)
		l.signals.apply(s, sentRevision)
		l.mu.Unlock()
		l.own.deps.Fleet.ApplySignals(decodeSignals(s.Signals, l.own.now()), fromHolder)
	}
	l.own.deps.Fleet.SetShare(backpressure.Share{Index: int(s.Place), Count: int(max(s.Hosts, 1))})
}

// mayBeNewProcess says whether another process may act at the address than the one that
// answered last: one that is back at once answers there before it is missed.
func (l *Link) mayBeNewProcess() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failedReports > 0 || l.countIsNew
}

// introduction is a report that says no more than who this host is and which
// versions it has, so that a holder that it meets anew does not send it all.
func (l *Link) introduction() *coordpb.HostReport {
	r := &coordpb.HostReport{Host: l.cfg.Host, Address: l.cfg.Address, Ample: l.HasSpareCapacity(), ListAt: l.own.deps.Feed.UpstreamsVersion(), Packed: true, PackedList: true, BriefList: true}
	if t := l.own.deps.Config.Current(); t != nil {
		r.Config = t.Config.Version
	}
	return r
}

// HasSpareCapacity says whether this host has enough to spare to act for all, as many as it
// knows of.
func (l *Link) HasSpareCapacity() bool {
	l.mu.Lock()
	hosts := l.maxHosts
	l.mu.Unlock()
	return l.cfg.HasSpareCapacity != nil && l.cfg.HasSpareCapacity(hosts)
}

// buildReport gathers what this host tells.
func (l *Link) buildReport() *coordpb.HostReport {
	r := l.introduction()
	for _, sent := range l.own.deps.Fleet.OwnLoads() {
		r.Loads = append(r.Loads, &coordpb.Load{Upstream: sent.Upstream, Requests: uint32(sent.Requests), Waiting: uint32(max(sent.PendingPromptTokens, 0)), Tokens: uint32(max(sent.Tokens, 0))})
	}
	r.Silent = l.own.deps.Fleet.DownIDs()
	l.teams.addUse(r, l.own.now())
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ModelsLater = l.own.now().Sub(l.modelLoadsAt) < modelLoadInterval
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
	l.conns.closeIdle(address)
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
		l.linkChanged.Notify()
		l.own.deps.Fleet.SetUncoordinated()
		l.log.Emit(event.CoordinatorOff, zap.String(event.FieldPeer, address), zap.Error(err))
	}
}

// TryLink links this host to the one at address if that one acts for all.
func (l *Link) TryLink(ctx context.Context, address string) bool {
	if address == "" || address == l.cfg.Address || address == l.linkedAddress() {
		return false
	}
	r, quarantineReport := l.introduction(), l.Quarantine.NextReport(address)
	reportQuarantine(r, quarantineReport, l.own.now())
	l.teams.addStates(r, l.own.now())
	l.forgetSignals()
	signalsRevision := l.addSignals(r, address)
	wasActing := l.own.Acting()
	s, err := l.conns.report(ctx, address, r)
	if err != nil || !l.accepts(s) || !s.Holding && l.Linked() {
		return false
	}
	l.mu.Lock()
	l.coordinator, l.failedReports, l.revision, l.list = address, 0, 0, 0
	l.coordinatorChanges++
	l.modelLoadsAt = time.Time{}
	l.mu.Unlock()
	l.linkChanged.Notify()
	l.applyRelay(s) // first: what upstreams hold goes by the list of them
	l.Quarantine.Acknowledge(quarantineReport, decodeUpdate(s, l.own.now()))
	l.applySignals(s, signalsRevision)
	l.applyAnswer(s)
	if wasActing && !l.own.Acting() {
		l.own.announce() // those that go by this host find out whom it goes by
	}
	l.log.Emit(event.CoordinatorMet, zap.String(event.FieldPeer, address), zap.Uint32("hosts", s.Hosts))
	return true
}
