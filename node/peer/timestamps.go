package peer

import (
	"sync"
	"time"
)

// timestamps records when a condition was first seen or an action was last done, by
// key. It is safe for concurrent use.
type timestamps struct {
	mu sync.Mutex
	at map[string]time.Time
}

// allow reports whether it did not return true for key within the last d. If so, it
// records now for key.
func (t *timestamps) allow(key string, now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = map[string]time.Time{}
	}
	if last, ok := t.at[key]; ok && now.Sub(last) < d {
		return false
	}
	t.at[key] = now
	return true
}

// sinceFirst returns the time since the first call for key, or since the first one
// after clear.
func (t *timestamps) sinceFirst(key string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = map[string]time.Time{}
	}
	if _, ok := t.at[key]; !ok {
		t.at[key] = now
	}
	return now.Sub(t.at[key])
}

// clear deletes the time of a key.
func (t *timestamps) clear(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.at, key)
}
