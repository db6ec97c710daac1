package gate

import (
	"sync"
	"time"
)

// timesLeftWindow is the time over which the times that callers state are compared. It is
// several times as long as most callers wait.
const timesLeftWindow = 10 * time.Second

// maxTimedRoutes bounds the routes that are kept, whatever configurations come and go.
const maxTimedRoutes = 4096

// timesLeft knows how much time the callers of each route have when they ask first: the
// longest that any has stated lately. A caller that has less has waited for the difference,
// or was refused before.
type timesLeft struct {
	mu      sync.Mutex
	byRoute map[string]*longestTime
}

// longestTime is the longest time stated in this half of the window and in the one before.
type longestTime struct {
	now, before time.Duration
	halfStarted time.Time
}

// waited returns for how long a caller with this time left has waited before, and records
// the time.
func (t *timesLeft) waited(route string, left time.Duration, now time.Time) time.Duration {
	if left <= 0 { // not stated
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.byRoute[route]
	if l == nil {
		if t.byRoute == nil || len(t.byRoute) >= maxTimedRoutes {
			t.byRoute = map[string]*longestTime{}
		}
		l = &longestTime{halfStarted: now}
		t.byRoute[route] = l
	}
	if age := now.Sub(l.halfStarted); age > timesLeftWindow/2 {
		l.before, l.now, l.halfStarted = l.now, 0, now
		if age > timesLeftWindow {
			l.before = 0
		}
	}
	l.now = max(l.now, left)
	return max(l.now, l.before) - left
}
