// Package moves keeps records of the models and adapters that each upstream has resident,
// plans which ones each should have, gives the orders for that under the lease, and
// publishes to the hosts what the upstreams have.
//
// Memory grows with the upstreams and what they have resident. A plan grows with the
// upstreams and models of a service, a refresh with the descriptions that changed, and an
// answer to a host is bounded by MinHoldings and maxHoldings. Only the number of holdings
// that are sent to each depends on the number of hosts.
//
// The mutex of a Planner guards which upstreams there are and the order in which their
// holdings changed. Each upstream's record has a mutex, which is taken after the
// Planner's, and a token that is held while an order is sent, which is taken before any
// mutex. The counts of loads from the weight store have a mutex of their own, under which
// no other is taken. No mutex of this package is held when a method of the Term is called,
// so that the Term may call the Planner under its own.
package moves

import (
	"sync"
	"time"

	"peridotpier.example/core/changes"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/orders"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/metrics"
)

// Term is the lease under which this host gives orders.
type Term interface {
	// MayOrder returns nil if an order that ends within need may be sent now, and
	// MayOrderTo the same for one upstream. It must be called right before each send.
	MayOrder(need time.Duration) error
	MayOrderTo(upstream string, need time.Duration) error
	// InQuietPeriod reports whether an upstream gets no order yet since a former holder
	// may have given it one.
	InQuietPeriod(upstream string, now time.Time) bool
	// RecordOrder records that an order is being sent to an upstream now.
	RecordOrder(upstream string)
	// Authority returns the authority under which orders are given.
	Authority() orders.Authority
}

// Deps are the settings and dependencies of a Planner.
type Deps struct {
	Fleet           *fleet.Fleet
	Config          *follow.ActiveConfig
	Term            Term
	Orders          orders.Client
	Demand          *demand.Demand
	StoreLoads      *StoreLoads
	Log             *event.Log
	Metrics         *metrics.Set // nil: a separate set is made
	Now             func() time.Time
	Policy          replica.Policy // zero: the default
	AdapterLoadTime time.Duration  // time that loading an adapter takes; 0: the default
	NoModelMoves    bool           // leaves models where they are, to measure what moves gain
}

// Planner keeps records of what the upstreams have resident, plans which models each
// should have, and carries out the moves and the loads of adapters.
type Planner struct {
	deps      Deps
	lastMoves lastMoves

	mu               sync.Mutex
	upstreams        map[string]*managedUpstream   // by upstream ID
	holdingChanges   changes.Log[*managedUpstream] // the order in which the upstreams' holdings changed
	scanned          scanPosition                  // state of the list at the last scan
	traits           map[string]*residency.Traits  // traits of upstreams, by service
	revision         uint64                        // incremented when the holdings of an upstream change
	newestUpstreamAt time.Time                     // when the newest upstream was first seen
}

// New returns a Planner without records.
func New(d Deps) *Planner {
	if d.Policy == (replica.Policy{}) {
		d.Policy = replica.DefaultPolicy
	}
	if d.Metrics == nil {
		d.Metrics = metrics.New()
	}
	if d.AdapterLoadTime == 0 {
		d.AdapterLoadTime = defaultAdapterLoadTime
	}
	p := &Planner{deps: d, upstreams: map[string]*managedUpstream{}, traits: map[string]*residency.Traits{}}
	p.publishReplicas()
	return p
}

// Reset drops the records of the upstreams: other hosts may have given orders since. What
// was observed of the services' upstreams is kept.
func (p *Planner) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams, p.holdingChanges, p.scanned = map[string]*managedUpstream{}, changes.Log[*managedUpstream]{}, scanPosition{}
}

// Refresh updates the records from the upstreams' descriptions.
func (p *Planner) Refresh(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshUpstreamsLocked(now)
}

// RecordUse records what callers requested at a host.
func (p *Planner) RecordUse(all []*coordpb.Demand, now time.Time) {
	for _, d := range all {
		for _, u := range p.managedUpstreams(p.deps.Fleet.EntriesWithModel(d.Service, d.Model)) {
			u.recordUse(d, now)
		}
	}
}

