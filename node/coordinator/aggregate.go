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
	// freshPeriods and freshLeast are how long a host's report counts: a few of its
	// periods, so that one lost report does not hide its load.
	freshPeriods = 3
	minFresh     = 900 * time.Millisecond
	// hostCountedFor is how long a host counts as one that shares the allowance of
	// repeats. Long, since a host that is cut off goes on spending its share.
	hostCountedFor = 20 * time.Second
	// expiryInterval is how often reports are looked at for their age: often against
	// the times above.
	expiryInterval = 100 * time.Millisecond
)

// freshFor is how long a word counts that comes once in a period.
func freshFor(period time.Duration) time.Duration { return minFresh + freshPeriods*period }

// reportFresh is that at the least period.
const reportFresh = minFresh + freshPeriods*minReportPeriod

// aggregate adds up the hosts' loads. Each report changes the sums by what is new in
// it: added up anew for each of 195 hosts, five times a second, they took a
// quarter of a core.
type aggregate struct {
	mu        sync.Mutex
	hosts     map[string]*lastReport
	totals    map[string]fleet.Load // by upstream, of the reports that count; no zero loads
	expiredAt time.Time             // when reports were last looked at for their age

	busiest    []string // upstreams with most requests, as of highestAt
	busiestAt  time.Time
	runsModels func(upstream string) bool
	ownAddress string        // address of this host
	maxPeriod  time.Duration // period of reports; 0: not bounded
	maxRate    int           // asked of all hosts a second

	indexes map[string]int // of hosts in the order of their names; nil: hosts have come or gone

	expectedHosts int // hosts that another that acted had, until then
	expectedUntil time.Time

	cachedDeputies []string // of deputies, as of namedAt
	deputiesAt     time.Time
	cachedSuspects map[string]bool // of suspects, as of wordsAt
	suspectsAt     time.Time       // zero: a report has changed them
}

type lastReport struct {
	at       time.Time
	period   time.Duration // until its next report, as it was told
	report   *coordpb.HostReport
	inTotals bool // in total
}

// fresh says whether the report counts.
func (h *lastReport) fresh(now time.Time) bool { return now.Sub(h.at) <= freshFor(h.period) }

// suspectsCount says whether its word on upstreams that are left alone counts: until
// its next report, and half a period more.
func (h *lastReport) suspectsCount(now time.Time) bool { return now.Sub(h.at) <= h.period*5/2 }

func newAggregate(own string, runsModels func(upstream string) bool) *aggregate {
	return &aggregate{hosts: map[string]*lastReport{}, totals: map[string]fleet.Load{}, runsModels: runsModels, ownAddress: own, maxRate: maxReportRate}
}

// record replaces one host's loads.
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

// subtractLocked takes a report out of the sums, if it is in them.
func (s *aggregate) subtractLocked(h *lastReport) {
	if h == nil || !h.inTotals {
		return
	}
	h.inTotals = false
	for _, l := range h.report.Loads {
		s.addLocked(l.Upstream, loadOf(l).Negated())
	}
}

// expireLocked takes out what is too old.
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

// maxOthers is how many upstreams' loads a host is told. Those that are not named
// have less, or none.
const maxOthers = 64

// others adds up the loads of all hosts but one at those of the wanted upstreams
// where they are highest, and counts the hosts.
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

// busiestLocked are the upstreams with most requests, othersMost of those that run
// models and as many others, brought up to date expiryEach; all there are, if these
// are as few.
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
// takes some 60 us with its answer and its connection; the more hosts, the less
// often each of them reports what can wait.
const maxReportRate = 1000

// period is how often each host reports that has nothing to tell at once.
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

// periodForLocked is that of one host. Those that would act next notice soonest that
// nobody does.
func (s *aggregate) periodForLocked(r *coordpb.HostReport, now time.Time) time.Duration {
	if r.Address == s.ownAddress || slices.Contains(s.cachedDeputies, r.Address) {
		return minReportPeriod
	}
	return s.periodLocked(now)
}

// periodFor is that of one host that has reported.
func (s *aggregate) periodFor(host string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[host]; h != nil {
		return h.period
	}
	return minReportPeriod
}

// hostCountLocked is how many hosts there are, as far as is known.
func (s *aggregate) hostCountLocked(now time.Time) int {
	if now.Before(s.expectedUntil) {
		return max(len(s.hosts), s.expectedHosts)
	}
	return len(s.hosts)
}

// hostIndex is a host's among all, by name.
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

// expectHosts notes how many hosts another had that acted before. Those that do not
// report here may be cut off, and go on by their shares.
func (s *aggregate) expectHosts(hosts int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectedHosts, s.expectedUntil = hosts, now.Add(hostCountedFor)
}

// reportingShare is the part of the hosts that share the limits which has reported lately.
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

// minSuspectHosts is how many hosts must leave an upstream alone for all to do so.
// One may only have lost its own way to it.
const minSuspectHosts = 2

// suspects are the upstreams that several hosts leave alone. A host that has
// just found one dark tells within a report's period, and spares the others
// what they would send there until they notice themselves.
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

// anyOtherWithSpareCapacity says whether a host reports that has enough to spare to act for all.
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
	// maxDeputies is how many hosts may run for the lease at once when it falls
	// free: enough that some are left after a data centre is lost.
	maxDeputies = 5
	// deputyInterval is how often they are chosen anew: each of the lost ones is
	// noticed after reportFresh at the earliest.
	deputyInterval = 500 * time.Millisecond
)

// deputies names the hosts that should take the lease next: those with most to
// spare, the same for all that ask.
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
