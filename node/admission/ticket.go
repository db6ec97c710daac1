package admission

import (
	"sync"
	"time"
)

// Ticket is the right of one request to use a slot until Release is called.
type Ticket struct {
	once       sync.Once
	pool       *pool
	team       *team
	request    Request
	arrivedAt  time.Time
	admittedAt time.Time
}

// Release returns the slot. Further calls have no effect.
func (t *Ticket) Release() {
	t.once.Do(func() {
		now := time.Now()
		t.pool.release(t.request.Class, t.request.Team, now.Sub(t.admittedAt))
		t.team.done(now.Sub(t.arrivedAt))
	})
}

// WaitTime returns how long the request waited for its slot.
func (t *Ticket) WaitTime() time.Duration { return t.admittedAt.Sub(t.arrivedAt) }
