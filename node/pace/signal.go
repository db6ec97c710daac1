package pace

import (
	"context"
	"sync"
	"time"
)

// Signal wakes all that wait for its next giving.
type Signal struct {
	mu sync.Mutex
	ch chan struct{} // nil: nobody has waited since the last giving
}

// Next returns a channel that is closed when the signal is given next.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Notify wakes those that wait.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// SleepOrWake waits for d, or until ch is closed, and says whether ctx is still alive.
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
