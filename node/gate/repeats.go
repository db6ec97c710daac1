package gate

import (
	"sync"
	"time"

	"peridotpier.example/core/budget"
)

// Repeats holds this host's share of the sends beyond the first, by service.
type Repeats struct {
	policy budget.Policy
	hosts  func() int // that share the allowance, as this host knows
	mu     sync.Mutex
	byName map[string]*budget.Window
}

// NewRepeats makes one with nothing sent.
func NewRepeats(p budget.Policy, hosts func() int) *Repeats {
	return &Repeats{policy: p, hosts: hosts, byName: map[string]*budget.Window{}}
}

// Request counts a request for a service.
func (r *Repeats) Request(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.windowLocked(service, now).Request(now)
}

// Take asks for one send beyond the first.
func (r *Repeats) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.windowLocked(service, now).Take(now, r.hosts())
}

func (r *Repeats) windowLocked(service string, now time.Time) *budget.Window {
	w, ok := r.byName[service]
	if !ok {
		w = budget.New(r.policy, now)
		r.byName[service] = w
	}
	return w
}
