package peer

import (
	"peridotpier.example/core/member"
	"peridotpier.example/node/peer/peerpb"
)

func hostToWire(h member.Host) *peerpb.HostRecord {
	return &peerpb.HostRecord{Host: h.Name, Address: h.Address, DataCentre: h.DataCentre, Process: h.Process,
		Incarnation: h.Incarnation, Sequence: h.Sequence, State: peerpb.HostRecord_State(h.State)}
}

func hostFromWire(r *peerpb.HostRecord) member.Host {
	return member.Host{Name: r.Host, Address: r.Address, DataCentre: r.DataCentre, Process: r.Process,
		Incarnation: r.Incarnation, Sequence: r.Sequence, State: member.State(min(r.State, peerpb.HostRecord_GONE))}
}

func upstreamToWire(u member.Upstream) *peerpb.UpstreamWord {
	return &peerpb.UpstreamWord{Upstream: u.Name, Incarnation: u.Incarnation, SeenMs: u.FirstSeenMs,
		ReportSequence: u.Sequence, Leaving: u.Draining, Residents: u.Residents}
}

func upstreamFromWire(w *peerpb.UpstreamWord) member.Upstream {
	return member.Upstream{Name: w.Upstream, Incarnation: w.Incarnation, FirstSeenMs: w.SeenMs,
		Sequence: w.ReportSequence, Draining: w.Leaving, Residents: w.Residents}
}
