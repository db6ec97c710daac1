package gate

import (
	"sync"
	"time"

	"peridotpier.example/core/budget"
)

// RetryBudget is this host's share of the retries allowed over all hosts, by service.
type RetryBudget struct {
	policy budget.Policy
	hosts  func() int // number of hosts that share the budget, as this host knows
	mu     sync.Mutex
	byName map[string]*budget.Window
}

// NewRetryBudget creates a RetryBudget with no requests counted.
func NewRetryBudget(p budget.Policy, hosts func() int) *RetryBudget {
	return &RetryBudget{policy: p, hosts: hosts, byName: map[string]*budget.Window{}}
}

// RecordRequest counts a request for a service.
func (r *RetryBudget) RecordRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.windowLocked(service, now).CountRequest(now)
}

// Take charges one retry to the budget and reports whether it is allowed.
func (r *RetryBudget) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.windowLocked(service, now).Take(now, r.hosts())
}

func (r *RetryBudget) windowLocked(service string, now time.Time) *budget.Window {
	w, ok := r.byName[service]
	if !ok {
		w = budget.NewWindow(r.policy, now)
		r.byName[service] = w
	}
	return w
}
