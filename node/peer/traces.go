package peer

import (
	"sync"
	"time"
)

// timestamps remembers when things began or were last done.
type timestamps struct {
	mu sync.Mutex
	at map[string]time.Time
}

// allow says whether key was not done within the last d, and notes that it is now.
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

// sinceFirst returns how long ago key was first asked for.
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

func (t *timestamps) clear(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.at, key)
}
