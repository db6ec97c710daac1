package server

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/member"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/command"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/operatorapi"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/planner"
)

const (
	// campaigners is how many hosts campaign for one lease: the holder and one
	// successor. If all hosts did, the reads of lease rows would grow with the
	// number of hosts times the number of pools.
	campaigners = 2
	// reconcileInterval is how often roles and polled upstreams are reconciled
	// when no change triggers it.
	reconcileInterval = 5 * time.Second
	// reconcileDelay is how long to wait for further changes after one that
	// triggered a reconciliation.
	reconcileDelay = 200 * time.Millisecond
	// maxDirectUpstreams is the largest number of upstreams at which each host
	// polls all of them; above it the upstreams are divided among the hosts,
	// which publish changes to one another.
	maxDirectUpstreams = 32
	plannerLeasePrefix = "planner/"
)

// role is one lease that this host campaigns for, and what runs under it.
type role struct {
	lease   *lease.Lease
	pool    string           // of a planner
	planner *planner.Planner // nil: another kind of role
	cancel  context.CancelFunc
	done    chan struct{}
}

// roles are the roles of this host, by lease name.
type roles struct {
	mu     sync.Mutex
	byName map[string]*role
}

func (s *Server) reconcileSoon() {
	select {
	case s.reconcile <- struct{}{}:
	default:
	}
}

// manageRoles campaigns for the leases that fall to this host and maintains the
// set of upstreams that it polls, until ctx ends; then it releases the leases.
func (s *Server) manageRoles(ctx context.Context) error {
	defer s.stopRoles()
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		s.reconcileRoles(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-s.reconcile:
			// Changes come in bursts, as when a data centre is cut off: one
			// reconciliation shortly after the first change covers them all.
			pace.Sleep(ctx, reconcileDelay)
		}
	}
}

func (s *Server) reconcileRoles(ctx context.Context) {
	st, ok := s.config.Current()
	if !ok || s.phase.Load() == phaseStarting {
		return // a host that does not know any other host yet would campaign for every lease
	}
	live := s.mesh.LiveHosts()
	wanted := map[string]func() *role{}
	if !s.cfg.Policy.NoPlanner {
		for _, p := range st.Index.Pools {
			if p.Kind == config.KindEngine {
				wanted[plannerLeasePrefix+p.Name] = func() *role { return s.startPlanner(ctx, p.Name) }
			}
		}
	}
	wanted[command.ArchiverLeaseName] = func() *role { return s.startArchiver(ctx) }
	wanted[nodeclaim.SweeperLeaseName] = func() *role { return s.startSweeper(ctx) }
	campaigns := s.campaignFilter(live)
	for name := range wanted {
		if !campaigns(name) {
			delete(wanted, name)
		}
	}
	s.updateRoles(wanted)
	s.assignUpstreams(st.Index.Config, live)
	s.setSiteHosts(len(live))
}

// campaignFilter returns a function that reports whether this host campaigns for
// a lease: whether it is among the first hosts for its name. A draining host
// campaigns for none, so that its leases move before it terminates.
func (s *Server) campaignFilter(live []member.Host) func(name string) bool {
	if s.phase.Load() == phaseDraining {
		return func(string) bool { return false }
	}
	w := member.NewAssignment(s.cfg.Settings.Host, live)
	return func(name string) bool { return w.IsAmongFirst(name, campaigners) }
}

func (s *Server) updateRoles(wanted map[string]func() *role) {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	for name, r := range s.roles.byName {
		if wanted[name] == nil {
			r.cancel()
			delete(s.roles.byName, name)
		}
	}
	for name, start := range wanted {
		if s.roles.byName[name] == nil {
			s.roles.byName[name] = start()
		}
	}
}

// stopRoles stops all roles, waits until nothing runs under their leases any
// more, and releases the leases.
func (s *Server) stopRoles() {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	for _, r := range s.roles.byName {
		r.cancel()
	}
	for _, r := range s.roles.byName {
		<-r.done
	}
}

// startRole campaigns for a lease and runs beside it the function that build returns.
func (s *Server) startRole(ctx context.Context, name string, build func(*lease.Lease, *role) func(context.Context) error) *role {
	l := lease.New(lease.Config{Name: name, Holder: s.cfg.Settings.Host + "/" + s.incarnation}, lease.Deps{Table: s.cfg.Platform.Table, Era: s.cfg.Platform.Era, Log: s.log})
	ctx, cancel := context.WithCancel(ctx)
	r := &role{lease: l, cancel: cancel, done: make(chan struct{})}
	runRole := build(l, r)
	leaseCtx, release := context.WithCancel(context.WithoutCancel(ctx))
	var leaseRun sync.WaitGroup
	leaseRun.Go(func() { _ = l.Run(leaseCtx) }) // ends with the context only
	go func() {
		defer close(r.done)
		_ = runRole(ctx) // logs its own failures
		release()        // the lease is released only when nothing runs under it any more
		leaseRun.Wait()
	}()
	return r
}

func (s *Server) startArchiver(ctx context.Context) *role {
	deps := command.Deps{Table: s.cfg.Platform.Table, Objects: s.cfg.Platform.Objects, Log: s.log}
	return s.startRole(ctx, command.ArchiverLeaseName, func(l *lease.Lease, _ *role) func(context.Context) error {
		return command.NewArchiver(deps, l).Run
	})
}

// moveCooldownWindows is how many short demand windows pass before they show the
// effect of a move.
const moveCooldownWindows = 4

func (s *Server) startSweeper(ctx context.Context) *role {
	return s.startRole(ctx, nodeclaim.SweeperLeaseName, func(l *lease.Lease, _ *role) func(context.Context) error {
		w := nodeclaim.NewSweeper(s.claims.store, s.cfg.Platform.Table)
		return func(ctx context.Context) error {
			return w.Run(ctx, func() bool { _, held := l.Term(); return held })
		}
	})
}

func (s *Server) startPlanner(ctx context.Context, pool string) *role {
	return s.startRole(ctx, plannerLeasePrefix+pool, func(l *lease.Lease, r *role) func(context.Context) error {
		r.pool = pool
		r.planner = planner.New(planner.Config{Pool: pool, MoveCooldown: moveCooldownWindows * s.cfg.Demand.Short}, planner.Deps{Lease: leaseTerm{l}, Table: s.cfg.Platform.Table,
			Weights: s.cfg.Platform.Weights, Orders: s.orders, Inputs: plannerInputs{s, pool}, Log: s.log})
		return r.planner.Run
	})
}

// leaseStatus lists the leases that this host holds or campaigns for.
func (s *Server) leaseStatus() []operatorapi.Lease {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	out := []operatorapi.Lease{}
	for name, r := range s.roles.byName {
		t, held := r.lease.Term()
		out = append(out, operatorapi.Lease{Name: name, Held: held, Epoch: t.Epoch})
	}
	slices.SortFunc(out, func(a, b operatorapi.Lease) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// plannedPools returns the planners of the pools that this host plans now, by pool.
func (s *Server) plannedPools() map[string]*planner.Planner {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	out := map[string]*planner.Planner{}
	for _, r := range s.roles.byName {
		if r.planner == nil {
			continue
		}
		if _, held := r.lease.Term(); held {
			out[r.pool] = r.planner
		}
	}
	return out
}
