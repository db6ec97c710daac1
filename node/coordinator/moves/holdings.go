package moves

import (
	"slices"
	"time"

	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
)

// managedUpstreams returns the records of some upstreams.
func (p *Planner) managedUpstreams(entries []*fleet.Entry) []*managedUpstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*managedUpstream, 0, len(entries))
	for _, e := range entries {
		if u := p.upstreams[e.ID()]; u != nil && u.entry == e {
			out = append(out, u)
		}
	}
	return out
}

const (
	// maxHoldings is how many upstreams' holdings one answer contains; the remainder
	// follows with the next answers, the oldest changes first. Without it 299 hosts that
	// link at the same time would get 3,000 each, some 300 kB: more than the memory and
	// the link of the coordinator carry before their reports count as failed and they
	// begin anew.
	maxHoldings = 250
	// holdingsRate is how many holdings are sent per second to all hosts together, some
	// 8 MB. A host needs them to decide by itself; while it gets permits it needs only
	// those that its callers wait for.
	holdingsRate = 100_000
	// MinHoldings is how many holdings an answer contains in any case.
	MinHoldings = 16
)

// holdingsLimit returns how many upstreams' holdings an answer to one of so many hosts
// contains, if each reports once in a period.
func holdingsLimit(hosts int, period time.Duration) int {
	limit := int(holdingsRate * period.Seconds() / float64(max(hosts, 1)))
	return min(max(limit, MinHoldings), maxHoldings)
}

// AddHoldings adds the holdings that changed, and those of upstreams where a model that
// the host's callers wait for is resident or being loaded.
func (p *Planner) AddHoldings(r *coordpb.HostReport, out *coordpb.SiteState, now time.Time) {
	awaited := map[*managedUpstream]bool{}
	for _, d := range r.Demand {
		if d.Unserved == 0 {
			continue
		}
		for _, u := range p.managedUpstreams(slices.Concat(p.deps.Fleet.EntriesWithModel(d.Service, d.Model), p.deps.Fleet.EntriesLoading(d.Service, d.Model))) {
			awaited[u] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out.Revision = p.revision
	if r.Revision < p.revision {
		changed, to, complete := p.holdingChanges.Since(r.Revision, holdingsLimit(int(out.Hosts), wire.Milliseconds(out.PeriodMs)))
		if !complete {
			out.Revision = to
		}
		for _, u := range changed {
			out.Holdings = append(out.Holdings, u.holding(now))
			delete(awaited, u)
		}
	}
	for u := range awaited {
		out.Holdings = append(out.Holdings, u.holding(now))
	}
}

// holding returns what the upstream can serve now or soon, for the other hosts.
func (u *managedUpstream) holding(now time.Time) *coordpb.Holding {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := &coordpb.Holding{Upstream: u.entry.ID(), Born: u.entry.StartedMs()}
	for _, r := range u.record.ReadyResidents() {
		out.Residents = append(out.Residents, &coordpb.Resident{Model: r.Model, Adapters: r.Adapters})
	}
	if v := u.activeMove; v != nil {
		out.Coming = []*coordpb.Coming{{Model: v.Load, ReadyMs: uint32(max(u.readyAtLocked(v, now).Sub(now), 0).Milliseconds())}}
	}
	return out
}

// readyAtLocked returns when the model of a move can be expected to serve, at the
// earliest: the model that is evicted for it may have to finish its streams first.
func (u *managedUpstream) readyAtLocked(v *activeMove, now time.Time) time.Time {
	took := replica.LoadTime(u.engine, v.Load, v.From)
	if v.loadingSince.IsZero() {
		return now.Add(took)
	}
	return v.loadingSince.Add(took)
}
