package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

const (
	// freshPeriods and minFresh determine how long a host's report counts: for a few of
	// its periods, so that one lost report doesn't hide its load.
	freshPeriods = 3
	minFresh     = 900 * time.Millisecond
	// hostCountedFor is how long a host counts among those that share the retry budget.
	// It is long because a host that is disconnected goes on spending its share.
	hostCountedFor = 20 * time.Second
	// expiryInterval is how often the age of reports is checked. It is short compared
	// to the times above.
	expiryInterval = 100 * time.Millisecond
)

// freshFor returns how long a message counts that is sent once in each period.
func freshFor(period time.Duration) time.Duration { return minFresh + freshPeriods*period }

// reportFresh is freshFor(minReportPeriod).
const reportFresh = minFresh + freshPeriods*minReportPeriod

// aggregate adds up the loads of all hosts. Each report changes the totals only by its
// difference to the last one: computing them anew for each of 195 hosts, five times a
// second, took a quarter of a core.
type aggregate struct {
	mu        sync.Mutex
	hosts     map[string]*lastReport
	totals    map[string]fleet.Load // by upstream ID, over reports that count; no zero loads
	expiredAt time.Time             // when the age of reports was last checked

	busiest    []string // upstreams with the most requests, as of busiestAt
	busiestAt  time.Time
	runsModels func(upstream string) bool
	ownAddress string        // address of this host
	maxPeriod  time.Duration // maximum period of reports; 0: unbounded
	maxRate    int           // maximum reports per second of all hosts together

	indexes map[string]int // position of each host in the order of names; nil: outdated

	expectedHosts int // number of hosts of the previous acting coordinator, used until expectedUntil
	expectedUntil time.Time

	cachedDeputies []string // deputies as of deputiesAt
	deputiesAt     time.Time
	cachedSuspects map[string]bool // suspects as of suspectsAt
	suspectsAt     time.Time       // zero: a report has changed them
}

// lastReport is the last report of one host.
type lastReport struct {
	at       time.Time
	period   time.Duration // time until its next report, as the host was told
	report   *coordpb.HostReport
	inTotals bool // whether it is included in totals
}

// fresh reports whether the report counts.
func (h *lastReport) fresh(now time.Time) bool { return now.Sub(h.at) <= freshFor(h.period) }

// suspectsCount reports whether the upstreams that the host excludes still count as
// suspects: until its next report is due, and half a period more.
func (h *lastReport) suspectsCount(now time.Time) bool { return now.Sub(h.at) <= h.period*5/2 }

func newAggregate(own string, runsModels func(upstream string) bool) *aggregate {
	return &aggregate{hosts: map[string]*lastReport{}, totals: map[string]fleet.Load{}, runsModels: runsModels, ownAddress: own, maxRate: maxReportRate}
}

// record replaces one host's report.
func (s *aggregate) record(r *coordpb.HostReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.hosts[r.Host]
	h := &lastReport{at: now, period: s.periodForLocked(r, now), report: r, inTotals: true}
	if former == nil {
		s.indexes = nil
	}
	if former == nil || !slices.Equal(former.report.Silent, r.Silent) {
		s.suspectsAt = time.Time{}
	}
	s.subtractLocked(former)
	for _, l := range r.Loads {
		s.addLocked(l.Upstream, loadOf(l))
	}
	s.hosts[r.Host] = h
}

func loadOf(l *coordpb.Load) fleet.Load {
	return fleet.Load{Requests: int(l.Requests), PendingPromptTokens: int(l.Waiting), Tokens: int(l.Tokens)}
}

func (s *aggregate) addLocked(upstream string, l fleet.Load) {
	sum := s.totals[upstream].Plus(l)
	if sum == (fleet.Load{}) {
		delete(s.totals, upstream)
		return
	}
	s.totals[upstream] = sum
}