// UnconfirmedStoreLoads returns how many loads from the weight store were ordered and may
// still be carried out.
func (p *Planner) UnconfirmedStoreLoads() (n int) {
	for _, u := range p.allUpstreams() {
		if u.hasUnconfirmedStoreLoad() {
			n++
		}
	}
	return n
}

// newestUpstream returns when the newest upstream was first seen.
func (p *Planner) newestUpstream() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newestUpstreamAt
}

// scanPosition is the state of the upstreams up to which they were scanned.
type scanPosition struct {
	config     *deploy.Config
	membership uint64 // version of the set of upstreams in the fleet
	state      uint64 // state of the fleet's list
}

// refreshUpstreamsLocked adds and removes upstreams with the list, and enters their new
// descriptions. Most scans find only a few of these.
func (p *Planner) refreshUpstreamsLocked(now time.Time) {
	table := p.deps.Config.Current()
	if table == nil {
		return
	}
	pos := scanPosition{table.Config, p.deps.Fleet.MembershipVersion(), p.scanned.state}
	var described []*fleet.Entry
	described, pos.state = p.deps.Fleet.DescribedSince(p.scanned.state)
	if p.scanned.config != pos.config || p.scanned.membership != pos.membership {
		p.rebuildUpstreamsLocked(table, now)
	} else {
		for _, e := range described {
			if u := p.upstreams[e.ID()]; u != nil && u.entry == e && u.describe(now) {
				p.publishChangeLocked(u)
			}
		}
	}
	p.scanned = pos
}

func (p *Planner) rebuildUpstreamsLocked(table *deploy.Table, now time.Time) {
	seen := map[string]bool{}
	for _, e := range p.deps.Fleet.All() {
		s, ok := table.Service(e.Service())
		if !ok || s.Engine == nil {
			continue
		}
		seen[e.ID()] = true
		u := p.upstreams[e.ID()]
		if u == nil || u.entry != e {
			p.addUpstreamLocked(e, s, u, now)
			continue
		}
		if u.describe(now) {
			p.publishChangeLocked(u)
		}
	}
	for id, u := range p.upstreams {
		if !seen[id] {
			delete(p.upstreams, id)
			p.holdingChanges.Forget(u)
		}
	}
}

// addUpstreamLocked begins the record of an upstream's process. former is the record of
// the process before, or nil.
func (p *Planner) addUpstreamLocked(e *fleet.Entry, s *deploy.Service, former *managedUpstream, now time.Time) {
	u := newManagedUpstream(p, e, s.Engine, now)
	u.record.ShareTraits(p.traitsLocked(s.Name))
	if former != nil { // the upstream has restarted under its ID
		u.record.InheritUnconfirmed(former.unconfirmedOrders(now))
		p.holdingChanges.Forget(former)
	}
	p.upstreams[e.ID()] = u
	p.newestUpstreamAt = now
	p.publishChangeLocked(u)
}

// traitsLocked returns what was observed of a service's upstreams. It is kept across
// terms.
func (p *Planner) traitsLocked(service string) *residency.Traits {
	t := p.traits[service]
	if t == nil {
		t = &residency.Traits{}
		p.traits[service] = t
	}
	return t
}

// publishChange publishes an upstream's holdings, that is the models and adapters that
// it has resident and the model that is being loaded, to the hosts, with the answers to
// their next reports, if they differ from what was published last. An upstream is
// polled several times during each move, and most of its reports show nothing new.
func (p *Planner) publishChange(u *managedUpstream) {
	p.mu.Lock()
	p.publishChangeLocked(u)
	p.mu.Unlock()
}

// publishChangeLocked sets both revisions under one lock: a report that is answered
// with the new revision must include the upstream's change.
func (p *Planner) publishChangeLocked(u *managedUpstream) {
	if !u.updatePublished() && u.revision.Load() > 0 {
		return
	}
	p.revision++
	u.revision.Store(p.revision)
	p.holdingChanges.Record(u, p.revision)
}

func (p *Planner) upstream(id string) (*managedUpstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[id]
	return u, ok
}

func (p *Planner) allUpstreams() []*managedUpstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*managedUpstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		out = append(out, u)
	}
	return out
}
