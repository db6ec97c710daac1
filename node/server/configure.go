package server

import (
	"context"

	"peridotpier.example/core/admit"
	"peridotpier.example/core/config"
	"peridotpier.example/node/admission"
	"peridotpier.example/node/query"
)

// Configure puts a configuration and its preset in force on this host. The
// state that requests are judged under changes last, when all that it needs is
// there.
func (s *Server) Configure(st *query.State) {
	s.view.Configure(st.Index)
	s.poller.Assign(st.Index.Upstreams)
	hosts := s.hosts()
	s.admit.Reconfigure(admission.Config{Preset: *st.Preset, Classes: st.Index.Classes, Teams: st.Index.Teams,
		Slots: slots(st.Index.Config, hosts), Hosts: hosts})
	s.state.Store(st)
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

// Observe asks all upstreams for their reports once.
func (s *Server) Observe(ctx context.Context) error {
	s.poller.AskAll(ctx)
	return ctx.Err()
}
