package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/admit"
	"peridotpier.example/core/config"
	"peridotpier.example/node/admission"
	"peridotpier.example/node/event"
	"peridotpier.example/node/query"
)

// applyConfigs puts each configuration that comes in force into effect on this
// host. The host is ready once it has one and has asked its upstreams: before
// that it would refuse what it could serve.
func (s *Server) applyConfigs(ctx context.Context) error {
	var seen uint64
	for {
		st, err := s.config.Next(ctx, seen)
		if err != nil {
			return nil // ctx ended
		}
		seen = st.Version
		if s.phase.Load() == phaseStarting {
			s.mesh.AwaitHostList(ctx, hostListTimeout)
		}
		s.configure(st)
		if s.phase.Load() == phaseStarting {
			s.poller.PollAll(ctx)
			if s.phase.CompareAndSwap(phaseStarting, phaseReady) {
				s.reconcileSoon()
				s.log.Emit(event.ProcessReady, zap.String("host", s.cfg.Settings.Host), zap.String("callers", s.CallerAddress()),
					zap.String("operators", s.OperatorAddress()))
			}
		}
	}
}

// hostListTimeout is how long a starting host waits for the platform's list of hosts.
// Without it each host of a fleet would take itself for the only one, and ask
// every upstream at once; with the platform down it serves without.
const hostListTimeout = 3 * time.Second

// Ready says whether the host serves callers.
func (s *Server) Ready() bool { return s.phase.Load() == phaseReady }

func (s *Server) configure(st *query.State) {
	s.view.Configure(st.Index)
	s.claims.setLimits(st.Index.Limits)
	s.mesh.RetainUpstreams(func(name string) bool { _, ok := st.Index.Upstream(name); return ok })
	s.assignUpstreams(st.Index.Config, s.mesh.LiveHosts())
	s.reconcileSoon()
	s.reconfigureAdmission(st)
}

// reconfigureAdmission sets this host's share of what all hosts may use together.
func (s *Server) reconfigureAdmission(st *query.State) {
	hosts := int(s.siteHosts.Load())
	s.admit.Reconfigure(admission.Config{Preset: *st.Preset, Classes: st.Index.Classes, Teams: st.Index.Teams,
		Slots: hostSlots(st.Index.Config, hosts), Hosts: hosts})
}

// setSiteHosts takes the number of hosts that share the upstreams.
func (s *Server) setSiteHosts(n int) {
	if old := s.siteHosts.Swap(int32(max(n, 1))); int(old) != n {
		if st, ok := s.config.Current(); ok {
			s.reconfigureAdmission(st)
		}
	}
}

// hostSlots is this host's share of each pool's places.
func hostSlots(c *config.Config, hosts int) map[string]int {
	places := map[string]int{}
	for _, u := range c.Upstreams {
		places[u.Pool] += u.MaxBatch
	}
	for pool, n := range places {
		places[pool] = admit.HostSlots(n, hosts)
	}
	return places
}
