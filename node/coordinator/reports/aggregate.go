// Package reports keeps the last report of each host and what the acting coordinator
// derives from all of them: the sum of the loads at each upstream, the upstreams that
// several hosts exclude, the hosts that take over next, those through which partitioned
// hosts send requests, and how often each host reports.
//
// Memory grows with the hosts and the upstreams that each of them uses. A report costs
// what it contains, whatever the number of hosts; what takes longer is computed at most
// once per expiryInterval for all hosts, and grows with the hosts, or with the upstreams in
// use.
//
// The mutex of an Aggregate guards all of it. It is held while nothing is awaited; the
// fleet is read under it, and no other lock of the coordinator is taken.
package reports

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
)

const (
	// HostCountedFor is how long a host counts among those that share the retry budget.
	// It is long because a host that is disconnected goes on spending its share.
	HostCountedFor = 20 * time.Second
	// expiryInterval is how often the age of reports is checked. It is short compared
	// to the times above.
	expiryInterval = 100 * time.Millisecond
)

// Config holds the settings of an Aggregate.
type Config struct {
	OwnAddress string                     // address of this host
	RunsModels func(upstream string) bool // reports whether an upstream runs models
	MaxPeriod  time.Duration              // maximum period of reports; 0: unbounded
	MaxRate    int                        // maximum reports per second of all hosts together; 0: the default
}

// Aggregate adds up the loads of all hosts. Each report changes the totals only by its
// difference to the last one: computing them anew for each of 195 hosts, five times a
// second, took a quarter of a core.
type Aggregate struct {
	cfg Config

	mu        sync.Mutex
	hosts     map[string]*lastReport
	totals    map[string]fleet.Load // by upstream ID, over reports that count; no zero loads
	expiredAt time.Time             // when the age of reports was last checked

	busiest   []string // upstreams with the most requests, as of busiestAt
	busiestAt time.Time

	indexes map[string]int // position of each host in the order of names; nil: outdated

	expectedHosts int // number of hosts of the previous acting coordinator, used until expectedUntil
	expectedUntil time.Time

	cachedDetours detourHosts // hosts that forward requests, as of detoursAt
	detoursAt     time.Time   // zero: a report has changed them

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

	detoursAt time.Time // when the host was last sent detours
}

// fresh reports whether the report counts.
func (h *lastReport) fresh(now time.Time) bool { return now.Sub(h.at) <= wire.FreshFor(h.period) }

// AllFresh reports whether the last report of each counted host is fresh.
func (a *Aggregate) AllFresh(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.hosts {
		if !h.fresh(now) {
			return false
		}
	}
	return true
}

// suspectsCount reports whether the upstreams that the host excludes still count as
// suspects: until its next report is due, and half a period more.
func (h *lastReport) suspectsCount(now time.Time) bool { return now.Sub(h.at) <= h.period*5/2 }

// New returns an Aggregate without reports.
func New(cfg Config) *Aggregate {
	if cfg.MaxRate == 0 {
		cfg.MaxRate = MaxReportRate
	}
	return &Aggregate{cfg: cfg, hosts: map[string]*lastReport{}, totals: map[string]fleet.Load{}}
}

// Record replaces one host's report.
func (a *Aggregate) Record(r *coordpb.HostReport, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	former := a.hosts[r.Host]
	h := &lastReport{at: now, period: a.periodForLocked(r, now), report: r, inTotals: true}
	if former == nil {
		a.indexes = nil
	}
	if former == nil || former.report.Partitioned != r.Partitioned || !slices.Equal(former.report.Silent, r.Silent) {
		a.suspectsAt = time.Time{}
	}
	if former == nil || former.report.Partitioned != r.Partitioned || former.report.DetourAddress != r.DetourAddress {
		a.detoursAt = time.Time{}
	}
	if former != nil {
		h.detoursAt = former.detoursAt
	}
	a.subtractLocked(former)
	for _, l := range r.Loads {
		a.addLocked(l.Upstream, wire.LoadOf(l))
	}
	a.hosts[r.Host] = h
}

func (a *Aggregate) addLocked(upstream string, l fleet.Load) {
	sum := a.totals[upstream].Plus(l)
	if sum == (fleet.Load{}) {
		delete(a.totals, upstream)
		return
	}
	a.totals[upstream] = sum
}

