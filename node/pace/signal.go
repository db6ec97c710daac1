package pace

import (
	"context"
	"sync"
	"time"
)

// Signal is a broadcast that wakes all goroutines waiting for its next notification.
type Signal struct {
	mu sync.Mutex
	ch chan struct{} // nil: nobody has waited since the last notification
}

// Next returns a channel that is closed at the next notification.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Notify wakes all goroutines that wait for the next notification.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// SleepOrWake waits for d, or until ch is closed or ctx is done, and reports whether ctx
// is still active.
func SleepOrWake(ctx context.Context, d time.Duration, ch <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ch:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
