package coordinator

import (
	"time"

	"peridotpier.example/core/budget"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// countRequests counts the requests of a host's callers, and the late repeats of the host.
// Services that the configuration does not name are left out, so that the accounts stay bounded.
func (c *Coordinator) countRequests(r *coordpb.HostReport, now time.Time) {
	table := c.deps.Config.Current()
	if table == nil {
		return
	}
	from, to := c.requestTimes(r.RequestsFromMs, r.RequestsSpanMs, now)
	for _, s := range r.Requests {
		if _, ok := table.Service(s.Service); !ok {
			continue
		}
		c.repeats.Count(s.Service, int(s.Requests), from, to, now)
		for _, r := range s.Late {
			c.repeats.CountLate(s.Service, budget.Late{Age: wire.Milliseconds(r.AgeMs), Again: r.Again, FromSlack: float64(r.FromSlack)}, now)
		}
	}
}

// maxReportAge is the age from which on the requests of a report earn nothing. A report that
// does not say how old they are, or refers to another clock, has it.
const maxReportAge = time.Minute

// requestTimes returns between which times requests came, by what a host says with their
// number. Its message may have waited for as long as this host, or the network, stood still.
func (c *Coordinator) requestTimes(fromMs uint64, spanMs uint32, now time.Time) (from, to time.Time) {
	age := int64(c.clockMs(now) - fromMs)
	if fromMs == 0 || age < 0 || age > maxReportAge.Milliseconds() {
		age = maxReportAge.Milliseconds()
	}
	from = now.Add(-time.Duration(age) * time.Millisecond)
	to = from.Add(wire.Milliseconds(spanMs))
	if to.After(now) {
		to = now
	}
	return from, to
}

// clockMs returns this process's clock in milliseconds, to which hosts' reports refer. It
// begins at a number that no other process's clock comes near.
func (c *Coordinator) clockMs(now time.Time) uint64 {
	return c.clockStart + uint64(now.Sub(c.startedAt).Milliseconds())
}

// Repeat permits a request of a service to be sent once more, and reports whether the
// allowance of all hosts does. It counts the requests that the call names. ok is false if this
// host is not the acting coordinator.
func (c *Coordinator) Repeat(q *coordpb.RepeatCall) (u budget.Usage, allowed, ok bool) {
	if !c.Acting() {
		return budget.Usage{}, false, false
	}
	now := c.now()
	if q.Requests > 0 {
		c.countRequests(&coordpb.HostReport{RequestsFromMs: q.RequestsFromMs, RequestsSpanMs: q.RequestsSpanMs,
			Requests: []*coordpb.ServiceRequests{{Service: q.Service, Requests: q.Requests}}}, now)
	}
	_, holds := c.deps.Lease.Term()
	u, allowed = c.repeats.Take(q.Service, holds, now)
	return u, allowed, true
}
