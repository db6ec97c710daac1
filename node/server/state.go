package server

import (
	"context"

	"peridotpier.example/core/member"
	"peridotpier.example/node/query"
)

// State returns the configuration in force on this host.
func (s *Server) State() (*query.State, bool) { return s.config.Current() }

// AwaitVersion waits until the given configuration version or a later one is in force.
func (s *Server) AwaitVersion(ctx context.Context, version uint64) error {
	_, err := s.config.Next(ctx, version-1)
	return err
}

// PollSoon makes the host check for a new configuration now.
func (s *Server) PollSoon() { s.config.PollSoon() }

// LiveHosts returns the entry hosts that count as alive, this one included.
func (s *Server) LiveHosts() []member.Host { return s.mesh.LiveHosts() }

// IsUpstreamDraining reports whether this host gives an upstream no new work
// because the upstream is draining.
func (s *Server) IsUpstreamDraining(upstream string) bool {
	snap := s.view.Snapshot()
	for i := range snap.Endpoints {
		if snap.Endpoints[i].Upstream == upstream {
			return snap.Endpoints[i].Draining
		}
	}
	return false
}
