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

// applyConfigs applies each new configuration in force to this host, until ctx
// ends. The host becomes ready once it has a configuration and has polled its
// upstreams: before that it would refuse requests that it could serve.
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

// hostListTimeout bounds how long a starting host waits for the platform's list
// of hosts. Without the list each host of a fleet would treat itself as the only
// one and poll every upstream at once. When the platform is down, the host
// serves without the list.
const hostListTimeout = 3 * time.Second

// Ready reports whether the host serves callers.
func (s *Server) Ready() bool { return s.phase.Load() == phaseReady }

func (s *Server) configure(st *query.State) {
	s.view.Configure(st.Index)
	s.claims.setLimits(st.Index.Limits)
	s.mesh.RetainUpstreams(func(name string) bool { _, ok := st.Index.Upstream(name); return ok })
	s.assignUpstreams(st.Index.Config, s.mesh.LiveHosts())
	s.reconcileSoon()
	s.reconfigureAdmission(st)
}

// reconfigureAdmission sets this host's share of the limits that all hosts share.
func (s *Server) reconfigureAdmission(st *query.State) {
	hosts := int(s.siteHosts.Load())
	s.admit.Reconfigure(admission.Config{Preset: *st.Preset, Classes: st.Index.Classes, Teams: st.Index.Teams,
		Slots: hostSlots(st.Index.Config, hosts), Hosts: hosts})
}

// setSiteHosts sets the number of hosts that share the upstreams.
func (s *Server) setSiteHosts(n int) {
	if old := s.siteHosts.Swap(int32(max(n, 1))); int(old) != n {
		if st, ok := s.config.Current(); ok {
			s.reconfigureAdmission(st)
		}
	}
}

// hostSlots returns this host's share of each pool's batch slots.
func hostSlots(c *config.Config, hosts int) map[string]int {
	slots := map[string]int{}
	for _, u := range c.Upstreams {
		slots[u.Pool] += u.MaxBatch
	}
	for pool, n := range slots {
		slots[pool] = admit.HostSlots(n, hosts)
	}
	return slots
}
