package coordinator

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/permits"
	"peridotpier.example/node/coordinator/wire"
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

// service is the service that this host offers to the others.
type service struct{ c *Coordinator }

// Report implements coordpb.DRPCCoordinatorServer, as the methods below do.
func (s service) Report(_ context.Context, r *coordpb.HostReport) (*coordpb.SiteState, error) {
	out := s.c.Report(r)
	err := s.c.relay.AddTo(r, out)
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

func (s service) Repeat(_ context.Context, q *coordpb.RepeatCall) (*coordpb.RepeatAnswer, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callRepeat, 1)
	u, allowed, ok := s.c.Repeat(q)
	if !ok {
		return nil, wire.ErrNotActing
	}
	return &coordpb.RepeatAnswer{Allowed: allowed, Requests: uint32(u.Requests), Repeats: uint32(u.Repeats), Credit: float32(u.Credit), Slack: float32(u.Slack),
		Late: float32(u.Late), FromSlack: float32(u.FromSlack)}, nil
}

// adapterTimeout ends the work for a host whose own wait is over.
const adapterTimeout = time.Second

func (s service) State(_ context.Context, q *coordpb.StateCall) (*coordpb.StateAnswer, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callState, 1)
	out := &coordpb.StateAnswer{Coordinator: wire.AddressOf(s.c.deps.Lease.LastObserved().Holder)}
	if linked := s.c.linkedAddress(); linked != "" {
		out.Coordinator = linked
	}
	s.c.addTeamStates(out)
	if q.Brief {
		return out, nil
	}
	return out, s.c.relay.AddState(q.ConfigAbove, out)
}

// addTeamStates adds the states of the teams' accounts that a coordinator has told this host. A
// host that has just started knows none, and there may be no coordinator to tell it.
func (c *Coordinator) addTeamStates(out *coordpb.StateAnswer) {
	table := c.deps.Config.Current()
	if table == nil || c.LastTeamState == nil {
		return
	}
	for i := range table.Config.Teams {
		name := table.Config.Teams[i].Name
		state, known := c.LastTeamState(name)
		if !known {
			continue
		}
		out.KnowsTeams, out.TeamsAgeMs = true, max(out.TeamsAgeMs, wire.AgeMs(state.Age))
		if state.Constrained {
			out.Teams = append(out.Teams, &coordpb.TeamStanding{Team: name, Level: int64(state.Level), Asked: uint64(state.Demand)})
		}
	}
}

func (s service) List(context.Context, *coordpb.ListCall) (*coordpb.ListAnswer, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callList, 1)
	out, err := s.c.relay.CompactList()
	s.c.countBytes(bytesForwardedList, len(out.Packed))
	return out, err
}

func (s service) Turns(st coordpb.DRPCCoordinator_TurnsStream) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	stream := permits.NewStream(cancel)
	s.c.permits.AddStream(stream)
	defer s.c.permits.RemoveStream(stream)
	go func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				_ = st.Close() // ends the Recv below
				return
			case a := <-stream.Answers():
				if st.Send(a) != nil {
					return
				}
			}
		}
	}()
	for {
		e, err := st.Recv()
		if err != nil {
			return err
		}
		if permits.NeedsActingHost(e) && !s.c.Acting() {
			return wire.ErrNotActing
		}
		s.c.deps.Metrics.CountKind(metrics.PeerCalls, callTurn, 1)
		s.c.permits.Handle(stream, e)
	}
}

// Report applies one host's report and returns the answer.
func (c *Coordinator) Report(r *coordpb.HostReport) *coordpb.SiteState {
	now := c.now()
	c.applyReport(r, now)
	out := c.answerLoads(r, now)
	c.accounts.AddTo(out, now)
	c.quarantine.AddTo(r, out, now)
	c.addSignals(r, out, now)
	c.addLease(out, now)
	out.ClockMs = c.clockMs(now)
	out.RemoteUs = uint32(c.distances.Mean().Microseconds())
	out.Detours = c.aggregate.DetoursFor(r, now)
	return out
}

// applyReport records the loads of a host and the demand of its callers.
func (c *Coordinator) applyReport(r *coordpb.HostReport, now time.Time) {
	c.aggregate.Record(r, now)
	c.recordSlowdowns(r, now)
	c.deps.Fleet.ApplySignals(wire.DecodeSignals(r.Signals, now), sourceHost+r.Host)
	c.accounts.AdoptStates(r.TeamWords, now)
	c.accounts.AddUse(r.Teams, now)
	c.quarantine.Receive(r, now)
	c.countRequests(r, now)
	c.distances.Add(r.DataCentre, time.Duration(r.RoundTripUs)*time.Microsecond, now)
	c.demand.Add(r.Demand, r.DataCentre, c.engineTime, now)
	c.planner.RecordUse(r.Demand, now)
	if len(r.Signals)+len(r.Crashes) > 0 {
		c.RequestAnnouncement()
	}
}

// answerLoads begins the answer with the other hosts' loads and the changes of
// holdings.
func (c *Coordinator) answerLoads(r *coordpb.HostReport, now time.Time) *coordpb.SiteState {
	out := &coordpb.SiteState{Deputies: c.aggregate.Deputies(now), ModelsLater: r.ModelsLater}
	others, hosts := c.aggregate.Others(r.Host, now, func(upstream string) bool {
		return !r.ModelsLater || !c.runsModelsAt(upstream)
	})
	out.Others, out.Hosts = others, uint32(hosts)
	c.addSlowdowns(out, now)
	out.PeriodMs = uint32(c.aggregate.PeriodFor(r.Host).Milliseconds())
	c.planner.AddHoldings(r, out, now)
	return out
}

// engine returns the engine of a service's upstreams; nil: a plain service, or an
// unknown one.
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

// runsModels reports whether a service's upstreams run models.
func (c *Coordinator) runsModels(service string) bool { return c.engine(service) != nil }

func (c *Coordinator) runsModelsAt(upstream string) bool {
	e, ok := c.deps.Fleet.Entry(upstream)
	return ok && c.runsModels(e.Service())
}

// addLease adds whether this host holds the lease, and if it does not, what its
// successor needs to know.
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

// engineTime returns the engine time that requests for a model take.
func (c *Coordinator) engineTime(k demand.Key, prompt, output int) time.Duration {
	slots := 0
	if e := c.engine(k.Service); e != nil {
		slots = e.Slots
	}
	return c.speeds.EngineTime(k, prompt, output, slots)
}
