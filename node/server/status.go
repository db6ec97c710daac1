package server

import (
	"context"
	"slices"
	"sort"
	"time"

	"peridotpier.example/core/route"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/operatorapi"
	"peridotpier.example/node/query"
	"peridotpier.example/node/store"
)

// Status implements operatorapi.Site.
func (s *Server) Status() operatorapi.Status {
	phase := s.phase.Load()
	out := operatorapi.Status{Host: s.cfg.Settings.Host, DataCentre: s.cfg.Settings.DataCentre, Incarnation: s.incarnation,
		Ready: phase == phaseReady, Draining: phase == phaseDraining, Freshness: s.config.Freshness().String(),
		InFlight: s.requests.LiveCount(), UnresolvedClaims: s.claims.unresolved(), UptimeSeconds: time.Since(s.started).Seconds()}
	if st, ok := s.config.Current(); ok {
		out.Version, out.Preset = st.Version, st.Preset.Name
	}
	snap := s.view.Snapshot()
	out.Leases = s.leaseStatus()
	hosts, linked := s.mesh.AllHosts()
	for _, h := range hosts {
		out.Peers = append(out.Peers, operatorapi.Peer{Host: h.Name, DataCentre: h.DataCentre, Incarnation: h.Process,
			State: h.State.String(), Linked: linked[h.Name]})
	}
	for i := range snap.Endpoints {
		out.Upstreams = append(out.Upstreams, upstreamStatus(&snap.Endpoints[i]))
	}
	return out
}

func upstreamStatus(e *route.Endpoint) operatorapi.Upstream {
	u := operatorapi.Upstream{Name: e.Upstream, Pool: e.Pool, DataCentre: e.DataCentre, Incarnation: e.Incarnation,
		Draining: e.Draining, Down: e.Down, Running: e.Running, Waiting: e.Waiting, ReportAgeMs: e.ReportAge.Milliseconds(), Ready: []string{}}
	for k := range e.Ready {
		name := k.Model
		if k.Adapter != "" {
			name = k.Adapter
		}
		u.Ready = append(u.Ready, name)
	}
	sort.Strings(u.Ready)
	return u
}

// Rollout implements operatorapi.Site.
func (s *Server) Rollout(ctx context.Context) (operatorapi.Rollout, error) {
	out := operatorapi.Rollout{Version: s.configVersion(), Hosts: []query.HostVersion{}}
	tracker := query.NewVersionTracker(nil)
	versions := s.mesh.ConfigVersions(ctx)
	for host, version := range versions {
		if version == 0 {
			continue
		}
		tracker.Record(host, version)
		out.Hosts = append(out.Hosts, query.HostVersion{Host: host, Version: version, At: time.Now()})
	}
	sort.Slice(out.Hosts, func(i, j int) bool { return out.Hosts[i].Host < out.Hosts[j].Host })
	out.Waiting = tracker.HostsBelow(out.Version, requiredHosts(s.mesh.ListedHosts(), versions))
	return out, nil
}

// requiredHosts returns the hosts that must have confirmed a version before it is
// in force everywhere: those that the platform lists as live, even if no peer
// knows them, and those that peers know, since the list shows a new host only
// seconds after it began to serve.
func requiredHosts(listed []store.Host, known map[string]uint64) []store.Host {
	for host := range known {
		if !slices.ContainsFunc(listed, func(h store.Host) bool { return h.Name == host }) {
			listed = append(listed, store.Host{Name: host, Role: store.RoleEntry, State: store.HostLive})
		}
	}
	return listed
}

// FindRequest implements operatorapi.Site. The id of a request names its host.
func (s *Server) FindRequest(ctx context.Context, id string) (inflight.Request, bool, error) {
	if q, ok := s.requests.Get(id, inflight.AllTeams); ok {
		return q, true, nil
	}
	return s.mesh.Request(ctx, inflight.HostOf(id), id, false)
}

// CancelRequest implements operatorapi.Site.
func (s *Server) CancelRequest(ctx context.Context, id string) (bool, error) {
	if s.requests.Cancel(id, inflight.AllTeams, dispatch.ErrCancelled) {
		return true, nil
	}
	_, ok, err := s.mesh.Request(ctx, inflight.HostOf(id), id, true)
	return ok, err
}
