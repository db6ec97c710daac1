package coordinator

import (
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// recordSlowdowns records what upstreams stated to a reporting host.
func (c *Coordinator) recordSlowdowns(r *coordpb.HostReport, now time.Time) {
	if r.Host == c.cfg.Host { // what it hears is in its own fleet already, and would never fade
		return
	}
	for _, l := range r.Loads {
		if l.Slowdown == 0 {
			continue
		}
		if e, ok := c.deps.Fleet.Entry(l.Upstream); ok {
			e.RecordSlowdown(wire.Multiple(l.Slowdown), now)
		}
	}
}

// addSlowdowns adds to an answer how long work takes at the upstreams whose loads it
// contains, for hosts that decide on their own.
func (c *Coordinator) addSlowdowns(out *coordpb.SiteState, now time.Time) {
	for _, l := range out.Others {
		if e, ok := c.deps.Fleet.Entry(l.Upstream); ok {
			l.Slowdown = wire.Percent(e.ObservedSlowdown(now))
		}
	}
}

// learntSpeeds returns the speeds that a successor needs to know.
func (c *Coordinator) learntSpeeds(now time.Time) (all []*coordpb.UpstreamSpeed) {
	for _, e := range c.deps.Fleet.All() {
		if multiple, at := e.LearntSpeed(now); multiple > 0 {
			all = append(all, &coordpb.UpstreamSpeed{Upstream: e.ID(), Born: e.StartedMs(), Percent: wire.Percent(multiple), AgeMs: wire.AgeMs(now.Sub(at))})
		}
	}
	return all
}

// inheritSpeeds takes over the speeds that a former holder had learnt.
func (c *Coordinator) inheritSpeeds(h *handover) {
	for _, s := range h.speeds {
		if e, ok := c.deps.Fleet.Entry(s.Upstream); ok && e.StartedMs() == s.Born {
			e.InheritSpeed(wire.Multiple(s.Percent), h.receivedAt.Add(-wire.Milliseconds(s.AgeMs)))
		}
	}
}
