package coordinator

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// errQuiet: the lease is new, and the former holder's orders may still arrive.
var errQuiet = errors.New("the quiet time of a new lease is not over")

// mayOrder says whether an order that ends within need may be sent now. It is
// asked right before each send: a process that was paused wakes in the middle
// of its work, beside its successor.
func (c *Coordinator) mayOrder(need time.Duration) error {
	c.mu.Lock()
	epoch, quiet := c.term.Epoch, c.quiet
	c.mu.Unlock()
	if err := c.deps.Lease.Check(epoch, need); err != nil {
		return err
	}
	if c.now().Before(quiet) {
		return errQuiet
	}
	return nil
}

// mayOrderTo says the same of one upstream.
func (c *Coordinator) mayOrderTo(u *unit, need time.Duration) error {
	if err := c.mayOrder(need); err != nil {
		return err
	}
	if c.quietFor(u.entry.ID(), c.now()) {
		return errQuiet
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
	window time.Duration
	over   float64
	mu     sync.Mutex
	begun  []time.Time
	doubts []time.Time // until when each load whose order went unanswered may still begin
	told   []time.Time // of those begun, what a former holder told
	full   time.Time   // until when a former holder's loads are assumed to fill the window
}

// doubt notes that a load may begin at any time until then, or not at all: its
// order went unanswered, and orders are carried out up to seconds late. Counted
// at the time of its order only, it would pass the ceiling unseen when it comes.
func (s *storeLoads) doubt(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubts = append(s.doubts, until)
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
	s.full = now.Add(s.window)
}

// inherit takes over the loads that a former holder told, beside those of this
// host's own earlier terms.
func (s *storeLoads) inherit(begun, doubts []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.doubts = append(s.begun, begun...), append(s.doubts, doubts...)
	s.told = slices.Clone(begun)
}

// inheritedWithin is how many loads that a former holder told began within a
// time, so that they may still be under way.
func (s *storeLoads) inheritedWithin(longest time.Duration, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = recent(s.told, now, longest)
	return len(s.told)
}

// tell returns the loads that count now; known: there are no others.
func (s *storeLoads) tell(now time.Time) (begun, doubts []time.Time, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.doubts = recent(s.begun, now, s.window), recent(s.doubts, now, s.window)
	return slices.Clone(s.begun), slices.Clone(s.doubts), !now.Before(s.full)
}

// left is how many loads may begin now, at a rate a second.
func (s *storeLoads) left(rate float64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.full) {
		return 0
	}
	s.begun, s.doubts = recent(s.begun, now, s.window), recent(s.doubts, now, s.window)
	return int(rate*s.window.Seconds()*s.over) + storeBurst - len(s.begun) - len(s.doubts)
}

// storeBurst is how many loads beyond its rate the weight store takes in one
// window, less one that a former holder may have begun at its end.
const storeBurst = 2

func (s *storeLoads) begin(now time.Time) {
	s.mu.Lock()
	s.begun = append(s.begun, now)
	s.mu.Unlock()
}

// undo takes back a load that began at a time and was not ordered.
func (s *storeLoads) undo(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.begun, at.Equal); i >= 0 {
		s.begun = slices.Delete(s.begun, i, i+1)
	}
}

// postpone counts a load that began at one time as one that begins now, or
// says no when there is no room for that now.
func (s *storeLoads) postpone(at time.Time, rate float64, now time.Time) bool {
	s.undo(at)
	if s.left(rate, now) <= 0 {
		s.begin(at)
		return false
	}
	s.begin(now)
	return true
}
