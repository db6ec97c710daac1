package coordinator

import (
	"context"
	"net"
	"slices"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// Serve answers other hosts on ln until ctx ends.
func (c *Coordinator) Serve(ctx context.Context, ln net.Listener) error {
	mux := drpcmux.New()
	if err := coordpb.DRPCRegisterCoordinator(mux, service{c}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, ln)
}

// service is what this host offers to the others.
type service struct{ c *Coordinator }

// Report implements coordpb.DRPCCoordinatorServer, as the methods below do.
func (s service) Report(_ context.Context, r *coordpb.HostReport) (*coordpb.SiteState, error) {
	out := s.c.report(r)
	err := s.c.relay(r, out)
	s.c.countReport(r, out)
	return out, err
}

func (s service) Adapter(ctx context.Context, a *coordpb.AdapterCall) (*coordpb.AdapterAnswer, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callAdapter, 1)
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	upstream, err := s.c.LoadAdapter(ctx, a.Upstream, a.Model, a.Adapter)
	if err != nil {
		return &coordpb.AdapterAnswer{Problem: err.Error()}, nil
	}
	return &coordpb.AdapterAnswer{Upstream: upstream}, nil
}

// adapterTimeout ends the work for a host whose own wait is over.
const adapterTimeout = time.Second

func (s service) State(_ context.Context, q *coordpb.StateCall) (*coordpb.StateAnswer, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callState, 1)
	out := &coordpb.StateAnswer{Coordinator: addressOf(s.c.deps.Lease.LastObserved().Holder)}
	if linked := s.c.linkedAddress(); linked != "" {
		out.Coordinator = linked
	}
	if q.Brief {
		return out, nil
	}
	if t := s.c.deps.Config.Current(); t != nil && t.Config.Version > q.ConfigAbove {
		plain, _, err := s.c.encodings.config(t.Config)
		if err != nil {
			return nil, err
		}
		out.Config = plain
	}
	var err error
	out.Upstreams, err = s.c.encodings.upstreams(s.c.deps.Fleet.ChangesSince(0, false).Put)
	return out, err
}

// report takes one host's report and answers what it needs of the others.
func (c *Coordinator) report(r *coordpb.HostReport) *coordpb.SiteState {
	now := c.now()
	c.applyReport(r, now)
	out := c.answerLoads(r, now)
	c.accounts.addTo(out, now)
	c.quarantine.addTo(r, out, now)
	c.addSignals(r, out, now)
	c.addLease(out, now)
	return out
}

// applyReport notes what a host has sent and what callers asked of it.
func (c *Coordinator) applyReport(r *coordpb.HostReport, now time.Time) {
	c.aggregate.record(r, now)
	c.deps.Fleet.ApplySignals(decodeSignals(r.Signals, now), fromHost+r.Host)
	c.accounts.adoptStates(r.TeamWords, now)
	c.accounts.addUse(r.Teams, now)
	c.quarantine.receive(r, now)
	c.demand.add(r.Demand, c.engineTime, now)
	for _, d := range r.Demand {
		for _, u := range c.managedUpstreams(c.deps.Fleet.EntriesWithModel(d.Service, d.Model)) {
			u.recordUse(d, now)
		}
	}
	if len(r.Signals)+len(r.Crashes) > 0 {
		c.announce()
	}
}

// managedUpstreams are the accounts of some upstreams.
func (c *Coordinator) managedUpstreams(entries []*fleet.Entry) []*managedUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*managedUpstream, 0, len(entries))
	for _, e := range entries {
		if u := c.upstreams[e.ID()]; u != nil && u.entry == e {
			out = append(out, u)
		}
	}
	return out
}

// answerLoads says what the others have sent and what changed at the upstreams.
func (c *Coordinator) answerLoads(r *coordpb.HostReport, now time.Time) *coordpb.SiteState {
	out := &coordpb.SiteState{Deputies: c.aggregate.deputies(now), ModelsLater: r.ModelsLater}
	others, hosts := c.aggregate.others(r.Host, now, func(upstream string) bool {
		return !r.ModelsLater || !c.runsModelsAt(upstream)
	})
	out.Others, out.Hosts = others, uint32(hosts)
	out.PeriodMs = uint32(c.aggregate.periodFor(r.Host).Milliseconds())
	c.addHoldings(r, out, now)
	return out
}

