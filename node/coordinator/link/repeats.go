package link

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotpier.example/core/budget"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// repeatTimeout is how long the coordinator may take to answer whether a request may be sent
// once more: a few round trips between distant hosts. The request waits meanwhile.
const repeatTimeout = 150 * time.Millisecond

// requestCounts counts this host's requests, and holds its late repeats, that the coordinator
// has not been told of.
type requestCounts struct {
	mu        sync.Mutex
	byService map[string]int
	since     time.Time            // when counting began
	sinceOf   map[string]time.Time // the same of services whose counts were taken since
	clock     coordinatorClock
	late      []lateRepeat
	lateSent  int // the first ones of late, which the newest report names
}

// coordinatorClock is what a coordinator told of its clock with its last answer. By that a
// report says when its requests came: the report itself may be read late.
type coordinatorClock struct {
	address string
	ms      uint64    // what it showed, or less, when the answer came
	at      time.Time // when that was, by this host's clock
}

// setClock records the clock of the coordinator at an address.
func (c *requestCounts) setClock(address string, ms uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock = coordinatorClock{address, ms, now}
}

// showed returns what the clock showed at a time, or less; 0: the coordinator at the address
// has not told.
func (k coordinatorClock) showed(address string, at time.Time) uint64 {
	if k.address != address || k.ms == 0 {
		return 0
	}
	return k.ms + uint64(at.Sub(k.at).Milliseconds())
}

// lateRepeat is a late repeat of a service.
type lateRepeat struct {
	service   string
	countedAt time.Time // when it was permitted, or counted as late before
	budget.Late
}

// maxLate bounds the late repeats that wait for a report: those that come beyond it are told
// when they are counted again.
const maxLate = 4096

func (c *requestCounts) addLate(r lateRepeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.late) < maxLate {
		c.late = append(c.late, r)
	}
}

// takeLate returns the late repeats for a report, which stay until confirmLate: unlike
// requests, they count at whichever coordinator is told next.
func (c *requestCounts) takeLate() []lateRepeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateSent = len(c.late)
	return slices.Clone(c.late)
}

// confirmLate drops what the newest report named.
func (c *requestCounts) confirmLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late, c.lateSent = slices.Clone(c.late[c.lateSent:]), 0
}

func (c *requestCounts) count(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byService == nil {
		c.byService = map[string]int{}
	}
	c.byService[service]++
}

// take returns the counts and when they were begun, by this host's clock and by that of the
// coordinator at an address, see showed. It begins anew.
func (c *requestCounts) take(address string, now time.Time) (byService map[string]int, since time.Time, sinceMs uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byService, since, sinceMs = c.byService, c.since, c.clock.showed(address, c.since)
	c.byService, c.since, c.sinceOf = nil, now, nil
	return byService, since, sinceMs
}

// takeOf is take for one service, whose counts go with a question for a repeat: many hosts
// report so seldom that what their requests earn would have lapsed.
func (c *requestCounts) takeOf(service, address string, now time.Time) (n int, since time.Time, sinceMs uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, taken := c.sinceOf[service]
	if !taken {
		since = c.since
	}
	n = c.byService[service]
	delete(c.byService, service)
	if c.sinceOf == nil {
		c.sinceOf = map[string]time.Time{}
	}
	c.sinceOf[service] = now
	return n, since, c.clock.showed(address, since)
}

// addRequests adds the requests since the last report. If the report is lost, they are
// not counted anywhere: they may have been.
func (l *Link) addRequests(r *coordpb.HostReport) {
	byService := map[string]*coordpb.ServiceRequests{}
	of := func(service string) *coordpb.ServiceRequests {
		if byService[service] == nil {
			byService[service] = &coordpb.ServiceRequests{Service: service}
			r.Requests = append(r.Requests, byService[service])
		}
		return byService[service]
	}
	now := l.deps.Now()
	requests, since, sinceMs := l.requests.take(l.coordinatorAddress(), now)
	for service, n := range requests {
		of(service).Requests = uint32(n)
	}
	if len(requests) > 0 {
		r.RequestsFromMs, r.RequestsSpanMs = sinceMs, wire.AgeMs(now.Sub(since))
	}
	for _, x := range l.requests.takeLate() {
		s := of(x.service)
		s.Late = append(s.Late, &coordpb.LateRepeat{AgeMs: wire.AgeMs(now.Sub(x.countedAt)), Again: x.Again, FromSlack: float32(x.FromSlack)})
	}
}

// CountRequest implements gate.RepeatPool.
func (l *Link) CountRequest(service string) bool {
	if !l.Linked() {
		return false
	}
	l.requests.count(service)
	return true
}

// CountLate implements gate.RepeatPool.
func (l *Link) CountLate(service string, countedAt time.Time, r budget.Late) bool {
	if !l.Linked() {
		return false
	}
	l.requests.addLate(lateRepeat{service, countedAt, r})
	l.ReportSoon()
	return true
}

// Repeat implements gate.RepeatPool.
func (l *Link) Repeat(ctx context.Context, service string) (budget.Usage, bool, error) {
	address := l.coordinatorAddress()
	switch address {
	case "":
		return budget.Usage{}, false, errNotLinked
	case l.cfg.Address:
		u, allowed, ok := l.own.Repeat(l.repeatCall(service, address))
		if !ok {
			return budget.Usage{}, false, wire.ErrNotActing
		}
		return u, allowed, nil
	}
	ctx, cancel := context.WithTimeout(ctx, repeatTimeout)
	defer cancel()
	a, err := l.conns.Repeat(ctx, address, l.repeatCall(service, address))
	if err != nil {
		return budget.Usage{}, false, err
	}
	return budget.Usage{Requests: int(a.Requests), Repeats: int(a.Repeats), Credit: float64(a.Credit), Slack: float64(a.Slack), Late: float64(a.Late), FromSlack: float64(a.FromSlack)}, a.Allowed, nil
}

// repeatCall returns the question for a repeat. If it is lost, the requests that it names are
// not counted anywhere.
func (l *Link) repeatCall(service, address string) *coordpb.RepeatCall {
	now := l.deps.Now()
	n, since, sinceMs := l.requests.takeOf(service, address, now)
	return &coordpb.RepeatCall{Service: service, Requests: uint32(n), RequestsFromMs: sinceMs, RequestsSpanMs: wire.AgeMs(now.Sub(since))}
}