// subtractLocked removes a report from the totals, if it is included.
func (s *aggregate) subtractLocked(h *lastReport) {
	if h == nil || !h.inTotals {
		return
	}
	h.inTotals = false
	for _, l := range h.report.Loads {
		s.addLocked(l.Upstream, loadOf(l).Negated())
	}
}

// expireLocked removes reports that are too old.
func (s *aggregate) expireLocked(now time.Time) {
	if now.Sub(s.expiredAt) < expiryInterval {
		return
	}
	s.expiredAt = now
	for name, h := range s.hosts {
		age := now.Sub(h.at)
		if !h.fresh(now) {
			s.subtractLocked(h)
		}
		if age > hostCountedFor {
			delete(s.hosts, name)
			s.indexes = nil
		}
	}
}

// maxOthers is how many upstreams' loads an answer to a host contains. Upstreams that
// are left out have less load, or none.
const maxOthers = 64

// others adds up the loads of all hosts except one, at those of the wanted upstreams
// where they are highest. It also returns the number of hosts.
func (s *aggregate) others(host string, now time.Time, wanted func(upstream string) bool) (all []*coordpb.Load, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now)
	ownLoads := map[string]fleet.Load{}
	if h := s.hosts[host]; h != nil && h.inTotals {
		for _, l := range h.report.Loads {
			ownLoads[l.Upstream] = ownLoads[l.Upstream].Plus(loadOf(l))
		}
	}
	busiest := s.busiestLocked(now)
	buf := make([]coordpb.Load, 0, len(busiest))
	for _, id := range busiest {
		sum := s.totals[id].Plus(ownLoads[id].Negated())
		if sum.Requests <= 0 || !wanted(id) {
			continue
		}
		buf = buf[:len(buf)+1]
		l := &buf[len(buf)-1]
		l.Upstream, l.Requests, l.Waiting, l.Tokens = id, uint32(sum.Requests), uint32(max(sum.PendingPromptTokens, 0)), uint32(max(sum.Tokens, 0))
		all = append(all, l)
	}
	return all, len(s.hosts)
}

// busiestLocked returns the upstreams with the most requests: up to maxOthers that run
// models and up to maxOthers that don't, updated once per expiryInterval. If there are
// only a few upstreams in all, it returns all of them.
func (s *aggregate) busiestLocked(now time.Time) []string {
	if len(s.totals) <= maxOthers {
		return slices.Collect(maps.Keys(s.totals))
	}
	if now.Sub(s.busiestAt) < expiryInterval {
		return s.busiest
	}
	s.busiestAt = now
	byRequests := func(a, b string) int { return cmp.Compare(s.totals[b].Requests, s.totals[a].Requests) }
	var models, plain []string
	for id := range s.totals {
		if s.runsModels(id) {
			models = append(models, id)
		} else {
			plain = append(plain, id)
		}
	}
	slices.SortFunc(models, byRequests)
	slices.SortFunc(plain, byRequests)
	s.busiest = append(models[:min(len(models), maxOthers)], plain[:min(len(plain), maxOthers)]...)
	return s.busiest
}

// maxReportRate is how many reports a second are asked of all hosts together. Each
// takes about 60 us with its answer and its connection; the more hosts there are, the
// less often each one reports what is not urgent.
const maxReportRate = 1000

// period returns how often each host reports that has nothing urgent to report.
func (s *aggregate) period(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.periodLocked(now)
}

func (s *aggregate) periodLocked(now time.Time) time.Duration {
	period := time.Second * time.Duration(s.hostCountLocked(now)) / time.Duration(s.maxRate)
	if s.maxPeriod > 0 {
		period = min(period, s.maxPeriod)
	}
	return max(minReportPeriod, period)
}

// periodForLocked returns the period of one host. The deputies get the shortest one, so
// that they notice first that there is no acting coordinator.
func (s *aggregate) periodForLocked(r *coordpb.HostReport, now time.Time) time.Duration {
	if r.Address == s.ownAddress || slices.Contains(s.cachedDeputies, r.Address) {
		return minReportPeriod
	}
	return s.periodLocked(now)
}

