package gate

import (
	"context"
	"time"
)

// drainingMaxHold is how long after its start a request may be held by a draining host.
// Callers still arrive for 2.5 s after the stop signal; a request held then has half of
// a usual grace period left for its response.
const drainingMaxHold = time.Second

// limitHold limits a hold, counted from the request's start, to what a draining host
// allows. Responses that have started are exempt: cutting them off would gain nothing.
func (q *request) limitHold(hold time.Duration) time.Duration {
	if q.g.deps.HoldLimitContext.Err() == nil || q.started {
		return hold
	}
	return min(hold, drainingMaxHold)
}

// cancelWithHoldLimit cancels a wait once holds are limited and the request has been
// held for longer than that allows. The returned function stops the watch.
func (q *request) cancelWithHoldLimit(cancel context.CancelFunc) (stop func() bool) {
	if q.started {
		return func() bool { return true }
	}
	return context.AfterFunc(q.g.deps.HoldLimitContext, func() {
		time.AfterFunc(q.start.Add(drainingMaxHold).Sub(q.g.deps.Now()), cancel)
	})
}
