package server

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/config"
	"peridotpier.example/core/member"
	"peridotpier.example/core/place"
	"peridotpier.example/node/command"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/operatorapi"
	"peridotpier.example/node/planner"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/node/upstream/orders"
)

const (
	// campaigners is how many hosts ask for one lease: the holder and one that
	// follows it. If all did, their reading of its row would grow with the
	// fleet times the pools.
	campaigners = 2
	// reconcileEach is how often roles and watches are looked at when nothing
	// calls for it.
	reconcileEach = 5 * time.Second
	// directMost is how many upstreams a host asks itself, all of them; above
	// that the hosts share them out and tell one another what changed.
	directMost = 32
	plannerLease = "planner/"
)

// role is one lease that this host campaigns for, and what runs under it.
type role struct {
	lease   *lease.Lease
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
		}
	}
}

func (s *Server) reconcileRoles(ctx context.Context) {
	st, ok := s.config.Current()
	if !ok {
		return
	}
	live := s.mesh.Live()
	wanted := map[string]func() *role{}
	if !s.cfg.Policy.NoPlanner {
		for _, p := range st.Index.Pools {
			if p.Kind == config.KindEngine {
				wanted[plannerLease+p.Name] = func() *role { return s.startPlanner(ctx, p.Name) }
			}
		}
	}
	wanted[command.AuditLease] = func() *role { return s.startArchiver(ctx) }
	for name := range wanted {
		if !s.campaigns(name, live) {
			delete(wanted, name)
		}
	}
	s.swapRoles(wanted)
	s.assignUpstreams(st.Index.Config, live)
	s.setHosts(len(live))
}

// campaigns says whether this host is among the first for a lease. A draining
// host campaigns for none, so that its leases move before it ends.
func (s *Server) campaigns(name string, live []member.Host) bool {
	if s.phase.Load() == phaseDraining {
		return false
	}
	ranked := member.Rank(name, live)
	for _, h := range ranked[:min(campaigners, len(ranked))] {
		if h.Name == s.cfg.Settings.Host {
			return true
		}
	}
	return false
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

// startRole runs a lease, and f beside it.
func (s *Server) startRole(ctx context.Context, name string, f func(context.Context, *lease.Lease, *role) error) *role {
	l := lease.New(lease.Config{Name: name, Holder: s.cfg.Settings.Host + "/" + s.incarnation}, lease.Deps{Table: s.cfg.Platform.Table, Log: s.log})
	ctx, cancel := context.WithCancel(ctx)
	r := &role{lease: l, cancel: cancel, done: make(chan struct{})}
	ready := make(chan struct{})
	go func() {
		defer close(r.done)
		var g errgroup.Group
		leaseCtx, release := context.WithCancel(context.WithoutCancel(ctx))
		g.Go(func() error { return l.Run(leaseCtx) })
		close(ready)
		// The lease is given back only when nothing acts under it any more.
		_ = f(ctx, l, r)
		release()
		_ = g.Wait()
	}()
	<-ready
	return r
}

func (s *Server) startArchiver(ctx context.Context) *role {
	return s.startRole(ctx, command.AuditLease, func(ctx context.Context, l *lease.Lease, _ *role) error {
		deps := command.Deps{Table: s.cfg.Platform.Table, Objects: s.cfg.Platform.Objects, Log: s.log}
		return command.NewArchiver(deps, l).Run(ctx)
	})
}

func (s *Server) startPlanner(ctx context.Context, pool string) *role {
	var p *planner.Planner
	r := s.startRole(ctx, plannerLease+pool, func(ctx context.Context, l *lease.Lease, _ *role) error {
		<-s.started.ready
		return p.Run(ctx)
	})
	p = planner.New(planner.Config{Pool: pool}, planner.Deps{Lease: plannerTerm{r.lease}, Table: s.cfg.Platform.Table,
		Weights: s.cfg.Platform.Weights, Orders: s.orders, Site: plannerSite{s}, Log: s.log})
	r.planner = p
	return r
}

var _ = []any{orders.New, engineapi.StateReady, place.Key{}, operatorapi.Move{}}
