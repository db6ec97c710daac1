package gate

import (
	"sync"
	"time"

	"peridotpier.example/core/budget"
)

// RetryBudget holds this host's share of the sends beyond the first, by service.
type RetryBudget struct {
	policy budget.Policy
	hosts  func() int // that share the allowance, as this host knows
	mu     sync.Mutex
	byName map[string]*budget.Window
}

// NewRetryBudget makes one with nothing sent.
func NewRetryBudget(p budget.Policy, hosts func() int) *RetryBudget {
	return &RetryBudget{policy: p, hosts: hosts, byName: map[string]*budget.Window{}}
}

// RecordRequest counts a request for a service.
func (r *RetryBudget) RecordRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.windowLocked(service, now).CountRequest(now)
}

// Take asks for one send beyond the first.
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
