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
	// campaigners is how many hosts ask for one lease: the holder and one that
	// follows it. If all did, their reading of its row would grow with the
	// fleet times the pools.
	campaigners = 2
	// reconcileEach is how often roles and watches are looked at when nothing
	// calls for it.
	reconcileEach = 5 * time.Second
	// reconcileWait is how long a look waits for more of what called for it.
	reconcileWait = 200 * time.Millisecond
	// directMost is how many upstreams a host asks itself, all of them; above
	// that the hosts share them out and tell one another what changed.
	directMost   = 32
	plannerLease = "planner/"
)

// role is one lease that this host campaigns for, and what runs under it.
type role struct {
	lease   *lease.Lease
	pool    string           // of a planner
	planner *planner.Planner // nil: another kind of role
	cancel  context.CancelFunc
	done    chan struct{}
}

// roles are those of this host, by lease name.
type roles struct {
	mu   sync.Mutex
	byID map[string]*role
}

func (s *Server) reconcileSoon() {
	select {
	case s.reconcile <- struct{}{}:
	default:
	}
}

// manageRoles campaigns for the leases that fall on this host and keeps the
// set of upstreams that it asks, until ctx ends; then it hands all over.
func (s *Server) manageRoles(ctx context.Context) error {
	defer s.endRoles()
	tick := time.NewTicker(reconcileEach)
	defer tick.Stop()
	for {
		s.reconcileRoles(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-s.reconcile:
			// Changes come in swarms, as when a data centre is cut off: one look
			// after the first few serves them all.
			pace.Sleep(ctx, reconcileWait)
		}
	}
}

func (s *Server) reconcileRoles(ctx context.Context) {
	st, ok := s.config.Current()
	if !ok || s.phase.Load() == phaseStarting {
		return // a host that knows no other yet would campaign for every lease
	}
	live := s.mesh.LiveHosts()
	wanted := map[string]func() *role{}
	if !s.cfg.Policy.NoPlanner {
		for _, p := range st.Index.Pools {
			if p.Kind == config.KindEngine {
				wanted[plannerLease+p.Name] = func() *role { return s.startPlanner(ctx, p.Name) }
			}
		}
	}
	wanted[command.ArchiverLeaseName] = func() *role { return s.startArchiver(ctx) }
	wanted[nodeclaim.SweeperLeaseName] = func() *role { return s.startSweeper(ctx) }
	campaigns := s.campaigns(live)
	for name := range wanted {
		if !campaigns(name) {
			delete(wanted, name)
		}
	}
	s.swapRoles(wanted)
	s.assignUpstreams(st.Index.Config, live)
	s.setHosts(len(live))
}

// campaigns says for which leases this host is among the first. A draining
// host campaigns for none, so that its leases move before it ends.
func (s *Server) campaigns(live []member.Host) func(name string) bool {
	if s.phase.Load() == phaseDraining {
		return func(string) bool { return false }
	}
	w := member.NewAssignment(s.cfg.Settings.Host, live)
	return func(name string) bool { return w.IsAmongFirst(name, campaigners) }
}

func (s *Server) swapRoles(wanted map[string]func() *role) {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	for name, r := range s.roles.byID {
		if wanted[name] == nil {
			r.cancel()
			delete(s.roles.byID, name)
		}
	}
	for name, start := range wanted {
		if s.roles.byID[name] == nil {
			s.roles.byID[name] = start()
		}
	}
}

// endRoles hands the leases over and waits for what ran under them.
func (s *Server) endRoles() {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	for _, r := range s.roles.byID {
		r.cancel()
	}
	for _, r := range s.roles.byID {
		<-r.done
	}
}

// startRole campaigns for a lease and runs what build makes beside it.
func (s *Server) startRole(ctx context.Context, name string, build func(*lease.Lease, *role) func(context.Context) error) *role {
	l := lease.New(lease.Config{Name: name, Holder: s.cfg.Settings.Host + "/" + s.incarnation}, lease.Deps{Table: s.cfg.Platform.Table, Log: s.log})
	ctx, cancel := context.WithCancel(ctx)
	r := &role{lease: l, cancel: cancel, done: make(chan struct{})}
	act := build(l, r)
	leaseCtx, release := context.WithCancel(context.WithoutCancel(ctx))
	var held sync.WaitGroup
	held.Go(func() { _ = l.Run(leaseCtx) }) // ends with the context only
	go func() {
		defer close(r.done)
		_ = act(ctx) // logs its own failures
		release()    // given back only when nothing acts under it any more
		held.Wait()
	}()
	return r
}

func (s *Server) startArchiver(ctx context.Context) *role {
	deps := command.Deps{Table: s.cfg.Platform.Table, Objects: s.cfg.Platform.Objects, Log: s.log}
	return s.startRole(ctx, command.ArchiverLeaseName, func(l *lease.Lease, _ *role) func(context.Context) error {
		return command.NewArchiver(deps, l).Run
	})
}

// settleWindows is how many short windows of demand pass before what a move
// did shows in them.
const settleWindows = 4

func (s *Server) startSweeper(ctx context.Context) *role {
	return s.startRole(ctx, nodeclaim.SweeperLeaseName, func(l *lease.Lease, _ *role) func(context.Context) error {
		w := nodeclaim.NewSweeper(s.claims.store, s.cfg.Platform.Table)
		return func(ctx context.Context) error {
			return w.Run(ctx, func() bool { _, held := l.Term(); return held })
		}
	})
}

func (s *Server) startPlanner(ctx context.Context, pool string) *role {
	return s.startRole(ctx, plannerLease+pool, func(l *lease.Lease, r *role) func(context.Context) error {
		r.pool = pool
		r.planner = planner.New(planner.Config{Pool: pool, MoveCooldown: settleWindows * s.cfg.Demand.Short}, planner.Deps{Lease: term{l}, Table: s.cfg.Platform.Table,
			Weights: s.cfg.Platform.Weights, Orders: s.orders, Inputs: plannerSite{s, pool}, Log: s.log})
		return r.planner.Run
	})
}

// leaseStatus lists the leases that this host holds or wants.
func (s *Server) leaseStatus() []operatorapi.Lease {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	out := []operatorapi.Lease{}
	for name, r := range s.roles.byID {
		t, held := r.lease.Term()
		out = append(out, operatorapi.Lease{Name: name, Held: held, Epoch: t.Epoch})
	}
	slices.SortFunc(out, func(a, b operatorapi.Lease) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// planned lists the pools that this host plans now.
func (s *Server) planned() map[string]*planner.Planner {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	out := map[string]*planner.Planner{}
	for _, r := range s.roles.byID {
		if r.planner == nil {
			continue
		}
		if _, held := r.lease.Term(); held {
			out[r.pool] = r.planner
		}
	}
	return out
}
