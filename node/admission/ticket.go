package admission

import (
	"sync"
	"time"
)

// Ticket is a slot held by one request until Release.
type Ticket struct {
	once       sync.Once
	pool       *pool
	team       *team
	request    Request
	arrivedAt  time.Time
	admittedAt time.Time
}

// Release gives the slot back. Only the first call counts.
func (t *Ticket) Release() {
	t.once.Do(func() {
		now := time.Now()
		t.pool.release(t.request.Class, t.request.Team, now.Sub(t.admittedAt))
		t.team.done(now.Sub(t.arrivedAt))
	})
}

// WaitTime is how long the request waited for its slot.
func (t *Ticket) WaitTime() time.Duration { return t.admittedAt.Sub(t.arrivedAt) }
