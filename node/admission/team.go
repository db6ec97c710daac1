package admission

import (
	"sync"
	"time"

	"peridotpier.example/core/admit"
	"peridotpier.example/core/config"
)

// team guards one team's limiter.
type team struct {
	mu      sync.Mutex
	weight  int
	limiter *admit.Limiter
}

func newTeam(t config.Team, hosts int, now time.Time) *team {
	return &team{weight: t.Weight, limiter: admit.NewLimiter(t.Limits, hosts, now)}
}

func (t *team) reconfigure(c config.Team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.weight = c.Weight
	t.limiter.SetLimits(c.Limits)
}

func (t *team) setPeerUsage(rps, concurrent float64, hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.SetPeerDemand(rps, concurrent, hosts)
}

func (t *team) demand(now time.Time) (rps, concurrent float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.Demand(now)
}

// take counts a request against the team's limits. If a limit is reached, ok is false
// and wait is the time after which to retry.
func (t *team) take(now time.Time) (weight int, ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok, wait = t.limiter.Take(now)
	return t.weight, ok, wait
}

// done ends a request that was counted by take.
func (t *team) done(heldFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Done(heldFor)
}

// cancel reverts take for a request that was not admitted.
func (t *team) cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Cancel()
}
