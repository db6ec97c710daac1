package claim

// Unsettled is the number of ends of claims that wait for the platform.
func (s *Store) Unsettled() int {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return len(s.queue.items)
}
