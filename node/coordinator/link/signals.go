package link

import (
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
)

// signals tracks which signals of upstreams a host and the acting coordinator have sent
// each other.
type signals struct {
	process          uint64 // process that is the acting coordinator
	receivedRevision uint64 // the coordinator's revision up to which this host received its signals
	sentRevision     uint64 // this host's revision up to which the coordinator received its signals
}

// addTo adds the signals that the coordinator has not received to a report, and returns
// this host's revision up to which it then has them.
func (s *signals) addTo(r *coordpb.HostReport, f *fleet.Fleet, now time.Time) (revision uint64) {
	all, revision := f.SignalsSince(s.sentRevision)
	r.SignalsId, r.SignalsRevision, r.Signals = s.process, s.receivedRevision, wire.EncodeSignals(all, now)
	return revision
}

// apply applies the answer to a report that sent signals up to sentRevision. A process
// that answers for the first time must still be sent all signals.
func (s *signals) apply(a *coordpb.SiteState, sentRevision uint64) {
	if a.SignalsId != s.process && s.process != 0 {
		sentRevision = 0
	}
	s.process, s.receivedRevision, s.sentRevision = a.SignalsId, a.SignalsRevision, sentRevision
}
