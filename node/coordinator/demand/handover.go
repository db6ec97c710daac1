package demand

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// Snapshot returns the demand for a successor. Without it the successor moves models
// only for callers that wait, until it has received reports for knownAfter.
func (d *Demand) Snapshot(now time.Time) (all []*coordpb.HeldDemand, period time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, m := range d.models {
		if now.Sub(m.lastAt) > Expiry {
			continue
		}
		m.decay(now)
		all = append(all, m.held(k, now)...)
	}
	if !d.reportedSince.IsZero() && now.Sub(d.lastReportAt) <= wire.ReportFresh {
		period = min(now.Sub(d.reportedSince), time.Hour)
	}
	return all, period
}

// held returns the demand for a model by its parts. Parts that took no engine time are left
// out, but the model is in any case.
func (m *modelDemand) held(k Key, now time.Time) (all []*coordpb.HeldDemand) {
	whole := coordpb.HeldDemand{Service: k.Service, Model: k.Model,
		FirstMs: uint32(min(now.Sub(m.firstAt), time.Hour).Milliseconds()), LastMs: uint32(now.Sub(m.lastAt).Milliseconds()),
		PatienceMs: uint32(m.minObjective.Milliseconds())}
	if now.Sub(m.unservedAt) < unservedFor {
		whole.UnservedMs = uint32(now.Sub(m.unservedAt).Milliseconds()) + 1
	}
	for at, seconds := range m.parts {
		if ms := uint32(seconds * 1000); ms > 0 {
			h := proto.CloneOf(&whole)
			h.EngineMs, h.DataCentre, h.Rank = ms, at.dataCentre, uint32(at.rank)
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		all = append(all, &whole)
	}
	return all
}

// Inherit adds the demand that a former holder reported at a time to what was reported
// here since.
func (d *Demand) Inherit(all []*coordpb.HeldDemand, period time.Duration, receivedAt, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range all {
		m := d.modelLocked(Key{h.Service, h.Model}, now)
		m.decay(now)
		seconds := float64(h.EngineMs) / 1000 * math.Exp(-now.Sub(receivedAt).Seconds()/decayTime.Seconds())
		m.engineSeconds += seconds
		m.parts.add(part{h.DataCentre, rankOf(h.Rank)}, seconds)
		m.firstAt = earlier(m.firstAt, receivedAt.Add(-wire.Milliseconds(h.FirstMs)))
		m.lastAt = later(m.lastAt, receivedAt.Add(-wire.Milliseconds(h.LastMs)))
		if h.PatienceMs > 0 { // 0 is unknown in all messages but this one, whose hosts send unknownObjective
			m.minObjective = min(m.minObjective, wire.Milliseconds(h.PatienceMs))
		}
		if h.UnservedMs > 0 {
			m.unservedAt = later(m.unservedAt, receivedAt.Add(-wire.Milliseconds(h.UnservedMs)))
		}
	}
	if period > 0 && now.Sub(receivedAt) <= wire.ReportFresh {
		d.reportedSince, d.lastReportAt = receivedAt.Add(-period), now
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
