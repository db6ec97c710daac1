package coordinator

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// errQuiet: the lease is new, and the former holder's orders may still arrive.
var errQuietPeriod = errors.New("the quiet time of a new lease is not over")

// mayOrder says whether an order that ends within need may be sent now. It is
// asked right before each send: a process that was paused wakes in the middle
// of its work, beside its successor.
func (c *Coordinator) mayOrder(need time.Duration) error {
	c.mu.Lock()
	epoch, quiet := c.term.Epoch, c.quietUntil
	c.mu.Unlock()
	if err := c.deps.Lease.Check(epoch, need); err != nil {
		return err
	}
	if c.now().Before(quiet) {
		return errQuietPeriod
	}
	return nil
}

// mayOrderTo says the same of one upstream.
func (c *Coordinator) mayOrderTo(u *managedUpstream, need time.Duration) error {
	if err := c.mayOrder(need); err != nil {
		return err
	}
	if c.inQuietPeriod(u.entry.ID(), c.now()) {
		return errQuietPeriod
	}
	return nil
}

func (c *Coordinator) epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term.Epoch
}

func (c *Coordinator) authority() Authority {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Authority{Holder: c.cfg.Host, Epoch: c.term.Epoch}
}

// storeLoads counts the loads from the weight store in a sliding window. Past
// its ceiling the store serves everybody more slowly.
type storeLoads struct {
	window           time.Duration
	factor           float64
	mu               sync.Mutex
	startedAt        []time.Time
	unconfirmedUntil []time.Time // until when each load whose order went unanswered may still begin
	inheritedAt      []time.Time // of those begun, what a former holder told
	assumedFullUntil time.Time   // until when a former holder's loads are assumed to fill the window
}

// addUnconfirmed notes that a load may begin at any time until then, or not at all: its
// order went unanswered, and orders are carried out up to seconds late. Counted
// at the time of its order only, it would pass the ceiling unseen when it comes.
func (s *storeLoads) addUnconfirmed(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmedUntil = append(s.unconfirmedUntil, until)
}

// recent keeps the times that count within a window before now.
func recent(all []time.Time, now time.Time, window time.Duration) []time.Time {
	return slices.DeleteFunc(all, func(t time.Time) bool { return now.Sub(t) > window })
}

// assumeFull notes that another holder may have begun loads that this one does
// not know of.
func (s *storeLoads) assumeFull(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assumedFullUntil = now.Add(s.window)
}

// inherit takes over the loads that a former holder told, beside those of this
// host's own earlier terms.
func (s *storeLoads) inherit(started, unconfirmed []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.unconfirmedUntil = append(s.startedAt, started...), append(s.unconfirmedUntil, unconfirmed...)
	s.inheritedAt = slices.Clone(started)
}

// inheritedWithin is how many loads that a former holder told began within a
// time, so that they may still be under way.
func (s *storeLoads) inheritedWithin(maxAge time.Duration, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inheritedAt = recent(s.inheritedAt, now, maxAge)
	return len(s.inheritedAt)
}

// counted returns the loads that count now; known: there are no others.
func (s *storeLoads) counted(now time.Time) (started, unconfirmed []time.Time, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.unconfirmedUntil = recent(s.startedAt, now, s.window), recent(s.unconfirmedUntil, now, s.window)
	return slices.Clone(s.startedAt), slices.Clone(s.unconfirmedUntil), !now.Before(s.assumedFullUntil)
}

// remaining is how many loads may begin now, at a rate a second.
func (s *storeLoads) remaining(rate float64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.assumedFullUntil) {
		return 0
	}
	s.startedAt, s.unconfirmedUntil = recent(s.startedAt, now, s.window), recent(s.unconfirmedUntil, now, s.window)
	return int(rate*s.window.Seconds()*s.factor) + storeBurst - len(s.startedAt) - len(s.unconfirmedUntil)
}

// storeBurst is how many loads beyond its rate the weight store takes in one
// window, less one that a former holder may have begun at its end.
const storeBurst = 2

func (s *storeLoads) add(now time.Time) {
	s.mu.Lock()
	s.startedAt = append(s.startedAt, now)
	s.mu.Unlock()
}

// remove takes back a load that began at a time and was not ordered.
func (s *storeLoads) remove(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.startedAt, at.Equal); i >= 0 {
		s.startedAt = slices.Delete(s.startedAt, i, i+1)
	}
}

// recount counts a load that began at one time as one that begins now, or
// says no when there is no room for that now.
func (s *storeLoads) recount(at time.Time, rate float64, now time.Time) bool {
	s.remove(at)
	if s.remaining(rate, now) <= 0 {
		s.add(at)
		return false
	}
	s.add(now)
	return true
}
