package coordinator

import (
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// Sources of what upstreams ask for, in logs.
const (
	fromHost   = "host "
	fromHolder = "holder"
)

// addSignals adds to the answer to a report what upstreams asked for that the
// host has not been told.
func (c *Coordinator) addSignals(r *coordpb.HostReport, out *coordpb.SiteState, now time.Time) {
	since := r.SignalsRevision
	if r.SignalsId != c.id {
		since = 0
	}
	all, revision := c.deps.Fleet.SignalsSince(since)
	out.SignalsId, out.SignalsRevision, out.Signals = c.id, revision, encodeSignals(all, now)
	out.Place = uint32(c.aggregate.hostIndex(r.Host))
}

// signals is what a host and the one that acts for all have told each other of
// what upstreams ask for.
type signals struct {
	process          uint64 // process that acts for all
	receivedRevision uint64 // revision of its up to which this host has been told
	sentRevision     uint64 // revision of this host's up to which it was told
}

// addTo adds to a report what the one that acts for all has not been told, and
// returns the revision of this host's that it brings that one to.
func (s *signals) addTo(r *coordpb.HostReport, f *fleet.Fleet, now time.Time) (revision uint64) {
	all, revision := f.SignalsSince(s.sentRevision)
	r.SignalsId, r.SignalsRevision, r.Signals = s.process, s.receivedRevision, encodeSignals(all, now)
	return revision
}

// apply enters the answer to a report that brought its receiver to a revision. A
// process that answers for the first time has still to be told all.
func (s *signals) apply(a *coordpb.SiteState, sentRevision uint64) {
	if a.SignalsId != s.process && s.process != 0 {
		sentRevision = 0
	}
	s.process, s.receivedRevision, s.sentRevision = a.SignalsId, a.SignalsRevision, sentRevision
}

func encodeSignals(all []fleet.UpstreamSignal, now time.Time) []*coordpb.UpstreamSignal {
	if len(all) == 0 {
		return nil
	}
	out := make([]*coordpb.UpstreamSignal, len(all))
	for i := range all {
		s := &all[i]
		out[i] = &coordpb.UpstreamSignal{Upstream: s.Upstream, Born: s.StartedMs, Limited: s.Limit.Stated, PerSecond: s.Limit.PerSecond, Leaving: s.Draining,
			SentAgeMs: ageMs(s.SentAt, now), HeardAgeMs: ageMs(s.ReceivedAt, now)}
	}
	return out
}

// ageMs is how long ago something was, bounded for the wire.
func ageMs(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at), 0), time.Hour).Milliseconds())
}

func decodeSignals(all []*coordpb.UpstreamSignal, now time.Time) []fleet.UpstreamSignal {
	out := make([]fleet.UpstreamSignal, len(all))
	for i, s := range all {
		out[i] = fleet.UpstreamSignal{Upstream: s.Upstream, StartedMs: s.Born, Signal: backpressure.Signal{
			Limit: backpressure.Limit{Stated: s.Limited, PerSecond: s.PerSecond}, Draining: s.Leaving,
			SentAt: now.Add(-milliseconds(s.SentAgeMs)), ReceivedAt: now.Add(-milliseconds(s.HeardAgeMs))}}
	}
	return out
}
