package gate

import (
	"context"
	"time"
)

// drainingMaxHold is how long after its start a request is held at most by a host
// that stops. Callers come for 2.5 s after the signal; what was held then has
// half of a usual grace left for its answer.
const drainingMaxHold = time.Second

// limitHold cuts a time for which the request may be held, from its start, to
// what a host that stops allows. To cut an answer that has begun would gain nothing.
func (q *request) limitHold(hold time.Duration) time.Duration {
	if q.g.deps.HoldsLimited.Err() == nil || q.started {
		return hold
	}
	return min(hold, drainingMaxHold)
}

// cancelWithHoldLimit has a wait end when the host stops and it has lasted for too long
// then, or when it has later. The returned function ends the watch.
func (q *request) cancelWithHoldLimit(cancel context.CancelFunc) (stop func() bool) {
	if q.started {
		return func() bool { return true }
	}
	return context.AfterFunc(q.g.deps.HoldsLimited, func() {
		time.AfterFunc(q.start.Add(drainingMaxHold).Sub(q.g.deps.Now()), cancel)
	})
}