// subtractLocked removes a report from the totals, if it is included.
func (a *Aggregate) subtractLocked(h *lastReport) {
	if h == nil || !h.inTotals {
		return
	}
	h.inTotals = false
	for _, l := range h.report.Loads {
		a.addLocked(l.Upstream, wire.LoadOf(l).Negated())
	}
}

// expireLocked removes reports that are too old.
func (a *Aggregate) expireLocked(now time.Time) {
	if now.Sub(a.expiredAt) < expiryInterval {
		return
	}
	a.expiredAt = now
	for name, h := range a.hosts {
		age := now.Sub(h.at)
		if !h.fresh(now) {
			a.subtractLocked(h)
		}
		if age > HostCountedFor {
			delete(a.hosts, name)
			a.indexes = nil
		}
	}
}

// maxOthers is how many upstreams' loads an answer to a host contains. Upstreams that
// are left out have less load, or none.
const maxOthers = 64

// Others adds up the loads of all hosts except one, at those of the wanted upstreams
// where they are highest. It also returns the number of hosts.
func (a *Aggregate) Others(host string, now time.Time, wanted func(upstream string) bool) (all []*coordpb.Load, hosts int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	ownLoads := map[string]fleet.Load{}
	if h := a.hosts[host]; h != nil && h.inTotals {
		for _, l := range h.report.Loads {
			ownLoads[l.Upstream] = ownLoads[l.Upstream].Plus(wire.LoadOf(l))
		}
	}
	busiest := a.busiestLocked(now)
	buf := make([]coordpb.Load, 0, len(busiest))
	for _, id := range busiest {
		sum := a.totals[id].Plus(ownLoads[id].Negated())
		if sum.Requests <= 0 || !wanted(id) {
			continue
		}
		buf = buf[:len(buf)+1]
		l := &buf[len(buf)-1]
		l.Upstream, l.Requests, l.Waiting, l.Tokens = id, uint32(sum.Requests), uint32(max(sum.PendingPromptTokens, 0)), uint32(max(sum.Tokens, 0))
		all = append(all, l)
	}
	return all, len(a.hosts)
}

// busiestLocked returns the upstreams with the most requests: up to maxOthers that run
// models and up to maxOthers that don't, updated once per expiryInterval. If there are
// only a few upstreams in all, it returns all of them.
func (a *Aggregate) busiestLocked(now time.Time) []string {
	if len(a.totals) <= maxOthers {
		return slices.Collect(maps.Keys(a.totals))
	}
	if now.Sub(a.busiestAt) < expiryInterval {
		return a.busiest
	}
	a.busiestAt = now
	byRequests := func(x, y string) int { return cmp.Compare(a.totals[y].Requests, a.totals[x].Requests) }
	var models, plain []string
	for id := range a.totals {
		if a.cfg.RunsModels(id) {
			models = append(models, id)
		} else {
			plain = append(plain, id)
		}
	}
	slices.SortFunc(models, byRequests)
	slices.SortFunc(plain, byRequests)
	a.busiest = append(models[:min(len(models), maxOthers)], plain[:min(len(plain), maxOthers)]...)
	return a.busiest
}

// MaxReportRate is how many reports a second are asked of all hosts together. Each
// takes about 60 us with its answer and its connection; the more hosts there are, the
// less often each one reports what is not urgent.
const MaxReportRate = 1000

// Period returns how often each host reports that has nothing urgent to report.
func (a *Aggregate) Period(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.periodLocked(now)
}

func (a *Aggregate) periodLocked(now time.Time) time.Duration {
	period := time.Second * time.Duration(a.hostCountLocked(now)) / time.Duration(a.cfg.MaxRate)
	if a.cfg.MaxPeriod > 0 {
		period = min(period, a.cfg.MaxPeriod)
	}
	return max(wire.MinReportPeriod, period)
}

// periodForLocked returns the period of one host. The deputies get the shortest one, so
// that they notice first that there is no acting coordinator.
func (a *Aggregate) periodForLocked(r *coordpb.HostReport, now time.Time) time.Duration {
	if r.Address == a.cfg.OwnAddress || slices.Contains(a.cachedDeputies, r.Address) {
		return wire.MinReportPeriod
	}
	return a.periodLocked(now)
}

