package coordinator

import (
	"sync"
	"time"
)

// listSendBudget bounds what whole lists take of this host's link. Where thousands of
// upstreams are listed and a thousand hosts ask together, all of them would else come
// too slowly for any host to take one before its report counts as lost.
type listSendBudget struct {
	mu        sync.Mutex
	busyUntil time.Time // when those that were given leave are sent
}

const (
	// listShare is the part of the link for whole lists.
	listShare = 0.4
	// listBurst is how far ahead leave is given: a part of what a report may take.
	listBurst = reportTimeout / 4
)

// reserve gives leave to send some bytes over a link, in megabits a second; 0: not bounded.
func (l *listSendBudget) reserve(bytes int, mbps float64, now time.Time) bool {
	if mbps == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busyUntil.Sub(now) > listBurst {
		return false
	}
	const bitsPerByte, perMega = 8, 1e6
	takes := time.Duration(float64(bytes*bitsPerByte) / (mbps * perMega * listShare) * float64(time.Second))
	l.busyUntil = later(l.busyUntil, now).Add(takes)
	return true
}
