package coordinator

import (
	"math"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
)

// tell writes the demand for a successor. Without it models are moved for those
// alone who wait, until the demand was heard for demandKnown.
func (d *demand) tell(now time.Time) (all []*coordpb.HeldDemand, heard time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, w := range d.of {
		if now.Sub(w.last) > quietAfter {
			continue
		}
		w.decay(now)
		h := &coordpb.HeldDemand{Service: k.service, Model: k.model, EngineMs: uint32(w.sum * 1000),
			FirstMs: uint32(min(now.Sub(w.first), time.Hour).Milliseconds()), LastMs: uint32(now.Sub(w.last).Milliseconds()),
			PatienceMs: uint32(w.patience.Milliseconds())}
		if now.Sub(w.unserved) < unservedFor {
			h.UnservedMs = uint32(now.Sub(w.unserved).Milliseconds()) + 1
		}
		all = append(all, h)
	}
	if !d.from.IsZero() && now.Sub(d.last) <= reportFresh {
		heard = min(now.Sub(d.from), time.Hour)
	}
	return all, heard
}

// inherit adds what a former holder told at a time to what was reported here since.
func (d *demand) inherit(all []*coordpb.HeldDemand, heard time.Duration, at, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range all {
		own := d.wantedLocked(modelKey{h.Service, h.Model}, now)
		own.decay(now)
		own.sum += float64(h.EngineMs) / 1000 * math.Exp(-now.Sub(at).Seconds()/forgetting.Seconds())
		own.first = earlier(own.first, at.Add(-milliseconds(h.FirstMs)))
		own.last = later(own.last, at.Add(-milliseconds(h.LastMs)))
		own.patience = min(own.patience, milliseconds(h.PatienceMs))
		if h.UnservedMs > 0 {
			own.unserved = later(own.unserved, at.Add(-milliseconds(h.UnservedMs)))
		}
	}
	if heard > 0 && now.Sub(at) <= reportFresh {
		d.from, d.last = at.Add(-heard), now
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
