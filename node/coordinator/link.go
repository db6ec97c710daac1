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
	// reportPeriod is how often a host reports at most, and does where there are few.
	// The others' loads are then known within a fraction of the time that a prompt
	// takes to be read. Of many hosts each is told to report less often; see
	// sums.period.
	reportPeriod = 200 * time.Millisecond
	// reportCallBound is how long a report may take to be answered.
	reportCallBound = 500 * time.Millisecond
	// lostAfter is how many reports in a row may fail.
	lostAfter = 2
	// modelsEach is how often a host is told what the others have sent to
	// upstreams that run models. It needs that only to judge their silence, and
	// when it has to decide by itself; with 156 of them that is some 4 kB for each
	// report of each host. A fraction of the time for which the word is trusted.
	modelsEach = 500 * time.Millisecond
	// unknownHosts is how many hosts are assumed before the first answer: so
	// many that this host's share of the slack is nothing.
	unknownHosts = 1000
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
	Quarantine Quarantine
	asking     *asking
	teams      teamShares
	pace       *reportPace
	moved      pace.Signal // given when this host goes by another than before, or loses its stream of turns

	mu       sync.Mutex
	demand   map[demandKey]*coordpb.Demand
	modelsAt time.Time // when the others' loads at upstreams that run models were last told
	address  string    // of the host that holds the lease; "": not linked
	failed   int       // reports in a row
	led      bool      // the host at address holds no lease
	term     uint64    // names what the host at address has counted since it began to act
	begun    bool      // that is another one than at the last report
	ownName  bool      // the host asked last took this one for the holder
	revision uint64
	list     uint64   // change of the holder's list up to which this host has it
	heard    uint64   // how many times another host became the one that acts for all
	deputies []string // as the holder last named them
	hosts    int      // most that were ever seen to share the allowance
	hostsNow int      // as last told by another
	signals  signals
}

type demandKey struct{ service, model, adapter string }

// NewLink makes a Link that is not linked.
func NewLink(cfg LinkConfig, own *Coordinator, dial Dial, log *event.Log) *Link {
	l := &Link{cfg: cfg, own: own, conns: newConns(dial), log: log, Quarantine: noQuarantine{}, demand: map[demandKey]*coordpb.Demand{}}
	l.asking, l.pace = newAsking(l), newReportPace()
	if own != nil {
		own.FormerHostCount = l.hostsTold
		own.accounts.word = func(team string) (quota.KnownState, bool) { return l.teams.word(team, own.now()) }
	}
	return l
}

// RunPermits keeps a stream of questions to the host that decides for all.
func (l *Link) RunPermits(ctx context.Context) error { return l.asking.run(ctx) }

// Run reports until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	for l.pace.wait(ctx) {
		if address := l.where(); address != "" {
			l.tell(ctx, address)
		} else {
			l.pace.set(reportPeriod)
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
func (l *Link) ReportPeriod() time.Duration { return l.pace.current() }

// where is the address to report to; this host's own while it acts for all.
func (l *Link) where() string {
	if l.own.Acting() {
		return l.cfg.Address
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address // never this host's own
}

// linkedTo is the other host that this one is linked to; "": none.
func (l *Link) linkedTo() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// CoordinatorAddress is the address of the host that acts for all; "": not known.
func (l *Link) CoordinatorAddress() string { return l.where() }

// Linked says whether this host is linked to one that acts for all.
func (l *Link) Linked() bool { return l.where() != "" }

// hostsTold is how many hosts the one had that last told this one; 0: none did.
func (l *Link) hostsTold() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hostsNow
}

// Hosts is how many hosts share the allowance of repeats.
func (l *Link) Hosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == 0 {
		return unknownHosts
	}
	return l.hosts
}

// tell reports once and takes the answer.
func (l *Link) tell(ctx context.Context, address string) {
	r, w := l.report(), l.Quarantine.NextReport(address)
	if l.mayBeNew() {
		l.teams.words(r, l.own.now())
	}
	reportQuarantine(r, w, l.own.now())
	told := l.reportSignals(r, address)
	var s *coordpb.SiteState
	var err error
	if address == l.cfg.Address {
		s = l.own.report(r)
	} else {
		s, err = l.conns.report(ctx, address, r)
	}
	if err != nil {
		l.pace.set(reportPeriod)
		l.lost(address, err)
		return
	}
	l.pace.set(milliseconds(s.PeriodMs))
	if address != l.cfg.Address {
		if !s.Holding && s.Epoch > 0 {
			l.own.RecordHandover(s.Epoch, milliseconds(s.LastOrderMs), s.Handover)
		}
		if !l.follows(s) {
			l.unlink(address, errNotHolding)
			l.followSuccessor(ctx, address)
			return
		}
		l.takeRelay(s)
	}
	l.teams.reported()
	l.Quarantine.Acknowledge(w, updateOf(s, l.own.now()))
	l.takeSignals(s, told)
	l.take(s)
	if s.ListBrief && l.own.deps.Feed.UpstreamsVersion() == 0 {
		l.fetchList(ctx)
	}
}

