package peer

import (
	"context"
	"encoding/json"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"peridotpier.example/node/inflight"
	"peridotpier.example/node/peer/peerpb"
)

// Serve serves peers on ln until ctx ends.
func (m *Mesh) Serve(ctx context.Context, ln net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, service{m}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, ln)
}

// service implements the calls that this host offers to its peers.
type service struct{ m *Mesh }

// Link implements peerpb.DRPCPeerServer, as the methods below do.
func (s service) Link(st peerpb.DRPCPeer_LinkStream) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	l := newLink(s.m, false, func() { cancel(); _ = st.Close() })
	s.m.runLink(ctx, l, boundStream{st, ctx})
	return nil
}

// boundStream is a stream whose context also ends when this side cancels the link.
type boundStream struct {
	peerpb.DRPCPeer_LinkStream
	ctx context.Context
}

// Context implements stream.
func (b boundStream) Context() context.Context { return b.ctx }

func (s service) Probe(_ context.Context, q *peerpb.ProbeRequest) (*peerpb.HostRecord, error) {
	if k := q.Known; k != nil && k.Host == s.m.Self().Name {
		// Without this, two sides of a healed partition would treat each other as
		// suspect for ever: this host's own record is no newer than the one that
		// says it is suspect.
		s.m.MergeHost(hostFromWire(k))
	}
	r := hostToWire(s.m.Self())
	if st, ok := s.m.deps.Config.Current(); ok {
		r.ConfigVersion = st.Version
	}
	return r, nil
}

func (s service) Configuration(_ context.Context, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationAnswer, error) {
	version, data, ok := s.m.deps.Config.Snapshot(true)
	if !ok || version <= r.Above {
		return &peerpb.ConfigurationAnswer{}, nil
	}
	return &peerpb.ConfigurationAnswer{Version: version, Snapshot: data}, nil
}

func (s service) Usage(_ context.Context, r *peerpb.UsageReport) (*peerpb.UsageTotals, error) {
	if s.m.deps.Usage == nil {
		return &peerpb.UsageTotals{}, nil
	}
	return s.m.deps.Usage.handleReport(r, s.m.now()), nil
}

func (s service) Request(_ context.Context, q *peerpb.RequestQuery) (*peerpb.RequestAnswer, error) {
	r, ok := s.m.deps.Requests.Get(q.Id, inflight.AllTeams)
	if !ok {
		return &peerpb.RequestAnswer{}, nil
	}
	if q.Cancel && !s.m.deps.Requests.Cancel(q.Id, inflight.AllTeams, s.m.deps.CancelCause) {
		return &peerpb.RequestAnswer{}, nil
	}
	data, err := json.Marshal(r)
	return &peerpb.RequestAnswer{Found: true, Request: data}, err
}

func (s service) Forecast(ctx context.Context, q *peerpb.ForecastQuery) (*peerpb.ForecastAnswer, error) {
	if s.m.deps.Forecast == nil {
		return &peerpb.ForecastAnswer{}, nil
	}
	data, err := s.m.deps.Forecast(ctx, q.Preset)
	return &peerpb.ForecastAnswer{Forecast: data}, err
}
