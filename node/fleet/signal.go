package fleet

import "sync"

// signal wakes all that wait for its next giving.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() signal { return signal{ch: make(chan struct{})} }

// next returns a channel that is closed when the signal is given next.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

func (s *signal) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