const (
	// maxHoldings is how many upstreams' holdings one answer tells; the rest follow
	// with the next ones, the oldest changes first. 299 hosts that link at once would
	// get 3,000 each, some 300 kB: more than the holder's memory and link carry before
	// their reports count as lost and they begin anew.
	maxHoldings = 250
	// holdingsRate is how many are told a second to all hosts together, some 8 MB.
	// A host needs them to go on by itself; while it has turns it needs those alone
	// that its callers wait for.
	holdingsRate = 100_000
	// minHoldings is how many an answer tells in any case.
	minHoldings = 16
)

// holdingsLimit is how many upstreams' holdings an answer to one of some hosts tells
// that reports once in a period.
func holdingsLimit(hosts int, period time.Duration) int {
	limit := int(holdingsRate * period.Seconds() / float64(max(hosts, 1)))
	return min(max(limit, minHoldings), maxHoldings)
}

// addHoldings adds what changed of what upstreams hold, and what holds or loads the
// models that the host's callers wait for.
func (c *Coordinator) addHoldings(r *coordpb.HostReport, out *coordpb.SiteState, now time.Time) {
	awaited := map[*managedUpstream]bool{}
	for _, d := range r.Demand {
		if d.Unserved == 0 {
			continue
		}
		for _, u := range c.managedUpstreams(slices.Concat(c.deps.Fleet.EntriesWithModel(d.Service, d.Model), c.deps.Fleet.EntriesLoading(d.Service, d.Model))) {
			awaited[u] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Revision = c.revision
	if r.Revision < c.revision {
		changed, to, complete := c.holdingChanges.Since(r.Revision, holdingsLimit(int(out.Hosts), milliseconds(out.PeriodMs)))
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

// engine is what each upstream of a service can hold; nil: a plain service, or
// one that is not known.
func (c *Coordinator) engine(service string) *deploy.Engine {
	table := c.deps.Config.Current()
	if table == nil {
		return nil
	}
	s, ok := table.Service(service)
	if !ok {
		return nil
	}
	return s.Engine
}

// runsModels says whether a service's upstreams run models.
func (c *Coordinator) runsModels(service string) bool { return c.engine(service) != nil }

func (c *Coordinator) runsModelsAt(upstream string) bool {
	e, ok := c.deps.Fleet.Entry(upstream)
	return ok && c.runsModels(e.Service())
}

// addLease says whether this host holds the lease, and what its successor
// needs to know when it does not any more.
func (c *Coordinator) addLease(out *coordpb.SiteState, now time.Time) {
	if rows, record, held := c.deps.Lease.HeldRecord(); held {
		out.Holding, out.Epoch, out.GrantRow, out.BeatRow, out.Grant = true, record.Epoch, rows.Grant, rows.Heartbeat, record.Encode()
		return
	}
	if c.actingWithoutLease.Load() { // it has nothing of the lease to hand over
		out.Acting = true
		return
	}
	out.Acting = c.deps.Lease.Lapsed()
	out.Handover = c.currentHandover(out.Acting, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Epoch = c.term.Epoch
	if out.Epoch == 0 {
		out.Epoch = c.lastEpoch
	}
	age := time.Hour
	if !c.lastOrderAt.IsZero() {
		age = now.Sub(c.lastOrderAt)
	}
	out.LastOrderMs = uint32(min(age, time.Hour).Milliseconds())
}

// holding is what the upstream can answer now or will soon, for the other hosts.
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

// readyAtLocked is when the model of a move can be expected to answer, at the
// earliest: what makes way for it may have to end its streams first.
func (u *managedUpstream) readyAtLocked(v *activeMove, now time.Time) time.Time {
	took := replica.LoadTime(u.engine, v.Load, v.From)
	if v.loadingSince.IsZero() {
		return now.Add(took)
	}
	return v.loadingSince.Add(took)
}
