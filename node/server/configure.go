package server

import (
	"context"

	"go.uber.org/zap"

	"peridotpier.example/core/admit"
	"peridotpier.example/core/config"
	"peridotpier.example/node/admission"
	"peridotpier.example/node/event"
	"peridotpier.example/node/query"
)

// follow puts each configuration that comes in force into effect on this
// host. The host is ready once it has one and has asked its upstreams: before
// that it would refuse what it could serve.
func (s *Server) follow(ctx context.Context) error {
	var seen uint64
	for {
		st, err := s.config.Next(ctx, seen)
		if err != nil {
			return nil // ctx ended
		}
		seen = st.Version
		s.configure(st)
		if s.phase.Load() == phaseStarting {
			s.poller.AskAll(ctx)
			if s.phase.CompareAndSwap(phaseStarting, phaseReady) {
				s.log.Emit(event.ProcessReady, zap.String("host", s.cfg.Settings.Host), zap.String("callers", s.CallerAddress()),
					zap.String("operators", s.OperatorAddress()))
			}
		}
	}
}

// Ready says whether the host serves callers.
func (s *Server) Ready() bool { return s.phase.Load() == phaseReady }

func (s *Server) configure(st *query.State) {
	s.view.Configure(st.Index)
	s.poller.Assign(st.Index.Upstreams)
	hosts := s.hosts()
	s.admit.Reconfigure(admission.Config{Preset: *st.Preset, Classes: st.Index.Classes, Teams: st.Index.Teams,
		Slots: slots(st.Index.Config, hosts), Hosts: hosts})
}

// hosts is the number of entry hosts that share the upstreams.
func (s *Server) hosts() int { return 1 }

// slots is this host's share of each pool's places.
func slots(c *config.Config, hosts int) map[string]int {
	places := map[string]int{}
	for _, u := range c.Upstreams {
		places[u.Pool] += u.MaxBatch
	}
	for pool, n := range places {
		places[pool] = admit.HostSlots(n, hosts)
	}
	return places
}
