package fleet

import (
	"maps"
	"slices"
	"sync"
)

// entrySet is a set of entries. Its lock is taken after those of entries.
type entrySet struct {
	mu      sync.Mutex
	entries map[*Entry]struct{}
}

// add adds an entry and reports whether the set was empty before.
func (s *entrySet) add(e *Entry) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[*Entry]struct{}{}
	}
	first = len(s.entries) == 0
	s.entries[e] = struct{}{}
	return first
}

func (s *entrySet) remove(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, e)
}

func (s *entrySet) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries) == 0
}

func (s *entrySet) all() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.entries))
}
