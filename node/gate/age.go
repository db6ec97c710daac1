package gate

import (
	"sync"
	"time"

	"peridotpier.example/core/attemptage"
)

// attemptAges estimates the ages of callers' attempts, by route.
type attemptAges struct {
	mu      sync.Mutex
	byRoute map[string]*attemptage.Estimator
}

// maxAgedRoutes bounds the routes that are kept: configurations may add and remove many.
const maxAgedRoutes = 1000

// observe records an attempt on a route that states how much time it has left, and returns
// how long ago its caller began to ask; 0: it just began, or that is not known.
func (a *attemptAges) observe(route string, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.byRoute[route]
	if e == nil {
		if a.byRoute == nil || len(a.byRoute) >= maxAgedRoutes {
			a.byRoute = map[string]*attemptage.Estimator{}
		}
		e = attemptage.New()
		a.byRoute[route] = e
	}
	return e.Observe(left)
}

// objectiveLeft returns how much of the request's objective is left. It counts from the
// caller's first attempt, so that one that comes back late does not go before those that
// can still be answered in time.
func (q *request) objectiveLeft(now time.Time) time.Duration {
	return q.start.Add(q.route.Objective - q.age).Sub(now)
}
