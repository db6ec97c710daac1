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
	freshLeast   = 900 * time.Millisecond
	// hostFresh is how long a host counts as one that shares the allowance of
	// repeats. Long, since a host that is cut off goes on spending its share.
	hostFresh = 20 * time.Second
	// expiryEach is how often reports are looked at for their age: often against
	// the times above.
	expiryEach = 100 * time.Millisecond
)

// freshFor is how long a word counts that comes once in a period.
func freshFor(period time.Duration) time.Duration { return freshLeast + freshPeriods*period }

// reportFresh is that at the least period.
const reportFresh = freshLeast + freshPeriods*reportPeriod

// sums adds up the hosts' loads. Each report changes the sums by what is new in
// it: added up anew for each of 195 hosts, five times a second, they took a
// quarter of a core.
type sums struct {
	mu      sync.Mutex
	hosts   map[string]*hostLoads
	total   map[string]fleet.Load // by upstream, of the reports that count; no zero loads
	expired time.Time             // when reports were last looked at for their age

	highest    []string // upstreams with most requests, as of highestAt
	highestAt  time.Time
	runsModels func(upstream string) bool
	own        string        // address of this host
	longest    time.Duration // period of reports; 0: not bounded
	reports    int           // asked of all hosts a second

	places map[string]int // of hosts in the order of their names; nil: hosts have come or gone

	expected   int // hosts that another that acted had, until then
	expectedBy time.Time

	named   []string // of deputies, as of namedAt
	namedAt time.Time
	words   map[string]bool // of suspects, as of wordsAt
	wordsAt time.Time       // zero: a report has changed them
}

type hostLoads struct {
	at      time.Time
	period  time.Duration // until its next report, as it was told
	report  *coordpb.HostReport
	counted bool // in total
}

// fresh says whether the report counts.
func (h *hostLoads) fresh(now time.Time) bool { return now.Sub(h.at) <= freshFor(h.period) }

// suspects says whether its word on upstreams that are left alone counts: until
// its next report, and half a period more.
func (h *hostLoads) suspects(now time.Time) bool { return now.Sub(h.at) <= h.period*5/2 }

func newSums(own string, runsModels func(upstream string) bool) *sums {
	return &sums{hosts: map[string]*hostLoads{}, total: map[string]fleet.Load{}, runsModels: runsModels, own: own, reports: reportsMost}
}

// take replaces one host's loads.
func (s *sums) take(r *coordpb.HostReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.hosts[r.Host]
	h := &hostLoads{at: now, period: s.periodOfLocked(r, now), report: r, counted: true}
	if former == nil {
		s.places = nil
	}
	if former == nil || !slices.Equal(former.report.Silent, r.Silent) {
		s.wordsAt = time.Time{}
	}
	s.uncountLocked(former)
	for _, l := range r.Loads {
		s.addLocked(l.Upstream, loadOf(l))
	}
	s.hosts[r.Host] = h
}

func loadOf(l *coordpb.Load) fleet.Load {
	return fleet.Load{Requests: int(l.Requests), PendingPromptTokens: int(l.Waiting), Tokens: int(l.Tokens)}
}

func (s *sums) addLocked(upstream string, l fleet.Load) {
	sum := s.total[upstream].Plus(l)
	if sum == (fleet.Load{}) {
		delete(s.total, upstream)
		return
	}
	s.total[upstream] = sum
}

// uncountLocked takes a report out of the sums, if it is in them.
func (s *sums) uncountLocked(h *hostLoads) {
	if h == nil || !h.counted {
		return
	}
	h.counted = false
	for _, l := range h.report.Loads {
		s.addLocked(l.Upstream, loadOf(l).Negated())
	}
}

// expireLocked takes out what is too old.
func (s *sums) expireLocked(now time.Time) {
	if now.Sub(s.expired) < expiryEach {
		return
	}
	s.expired = now
	for name, h := range s.hosts {
		age := now.Sub(h.at)
		if !h.fresh(now) {
			s.uncountLocked(h)
		}
		if age > hostFresh {
			delete(s.hosts, name)
			s.places = nil
		}
	}
}

// othersMost is how many upstreams' loads a host is told. Those that are not named
// have less, or none.
const othersMost = 64

// others adds up the loads of all hosts but one at those of the wanted upstreams
// where they are highest, and counts the hosts.
func (s *sums) others(host string, now time.Time, wanted func(upstream string) bool) (all []*coordpb.Load, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(now)
	own := map[string]fleet.Load{}
	if h := s.hosts[host]; h != nil && h.counted {
		for _, l := range h.report.Loads {
			own[l.Upstream] = own[l.Upstream].Plus(loadOf(l))
		}
	}
	highest := s.highestLocked(now)
	room := make([]coordpb.Load, 0, len(highest))
	for _, id := range highest {
		sum := s.total[id].Plus(own[id].Negated())
		if sum.Requests <= 0 || !wanted(id) {
			continue
		}
		room = room[:len(room)+1]
		l := &room[len(room)-1]
		l.Upstream, l.Requests, l.Waiting, l.Tokens = id, uint32(sum.Requests), uint32(max(sum.PendingPromptTokens, 0)), uint32(max(sum.Tokens, 0))
		all = append(all, l)
	}
	return all, len(s.hosts)
}

