package server

import (
	"context"
	"sort"
	"time"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/route"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/operatorapi"
	"peridotpier.example/node/query"
)

// Status implements operatorapi.Site.
func (s *Server) Status() operatorapi.Status {
	phase := s.phase.Load()
	out := operatorapi.Status{Host: s.cfg.Settings.Host, DataCentre: s.cfg.Settings.DataCentre, Incarnation: s.incarnation,
		Ready: phase == phaseReady, Draining: phase == phaseDraining, Standing: s.config.Standing().String(),
		InFlight: s.requests.Live(), Unsettled: s.claims.store.Unsettled(), UptimeSeconds: time.Since(s.started).Seconds()}
	if st, ok := s.config.Current(); ok {
		out.Version, out.Preset = st.Version, st.Preset.Name
	}
	snap := s.view.Snapshot()
	for i := range snap.Endpoints {
		out.Upstreams = append(out.Upstreams, upstreamStatus(&snap.Endpoints[i]))
	}
	return out
}

func upstreamStatus(e *route.Endpoint) operatorapi.Upstream {
	u := operatorapi.Upstream{Name: e.Upstream, Pool: e.Pool, DataCentre: e.DataCentre, Incarnation: e.Incarnation,
		Leaving: e.Leaving, Down: e.Down, Running: e.Running, Waiting: e.Waiting, ReportAgeMs: e.ReportAge.Milliseconds(), Ready: []string{}}
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

// Everywhere implements operatorapi.Site.
func (s *Server) Everywhere(context.Context) (operatorapi.Everywhere, error) {
	v := s.version()
	return operatorapi.Everywhere{Version: v, Hosts: []query.HostVersion{{Host: s.cfg.Settings.Host, Version: v, At: time.Now()}}}, nil
}

// FindRequest implements operatorapi.Site.
func (s *Server) FindRequest(_ context.Context, id string) (inflight.Request, bool, error) {
	q, ok := s.requests.Get(id, inflight.AllTeams)
	return q, ok, nil
}

// CancelRequest implements operatorapi.Site.
func (s *Server) CancelRequest(_ context.Context, id string) (bool, error) {
	return s.requests.Cancel(id, inflight.AllTeams, dispatch.ErrCancelled), nil
}

// DryRun implements operatorapi.Site.
func (s *Server) DryRun(context.Context, string) (operatorapi.DryRun, error) {
	return operatorapi.DryRun{}, fault.NotRun(fault.StepConfig, "", fault.CodeInternal, "no planner runs on this host")
}