// reportSignals adds what upstreams asked for to a report, and returns what to
// enter with its answer.
func (l *Link) reportSignals(r *coordpb.HostReport, address string) (revision uint64) {
	if address == l.cfg.Address {
		return 0 // it is what this host goes by itself
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals.report(r, l.own.deps.Fleet, l.own.now())
}

// forgetSignals has the next report tell all, if no host is linked that was told:
// one that is met anew may know nothing.
func (l *Link) forgetSignals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == "" {
		l.signals = signals{}
	}
}

// takeSignals enters what the one that acts for all tells of upstreams, and of this
// host's part in what they take.
func (l *Link) takeSignals(s *coordpb.SiteState, told uint64) {
	if s.SignalsId != l.own.id {
		l.mu.Lock()
		l.hostsNow = int(s.Hosts)
		l.signals.take(s, told)
		l.mu.Unlock()
		l.own.deps.Fleet.ApplySignals(decodeSignals(s.Signals, l.own.now()), fromHolder)
	}
	l.own.deps.Fleet.SetShare(backpressure.Share{Index: int(s.Place), Count: int(max(s.Hosts, 1))})
}

// mayBeNew says whether another process may act at the address than the one that
// answered last: one that is back at once answers there before it is missed.
func (l *Link) mayBeNew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed > 0 || l.begun
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
	hosts := l.hosts
	l.mu.Unlock()
	return l.cfg.HasSpareCapacity != nil && l.cfg.HasSpareCapacity(hosts)
}

// report gathers what this host tells.
func (l *Link) report() *coordpb.HostReport {
	r := l.introduction()
	for _, own := range l.own.deps.Fleet.OwnLoads() {
		r.Loads = append(r.Loads, &coordpb.Load{Upstream: own.Upstream, Requests: uint32(own.Requests), Waiting: uint32(max(own.PendingPromptTokens, 0)), Tokens: uint32(max(own.Tokens, 0))})
	}
	r.Silent = l.own.deps.Fleet.DownIDs()
	l.teams.report(r, l.own.now())
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ModelsLater = l.own.now().Sub(l.modelsAt) < modelsEach
	r.Revision, r.List = l.revision, l.list
	for _, d := range l.demand {
		r.Demand = append(r.Demand, d)
	}
	l.demand = map[demandKey]*coordpb.Demand{}
	return r
}

func (l *Link) lost(address string, err error) {
	l.mu.Lock()
	l.failed++
	over := l.failed >= lostAfter
	l.mu.Unlock()
	l.conns.drop(address)
	if over {
		l.unlink(address, err)
	}
}

func (l *Link) unlink(address string, err error) {
	l.mu.Lock()
	was := l.address
	if was == address {
		l.address, l.failed, l.revision, l.list = "", 0, 0, 0
	}
	l.mu.Unlock()
	if was == address {
		l.moved.Notify()
		l.own.deps.Fleet.SetUncoordinated()
		l.log.Emit(event.CoordinatorLost, zap.String(event.FieldPeer, address), zap.Error(err))
	}
}

// TryLink links this host to the one at address if that one acts for all.
func (l *Link) TryLink(ctx context.Context, address string) bool {
	if address == "" || address == l.cfg.Address || address == l.linkedTo() {
		return false
	}
	r, w := l.introduction(), l.Quarantine.NextReport(address)
	reportQuarantine(r, w, l.own.now())
	l.teams.words(r, l.own.now())
	l.forgetSignals()
	told := l.reportSignals(r, address)
	acted := l.own.Acting()
	s, err := l.conns.report(ctx, address, r)
	if err != nil || !l.follows(s) || !s.Holding && l.Linked() {
		return false
	}
	l.mu.Lock()
	l.address, l.failed, l.revision, l.list = address, 0, 0, 0
	l.heard++
	l.modelsAt = time.Time{}
	l.mu.Unlock()
	l.moved.Notify()
	l.takeRelay(s) // first: what upstreams hold goes by the list of them
	l.Quarantine.Acknowledge(w, updateOf(s, l.own.now()))
	l.takeSignals(s, told)
	l.take(s)
	if acted && !l.own.Acting() {
		l.own.announce() // those that go by this host find out whom it goes by
	}
	l.log.Emit(event.CoordinatorLinked, zap.String(event.FieldPeer, address), zap.Uint32("hosts", s.Hosts))
	return true
}
