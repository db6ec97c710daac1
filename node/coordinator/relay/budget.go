package relay

import (
	"sync"
	"time"

	"peridotpier.example/node/coordinator/wire"
)

// sendBudget bounds the use of this host's link for complete lists. Where thousands
// of upstreams are listed and a thousand hosts ask at the same time, all answers would
// otherwise arrive too slowly for any host to receive one before its report counts as
// failed.
type sendBudget struct {
	mu        sync.Mutex
	busyUntil time.Time // when the lists that were allowed will have been sent
}

const (
	// ListShare is the share of the link that complete lists may use.
	ListShare = 0.4
	// listBurst is how far ahead of the link lists are allowed: a fraction of the time
	// that a report may take.
	listBurst = wire.ReportTimeout / 4
)

// reserve reports whether a list of that many bytes may be sent now, over a link of
// mbps megabits a second; 0: unbounded. If so, its time on the link is reserved.
func (l *sendBudget) reserve(bytes int, mbps float64, now time.Time) bool {
	if mbps == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busyUntil.Sub(now) > listBurst {
		return false
	}
	const bitsPerByte, perMega = 8, 1e6
	takes := time.Duration(float64(bytes*bitsPerByte) / (mbps * perMega * ListShare) * float64(time.Second))
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(takes)
	return true
}
