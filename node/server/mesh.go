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

// newMesh puts this host's part of the net of hosts together.
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

// peerSource is the address that connections to peers come from. With TLS it
// is the listener's own, which the certificate holds: on a host with several
// addresses the system may choose another, and the peer would refuse it.
func (s *Server) peerSource() net.Addr {
	own, ok := s.peerLn.Addr().(*net.TCPAddr)
	if !ok || own.IP.IsUnspecified() || !s.cfg.Keys.PeersUseTLS() {
		return nil
	}
	return &net.TCPAddr{IP: own.IP, Zone: own.Zone}
}

// applyUpstreamChange takes peers' words on upstreams into the view.
func (s *Server) applyUpstreamChange(u member.Upstream) {
	ready := map[route.ModelKey]bool{}
	for _, r := range u.Residents {
		model, adapter, _ := strings.Cut(r, "/")
		ready[route.ModelKey{Model: model, Adapter: adapter}] = true
	}
	s.view.ApplyPeerReport(u.Name, u.Incarnation, u.Draining, ready)
}

// publishReport passes on what a report changed.
func (s *Server) publishReport(r engineapi.Report, at time.Time) {
	firstSeen := uint64(at.UnixMilli())
	if cur, ok := s.mesh.CurrentUpstream(r.Upstream); ok && cur.Incarnation == r.Incarnation {
		firstSeen = cur.FirstSeenMs
	}
	s.mesh.ReportUpstream(member.Upstream{Name: r.Upstream, Incarnation: r.Incarnation, FirstSeenMs: firstSeen, Sequence: r.Sequence,
		Draining: r.Draining, Residents: readyNames(r.Residents)})
}

// readyNames lists what a report shows as ready, in a fixed order.
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

// The kinds of sums over all hosts, as prefixes of their keys.
const (
	teamUsagePrefix   = "t:"
	demandUsagePrefix = "d:"
)

// ownUsage are this host's parts: the use of its teams, and the demand by model.
// A host that plans asks for every model of its pools, so that it hears of
// those that only others are asked for.
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

// applyPeerUsage takes what the other hosts have.
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

// forecast answers a peer what a preset would move in this host's pools.
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
