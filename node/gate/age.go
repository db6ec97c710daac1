package gate

import (
	"sync"
	"time"

	"peridotpier.example/core/attemptage"
)

// callerKind is what callers that state the same time at first have in common.
type callerKind struct{ route, team string }

// attemptAges estimates the ages of callers' attempts, by route and team: the attempts of a
// team that sends many must not make those of others seem old.
type attemptAges struct {
	mu     sync.Mutex
	byKind map[callerKind]*attemptage.Estimator
}

// maxAgedKinds bounds the kinds that are kept: configurations may add and remove many.
const maxAgedKinds = 4096

// observe records an attempt that states how much time it has left, and returns how long ago
// its caller began to ask; 0: it just began, or that is not known.
func (a *attemptAges) observe(kind callerKind, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.byKind[kind]
	if e == nil {
		if a.byKind == nil || len(a.byKind) >= maxAgedKinds {
			a.byKind = map[callerKind]*attemptage.Estimator{}
		}
		e = attemptage.New()
		a.byKind[kind] = e
	}
	return e.Observe(left)
}

// objectiveLeft returns how much of the request's objective is left. It counts from the
// caller's first attempt, so that one that comes back late does not go before those that
// can still be answered in time.
func (q *request) objectiveLeft(now time.Time) time.Duration {
	return q.start.Add(q.route.Objective - q.age).Sub(now)
}