// PeriodFor returns the period of a host that has reported.
func (a *Aggregate) PeriodFor(host string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.hosts[host]; h != nil {
		return h.period
	}
	return wire.MinReportPeriod
}

// hostCountLocked returns the number of hosts, as far as it is known.
func (a *Aggregate) hostCountLocked(now time.Time) int {
	if now.Before(a.expectedUntil) {
		return max(len(a.hosts), a.expectedHosts)
	}
	return len(a.hosts)
}

// HostIndex returns the position of a host among all hosts, in the order of names.
func (a *Aggregate) HostIndex(host string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.indexes == nil {
		a.indexes = make(map[string]int, len(a.hosts))
		for i, name := range slices.Sorted(maps.Keys(a.hosts)) {
			a.indexes[name] = i
		}
	}
	return a.indexes[host]
}

// ExpectHosts records how many hosts the previous acting coordinator had. Those that do
// not report here may be disconnected, and go on using their shares of the limits.
func (a *Aggregate) ExpectHosts(hosts int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expectedHosts, a.expectedUntil = hosts, now.Add(HostCountedFor)
}

// ReportingShare returns the share of the hosts that have reported recently, among all
// that share the limits.
func (a *Aggregate) ReportingShare(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.hostCountLocked(now)
	if all == 0 {
		return 1
	}
	fresh := 0
	for _, h := range a.hosts {
		if h.fresh(now) {
			fresh++
		}
	}
	return float64(max(fresh, 1)) / float64(all)
}

// minSuspectHosts is how many hosts must exclude an upstream before it is excluded for
// all. A single one may have lost only its own path to the upstream.
const minSuspectHosts = 2

// Suspects returns the upstreams that some host excludes; the value is true for those
// that at least minSuspectHosts do. A host that finds an upstream unresponsive reports
// it within a report's period, which spares the other hosts the requests that they
// would send there until they notice it themselves.
func (a *Aggregate) Suspects(now time.Time) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.suspectsAt.IsZero() && now.Sub(a.suspectsAt) < expiryInterval {
		return a.cachedSuspects
	}
	counts := map[string]int{}
	out := map[string]bool{}
	for _, h := range a.hosts {
		if !h.suspectsCount(now) || h.report.Partitioned {
			continue
		}
		for _, id := range h.report.Silent {
			counts[id]++
			out[id] = counts[id] >= minSuspectHosts
		}
	}
	a.cachedSuspects, a.suspectsAt = out, now
	return out
}

// AnyOtherWithSpareCapacity reports whether another host that reports here has enough
// spare capacity to coordinate.
func (a *Aggregate) AnyOtherWithSpareCapacity(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.hosts {
		if h.report.Ample && !h.report.Partitioned && h.report.Address != a.cfg.OwnAddress && h.fresh(now) {
			return true
		}
	}
	return false
}

const (
	// MaxDeputies is how many hosts may campaign at once when the lease becomes free:
	// enough that some are left after the loss of a data centre.
	MaxDeputies = 5
	// deputyInterval is how often deputies are chosen anew: that a deputy is lost is
	// noticed after wire.ReportFresh at the earliest.
	deputyInterval = 500 * time.Millisecond
)

// Deputies returns the addresses of the hosts that should take the lease next: those
// with spare capacity first, partitioned ones last, in the same order for all that ask.
func (a *Aggregate) Deputies(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.deputiesAt) < deputyInterval && len(a.cachedDeputies) == min(len(a.hosts), MaxDeputies) {
		return a.cachedDeputies
	}
	var spare, other, partitioned []string
	for _, h := range a.hosts {
		if !h.fresh(now) || h.report.Address == "" {
			continue
		}
		if h.report.Partitioned {
			partitioned = append(partitioned, h.report.Address)
		} else if h.report.Ample {
			spare = append(spare, h.report.Address)
		} else {
			other = append(other, h.report.Address)
		}
	}
	sort.Slice(spare, func(i, j int) bool { return xxhash.Sum64String(spare[i]) < xxhash.Sum64String(spare[j]) })
	sort.Strings(other)
	sort.Strings(partitioned)
	all := slices.Concat(spare, other, partitioned)
	a.cachedDeputies, a.deputiesAt = all[:min(len(all), MaxDeputies)], now
	return a.cachedDeputies
}
