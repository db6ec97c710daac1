package wire

import (
	"math"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// EncodeSignals encodes signals of upstreams, whose ages are counted from now.
func EncodeSignals(all []fleet.UpstreamSignal, now time.Time) []*coordpb.UpstreamSignal {
	if len(all) == 0 {
		return nil
	}
	out := make([]*coordpb.UpstreamSignal, len(all))
	for i := range all {
		s := &all[i]
		out[i] = &coordpb.UpstreamSignal{Upstream: s.Upstream, Born: s.StartedMs, Limited: s.Limit.Stated, PerSecond: s.Limit.PerSecond, Leaving: s.Draining, Brittle: s.Brittle.Stated, Refusals: uint32(min(s.Brittle.Refusals, math.MaxInt32)),
			SentAgeMs: ageMs(s.SentAt, now), HeardAgeMs: ageMs(s.ReceivedAt, now)}
	}
	return out
}

// DecodeSignals decodes signals of upstreams, whose ages are counted from now.
func DecodeSignals(all []*coordpb.UpstreamSignal, now time.Time) []fleet.UpstreamSignal {
	out := make([]fleet.UpstreamSignal, len(all))
	for i, s := range all {
		out[i] = fleet.UpstreamSignal{Upstream: s.Upstream, StartedMs: s.Born, Signal: backpressure.Signal{
			Limit: backpressure.Limit{Stated: s.Limited, PerSecond: s.PerSecond}, Brittle: backpressure.Brittle{Stated: s.Brittle, Refusals: int(s.Refusals)}, Draining: s.Leaving,
			SentAt: now.Add(-Milliseconds(s.SentAgeMs)), ReceivedAt: now.Add(-Milliseconds(s.HeardAgeMs))}}
	}
	return out
}
