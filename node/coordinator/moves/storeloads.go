package moves

import (
	"slices"
	"sync"
	"time"
)

// StoreLoads counts the loads from the weight store in a sliding window. Beyond its
// rate the store serves everybody more slowly.
type StoreLoads struct {
	window           time.Duration
	factor           float64
	mu               sync.Mutex
	startedAt        []time.Time
	unconfirmedUntil []time.Time // until when each load whose order is unconfirmed may still begin
	inheritedAt      []time.Time // the part of startedAt that a former holder handed over
	assumedFullUntil time.Time   // until when the window is assumed to be full of a former holder's loads
}

// NewStoreLoads returns the count over a window of the given length. The rate of the
// weight store is multiplied by factor.
func NewStoreLoads(window time.Duration, factor float64) *StoreLoads {
	return &StoreLoads{window: window, factor: factor}
}

// addUnconfirmed records that a load may begin at any time before until, or not at all:
// its order is unconfirmed, and orders may be carried out seconds late. If it counted
// only at the time of its order, a late load would exceed the store's rate unnoticed.
func (s *StoreLoads) addUnconfirmed(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmedUntil = append(s.unconfirmedUntil, until)
}

// recent removes the times that lie more than window before now. It changes its
// argument.
func recent(all []time.Time, now time.Time, window time.Duration) []time.Time {
	return slices.DeleteFunc(all, func(t time.Time) bool { return now.Sub(t) > window })
}

// AssumeFull records that another holder may have begun loads that are unknown here.
func (s *StoreLoads) AssumeFull(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assumedFullUntil = now.Add(s.window)
}

// Inherit adds the loads that a former holder handed over to those of this host's
// earlier terms.
func (s *StoreLoads) Inherit(started, unconfirmed []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.unconfirmedUntil = append(s.startedAt, started...), append(s.unconfirmedUntil, unconfirmed...)
	s.inheritedAt = slices.Clone(started)
}

// InheritedWithin returns how many inherited loads began within maxAge before now, so
// that they may still be under way.
func (s *StoreLoads) InheritedWithin(maxAge time.Duration, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inheritedAt = recent(s.inheritedAt, now, maxAge)
	return len(s.inheritedAt)
}

// Counted returns the loads that count now. known reports whether there are no others.
func (s *StoreLoads) Counted(now time.Time) (started, unconfirmed []time.Time, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.unconfirmedUntil = recent(s.startedAt, now, s.window), recent(s.unconfirmedUntil, now, s.window)
	return slices.Clone(s.startedAt), slices.Clone(s.unconfirmedUntil), !now.Before(s.assumedFullUntil)
}

// Remaining returns how many loads may begin now; rate is in loads per second.
func (s *StoreLoads) Remaining(rate float64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.assumedFullUntil) {
		return 0
	}
	s.startedAt, s.unconfirmedUntil = recent(s.startedAt, now, s.window), recent(s.unconfirmedUntil, now, s.window)
	return int(rate*s.window.Seconds()*s.factor) + storeBurst - len(s.startedAt) - len(s.unconfirmedUntil)
}

// storeBurst is how many loads beyond its rate the weight store takes in one window,
// less one that a former holder may have begun at its end.
const storeBurst = 2

// Add counts a load that begins now.
func (s *StoreLoads) Add(now time.Time) {
	s.mu.Lock()
	s.startedAt = append(s.startedAt, now)
	s.mu.Unlock()
}

// remove drops a load that was counted at a time and was not ordered.
func (s *StoreLoads) remove(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.startedAt, at.Equal); i >= 0 {
		s.startedAt = slices.Delete(s.startedAt, i, i+1)
	}
}

// recount counts a load that was counted at one time as beginning now. It returns false
// if there is no room for that now.
func (s *StoreLoads) recount(at time.Time, rate float64, now time.Time) bool {
	s.remove(at)
	if s.Remaining(rate, now) <= 0 {
		s.Add(at)
		return false
	}
	s.Add(now)
	return true
}