// periodFor returns the period of a host that has reported.
func (s *aggregate) periodFor(host string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[host]; h != nil {
		return h.period
	}
	return minReportPeriod
}

// hostCountLocked returns the number of hosts, as far as it is known.
func (s *aggregate) hostCountLocked(now time.Time) int {
	if now.Before(s.expectedUntil) {
		return max(len(s.hosts), s.expectedHosts)
	}
	return len(s.hosts)
}

// hostIndex returns the position of a host among all hosts, in the order of names.
func (s *aggregate) hostIndex(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.indexes == nil {
		s.indexes = make(map[string]int, len(s.hosts))
		for i, name := range slices.Sorted(maps.Keys(s.hosts)) {
			s.indexes[name] = i
		}
	}
	return s.indexes[host]
}

// expectHosts records how many hosts the previous acting coordinator had. Those that do
// not report here may be disconnected, and go on using their shares of the limits.
func (s *aggregate) expectHosts(hosts int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectedHosts, s.expectedUntil = hosts, now.Add(hostCountedFor)
}

// reportingShare returns the share of the hosts that have reported recently, among all
// that share the limits.
func (s *aggregate) reportingShare(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.hostCountLocked(now)
	if all == 0 {
		return 1
	}
	fresh := 0
	for _, h := range s.hosts {
		if h.fresh(now) {
			fresh++
		}
	}
	return float64(max(fresh, 1)) / float64(all)
}

// minSuspectHosts is how many hosts must exclude an upstream before it is excluded for
// all. A single one may have lost only its own path to the upstream.
const minSuspectHosts = 2

// suspects returns the upstreams that some host excludes; the value is true for those
// that at least minSuspectHosts do. A host that finds an upstream unresponsive reports
// it within a report's period, which spares the other hosts the requests that they
// would send there until they notice it themselves.
func (s *aggregate) suspects(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.suspectsAt.IsZero() && now.Sub(s.suspectsAt) < expiryInterval {
		return s.cachedSuspects
	}
	counts := map[string]int{}
	out := map[string]bool{}
	for _, h := range s.hosts {
		if !h.suspectsCount(now) {
			continue
		}
		for _, id := range h.report.Silent {
			counts[id]++
			out[id] = counts[id] >= minSuspectHosts
		}
	}
	s.cachedSuspects, s.suspectsAt = out, now
	return out
}

// anyOtherWithSpareCapacity reports whether another host that reports here has enough
// spare capacity to coordinate.
func (s *aggregate) anyOtherWithSpareCapacity(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.report.Ample && h.report.Address != s.ownAddress && h.fresh(now) {
			return true
		}
	}
	return false
}

const (
	// maxDeputies is how many hosts may campaign at once when the lease becomes free:
	// enough that some are left after the loss of a data centre.
	maxDeputies = 5
	// deputyInterval is how often deputies are chosen anew: that a deputy is lost is
	// noticed after reportFresh at the earliest.
	deputyInterval = 500 * time.Millisecond
)

// deputies returns the addresses of the hosts that should take the lease next: those
// with spare capacity first, in the same order for all that ask.
func (s *aggregate) deputies(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.deputiesAt) < deputyInterval && len(s.cachedDeputies) == min(len(s.hosts), maxDeputies) {
		return s.cachedDeputies
	}
	var spare, other []string
	for _, h := range s.hosts {
		if !h.fresh(now) || h.report.Address == "" {
			continue
		}
		if h.report.Ample {
			spare = append(spare, h.report.Address)
		} else {
			other = append(other, h.report.Address)
		}
	}
	sort.Slice(spare, func(i, j int) bool { return xxhash.Sum64String(spare[i]) < xxhash.Sum64String(spare[j]) })
	sort.Strings(other)
	all := append(spare, other...)
	s.cachedDeputies, s.deputiesAt = all[:min(len(all), maxDeputies)], now
	return s.cachedDeputies
}
