package coordinator

import (
	"context"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/pace"
)

// News that every host has to hear at once, as that an upstream leaves, are
// announced on the streams of turns; each host then asks for them by a report. Hosts
// that report often enough hear of it without.

// announceRate is how many hosts report a second on an announcement. All at once would
// keep the one that acts for all from turns for as long as they take together.
const announceRate = 5000

// announce has all hosts told that there is something new.
func (c *Coordinator) announce() {
	select {
	case c.announcePending <- struct{}{}:
	default: // the next announcement tells of it
	}
}

// Announce has all hosts told, while this one acts for them, that there is something
// new that each of them has to hear.
func (c *Coordinator) Announce() {
	if c.Acting() {
		c.announce()
	}
}

// RunAnnouncements tells the hosts of news until ctx ends, once in a least period of
// their reports at most.
func (c *Coordinator) RunAnnouncements(ctx context.Context) error {
	for {
		select {
		case <-c.announcePending:
		case <-ctx.Done():
			return ctx.Err()
		}
		if c.aggregate.period(c.now()) > minReportPeriod {
			c.permits.announce()
		}
		if !pace.Sleep(ctx, minReportPeriod) {
			return ctx.Err()
		}
	}
}

// announce tells all hosts that have a stream.
func (t *permits) announce() {
	t.mu.Lock()
	streams := make([]*permitStream, 0, len(t.streams))
	for s := range t.streams {
		streams = append(streams, s)
	}
	t.mu.Unlock()
	within := time.Second * time.Duration(len(streams)) / announceRate
	for _, s := range streams {
		s.send(&coordpb.TurnAnswer{Kind: coordpb.TurnAnswer_NEWS, WaitMs: uint32(within.Milliseconds())})
	}
}

// addStream keeps a stream until leave.
func (t *permits) addStream(s *permitStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[s] = struct{}{}
}
