package local

import (
	"context"
	"net"
	"slices"
	"time"

	"peridotpier.example/node/store"
)

const (
	// hostCheckInterval is the interval at which the stand-in of the platform checks
	// which entry hosts run.
	hostCheckInterval = time.Second
	hostCheckTimeout  = 500 * time.Millisecond
)

// watchHosts keeps the platform's host list current until ctx ends: the list holds the
// entry hosts that accept connections of callers, and the upstreams.
func (s *StandInServer) watchHosts(ctx context.Context) {
	var published []store.Host
	for {
		if reachable := s.reachableHosts(ctx); !slices.Equal(reachable, published) {
			published = reachable
			s.HostList.Set(append(s.Upstreams.Hosts(), reachable...)...)
		}
		if !sleep(ctx, hostCheckInterval) {
			return
		}
	}
}

// reachableHosts returns the entry hosts that accept connections of callers.
func (s *StandInServer) reachableHosts(ctx context.Context) []store.Host {
	var out []store.Host
	dialer := net.Dialer{Timeout: hostCheckTimeout}
	for _, e := range s.Layout.Entries {
		c, err := dialer.DialContext(ctx, "tcp", e.Caller)
		if err != nil {
			continue
		}
		_ = c.Close()
		out = append(out, store.Host{Name: e.Host, Address: e.Peer, DataCentre: e.DataCentre,
			Role: store.RoleEntry, State: store.HostLive})
	}
	return out
}
