package backpressure

import "time"

// openSend is a request that has not been answered.
type openSend struct {
	number uint64
	at     time.Time
}

// overdue returns how many requests have been without an answer for so long that they may
// not have reached the upstream: a network path may hold them, and deliver them at once
// after the slots that they were sent to have been used by others.
func (r *Room) overdue(now time.Time) int {
	due := maxAbandonedRun
	if r.abandoned.longest > 0 {
		due = r.abandoned.longest * runMargin
	}
	n := 0
	for n < len(r.unanswered) && now.Sub(r.unanswered[n].at) > due {
		n++
	}
	return n
}