// highestLocked are the upstreams with most requests, othersMost of those that run
// models and as many others, brought up to date expiryEach; all there are, if these
// are as few.
func (s *sums) highestLocked(now time.Time) []string {
	if len(s.total) <= othersMost {
		return slices.Collect(maps.Keys(s.total))
	}
	if now.Sub(s.highestAt) < expiryEach {
		return s.highest
	}
	s.highestAt = now
	byRequests := func(a, b string) int { return cmp.Compare(s.total[b].Requests, s.total[a].Requests) }
	var models, plain []string
	for id := range s.total {
		if s.runsModels(id) {
			models = append(models, id)
		} else {
			plain = append(plain, id)
		}
	}
	slices.SortFunc(models, byRequests)
	slices.SortFunc(plain, byRequests)
	s.highest = append(models[:min(len(models), othersMost)], plain[:min(len(plain), othersMost)]...)
	return s.highest
}

// reportsMost is how many reports a second are asked of all hosts together. Each
// takes some 60 us with its answer and its connection; the more hosts, the less
// often each of them reports what can wait.
const reportsMost = 1000

// period is how often each host reports that has nothing to tell at once.
func (s *sums) period(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.periodLocked(now)
}

func (s *sums) periodLocked(now time.Time) time.Duration {
	period := time.Second * time.Duration(s.allLocked(now)) / time.Duration(s.reports)
	if s.longest > 0 {
		period = min(period, s.longest)
	}
	return max(reportPeriod, period)
}

// periodOfLocked is that of one host. Those that would act next notice soonest that
// nobody does.
func (s *sums) periodOfLocked(r *coordpb.HostReport, now time.Time) time.Duration {
	if r.Address == s.own || slices.Contains(s.named, r.Address) {
		return reportPeriod
	}
	return s.periodLocked(now)
}

// periodOf is that of one host that has reported.
func (s *sums) periodOf(host string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[host]; h != nil {
		return h.period
	}
	return reportPeriod
}

// allLocked is how many hosts there are, as far as is known.
func (s *sums) allLocked(now time.Time) int {
	if now.Before(s.expectedBy) {
		return max(len(s.hosts), s.expected)
	}
	return len(s.hosts)
}

// place is a host's among all, by name.
func (s *sums) place(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.places == nil {
		s.places = make(map[string]int, len(s.hosts))
		for i, name := range slices.Sorted(maps.Keys(s.hosts)) {
			s.places[name] = i
		}
	}
	return s.places[host]
}

// expect notes how many hosts another had that acted before. Those that do not
// report here may be cut off, and go on by their shares.
func (s *sums) expect(hosts int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected, s.expectedBy = hosts, now.Add(hostFresh)
}

// heard is the part of the hosts that share the limits which has reported lately.
func (s *sums) heard(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.allLocked(now)
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

// suspectHosts is how many hosts must leave an upstream alone for all to do so.
// One may only have lost its own way to it.
const suspectHosts = 2

// suspects are the upstreams that several hosts leave alone. A host that has
// just found one dark tells within a report's period, and spares the others
// what they would send there until they notice themselves.
func (s *sums) suspects(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.wordsAt.IsZero() && now.Sub(s.wordsAt) < expiryEach {
		return s.words
	}
	words := map[string]int{}
	out := map[string]bool{}
	for _, h := range s.hosts {
		if !h.suspects(now) {
			continue
		}
		for _, id := range h.report.Silent {
			words[id]++
			out[id] = words[id] >= suspectHosts
		}
	}
	s.words, s.wordsAt = out, now
	return out
}

// anyAmple says whether a host reports that has enough to spare to act for all.
func (s *sums) anyAmple(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.report.Ample && h.report.Address != s.own && h.fresh(now) {
			return true
		}
	}
	return false
}

const (
	// deputiesMost is how many hosts may run for the lease at once when it falls
	// free: enough that some are left after a data centre is lost.
	deputiesMost = 5
	// deputiesEach is how often they are chosen anew: each of the lost ones is
	// noticed after reportFresh at the earliest.
	deputiesEach = 500 * time.Millisecond
)

// deputies names the hosts that should take the lease next: those with most to
// spare, the same for all that ask.
func (s *sums) deputies(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.namedAt) < deputiesEach && len(s.named) == min(len(s.hosts), deputiesMost) {
		return s.named
	}
	var ample, other []string
	for _, h := range s.hosts {
		if !h.fresh(now) || h.report.Address == "" {
			continue
		}
		if h.report.Ample {
			ample = append(ample, h.report.Address)
		} else {
			other = append(other, h.report.Address)
		}
	}
	sort.Slice(ample, func(i, j int) bool { return xxhash.Sum64String(ample[i]) < xxhash.Sum64String(ample[j]) })
	sort.Strings(other)
	all := append(ample, other...)
	s.named, s.namedAt = all[:min(len(all), deputiesMost)], now
	return s.named
}
