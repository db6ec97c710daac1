package coordinator

import (
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// sourceHost precedes the name of the host that is the source of signals, in logs.
const sourceHost = "host "

// addSignals adds the signals of upstreams that the host has not received yet to an
// answer.
func (c *Coordinator) addSignals(r *coordpb.HostReport, out *coordpb.SiteState, now time.Time) {
	since := r.SignalsRevision
	if r.SignalsId != c.id {
		since = 0
	}
	all, revision := c.deps.Fleet.SignalsSince(since)
	out.SignalsId, out.SignalsRevision, out.Signals = c.id, revision, wire.EncodeSignals(all, now)
	out.Place = uint32(c.aggregate.HostIndex(r.Host))
}
