package coordinator

import (
	"context"

	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/pace"
)

// Changes that every host needs at once, for instance that an upstream is draining, are
// announced on the permit streams; each host then sends a report, whose answer contains
// them. Hosts that report often enough get them without an announcement.

// RequestAnnouncement requests an announcement to all hosts.
func (c *Coordinator) RequestAnnouncement() {
	select {
	case c.announcePending <- struct{}{}:
	default: // covered by the announcement that is pending
	}
}

// Announce notifies all hosts, while this one is acting, of a change that each of them
// needs at once.
func (c *Coordinator) Announce() {
	if c.Acting() {
		c.RequestAnnouncement()
	}
}

// RunAnnouncements sends pending announcements until ctx ends, at most one per
// wire.MinReportPeriod.
func (c *Coordinator) RunAnnouncements(ctx context.Context) error {
	for {
		select {
		case <-c.announcePending:
		case <-ctx.Done():
			return ctx.Err()
		}
		if c.aggregate.Period(c.now()) > wire.MinReportPeriod {
			c.permits.Announce()
		}
		if !pace.Sleep(ctx, wire.MinReportPeriod) {
			return ctx.Err()
		}
	}
}
