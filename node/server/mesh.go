package server

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"peridotpier.example/core/member"
	"peridotpier.example/core/place"
	"peridotpier.example/core/route"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/operatorapi"
	"peridotpier.example/node/peer"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
)

// newMesh creates this host's end of the mesh that links all hosts.
func (s *Server) newMesh(address string) *peer.Mesh {
	set := s.cfg.Settings
	return peer.New(peer.Config{Self: member.Host{Name: set.Host, Address: address, DataCentre: set.DataCentre, Process: s.incarnation},
		HeartbeatInterval: s.cfg.HeartbeatInterval, HostListInterval: s.cfg.HostListInterval},
		peer.Deps{Hosts: s.cfg.Platform.Hosts, Config: s.config, Requests: s.requests, CancelCause: dispatch.ErrCancelled,
			Dial: s.dialPeer, Log: s.log, OnUpstreamChange: s.applyUpstreamChange, OnHostsChange: s.reconcileSoon,
			Usage: &peer.UsageExchange{Own: s.ownUsage, OnTotals: s.applyPeerUsage}, Forecast: s.forecast, Claims: s.claims.rows})
}

// dialPeer opens a connection to a peer.
func (s *Server) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	var d conn.Dialer = s.cfg.PeerDialer
	if d == nil {
		d = &net.Dialer{LocalAddr: s.peerSource()}
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return s.cfg.Keys.SecurePeerConn(ctx, c, address)
}

// peerSource returns the local address for connections to peers; nil lets the
// system choose. With TLS it is the address of the peer listener, which the
// certificate names: on a host with several addresses the system may choose
// another one, and the peer would refuse it.
func (s *Server) peerSource() net.Addr {
	own, ok := s.peerLn.Addr().(*net.TCPAddr)
	if !ok || own.IP.IsUnspecified() || !s.cfg.Keys.PeersUseTLS() {
		return nil
	}
	return &net.TCPAddr{IP: own.IP, Zone: own.Zone}
}

// applyUpstreamChange applies a peer's report of an upstream to the view.
func (s *Server) applyUpstreamChange(u member.Upstream) {
	ready := map[route.ModelKey]bool{}
	for _, r := range u.Residents {
		model, adapter, _ := strings.Cut(r, "/")
		ready[route.ModelKey{Model: model, Adapter: adapter}] = true
	}
	s.view.ApplyPeerReport(u.Name, u.Incarnation, u.Draining, ready)
}

// publishReport passes what an upstream reported to the mesh, which publishes changes.
func (s *Server) publishReport(r engineapi.Report, at time.Time) {
	firstSeen := uint64(at.UnixMilli())
	if cur, ok := s.mesh.CurrentUpstream(r.Upstream); ok && cur.Incarnation == r.Incarnation {
		firstSeen = cur.FirstSeenMs
	}
	s.mesh.ReportUpstream(member.Upstream{Name: r.Upstream, Incarnation: r.Incarnation, FirstSeenMs: firstSeen, Sequence: r.Sequence,
		Draining: r.Draining, Residents: readyNames(r.Residents)})
}

// readyNames returns the models and adapters that a report shows as ready, in a
// fixed order and without duplicates.
func readyNames(residents []engineapi.Resident) []string {
	var out []string
	for _, r := range residents {
		if r.State != engineapi.StateReady {
			continue
		}
		name := r.Model
		if r.Adapter != "" {
			name += "/" + r.Adapter
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Key prefixes of the kinds of usage that are summed over all hosts.
const (
	teamUsagePrefix   = "t:"
	demandUsagePrefix = "d:"
)

// ownUsage returns this host's usage by its teams and its demand by model. A host
// that plans includes every model of its pools, so that it also receives the
// demand for models that only other hosts have requests for.
func (s *Server) ownUsage() []peer.UsageEntry {
	st, ok := s.config.Current()
	if !ok {
		return nil
	}
	var out []peer.UsageEntry
	for _, t := range st.Index.Teams {
		if t.Limits.RequestsPerSecond == 0 && t.Limits.Concurrent == 0 {
			continue
		}
		if rps, concurrent := s.admit.TeamUsage(t.Name); rps > 0 || concurrent > 0 {
			out = append(out, peer.UsageEntry{Key: teamUsagePrefix + t.Name, A: rps, B: concurrent})
		}
	}
	demand := s.demand.Means()
	for _, k := range s.plannedKeys() {
		if _, ok := demand[k]; !ok {
			demand[k] = place.Demand{}
		}
	}
	for k, d := range demand {
		out = append(out, peer.UsageEntry{Key: demandUsagePrefix + k.Model + "/" + k.Adapter, A: d.Short, B: d.Long})
	}
	return out
}

// applyPeerUsage applies the usage and the demand of the other hosts.
func (s *Server) applyPeerUsage(hosts int, sums []peer.UsageEntry) {
	demand := map[place.Key]place.Demand{}
	for _, sum := range sums {
		if team, ok := strings.CutPrefix(sum.Key, teamUsagePrefix); ok {
			s.admit.SetPeerTeamUsage(team, sum.A, sum.B, hosts)
			continue
		}
		if name, ok := strings.CutPrefix(sum.Key, demandUsagePrefix); ok {
			model, adapter, _ := strings.Cut(name, "/")
			demand[place.Key{Model: model, Adapter: adapter}] = place.Demand{Short: sum.A, Long: sum.B}
		}
	}
	s.peerDemand.merge(demand)
}

// forecast returns, encoded for a peer, the moves that a switch to a preset would
// make in the pools that this host plans.
func (s *Server) forecast(_ context.Context, preset string) ([]byte, error) {
	d, ok := s.ownForecast(preset)
	if !ok {
		return nil, nil
	}
	return json.Marshal(d)
}

// DryRun implements operatorapi.Site.
func (s *Server) DryRun(ctx context.Context, preset string) (operatorapi.DryRun, error) {
	out := operatorapi.DryRun{Preset: preset, Moves: []operatorapi.Move{}}
	st, ok := s.config.Current()
	if !ok {
		return out, errNoConfig
	}
	if _, ok := st.Index.Preset(preset); !ok {
		return out, errNoPreset(preset)
	}
	if d, ok := s.ownForecast(preset); ok {
		out.Add(d)
	}
	for _, data := range s.mesh.Forecasts(ctx, preset) {
		var d operatorapi.DryRun
		if err := json.Unmarshal(data, &d); err != nil {
			return out, err
		}
		out.Add(d)
	}
	return out, nil
}
