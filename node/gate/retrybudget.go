package gate

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/budget"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// RepeatPool is the allowance of retries of all hosts, which the acting coordinator keeps.
type RepeatPool interface {
	// CountRequest counts a request of a caller for a service. It returns false if this
	// host is linked to no coordinator that could be told.
	CountRequest(service string) bool
	// Repeat asks for a retry. An error means that no coordinator answered in time.
	Repeat(ctx context.Context, service string) (u budget.Usage, allowed bool, err error)
	// CountLate counts a late retry that was permitted, or counted as late, at a time. It
	// returns false if this host is linked to no coordinator that could be told.
	CountLate(service string, countedAt time.Time, r budget.Late) bool
}

// RetryBudget bounds the retries of each service. The pool permits them; while it does not
// answer, this host permits what its own requests earn that the pool was not told of.
type RetryBudget struct {
	policy budget.Policy
	pool   RepeatPool
	mu     sync.Mutex
	byName map[string]*serviceBudget
	now    func() time.Time
}

// serviceBudget is the budget of one service.
type serviceBudget struct {
	own          *budget.Account // of the requests that the pool was not told of
	refusedUntil time.Time       // until then the pool, which has refused, is not asked again
	refused      budget.Usage    // what it decided from
	exhausted    bool            // the last retry was refused
}

// refusalPause is how long the pool is not asked again after it refused a retry: many
// requests may wait for one.
const refusalPause = 100 * time.Millisecond

// NewRetryBudget creates a RetryBudget with no requests counted.
func NewRetryBudget(p budget.Policy, pool RepeatPool) *RetryBudget {
	return &RetryBudget{policy: p, pool: pool, byName: map[string]*serviceBudget{}, now: time.Now}
}

// RecordRequest counts a request for a service.
func (r *RetryBudget) RecordRequest(service string, now time.Time) {
	if r.pool.CountRequest(service) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serviceLocked(service, now).own.Count(1, now)
}

// countLate counts a late retry that was permitted, or counted as late, at a time.
func (r *RetryBudget) countLate(service string, countedAt time.Time, late budget.Late) {
	if r.pool.CountLate(service, countedAt, late) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	late.Age = now.Sub(countedAt)
	r.serviceLocked(service, now).own.CountLate(late, now)
}

// charge is the result of charging one retry.
type charge struct {
	budget.Usage
	by      string    // who decided
	askedAt time.Time // when this host asked
	allowed bool
	changed bool // retries of the service are allowed now and were not before, or the reverse
}

// Who decides on a retry.
const (
	decidedByPool = "coordinator"
	decidedHere   = "host"
)

// take charges one retry to the budget, if it is allowed. It may wait for the pool.
func (r *RetryBudget) take(ctx context.Context, service string, clock func() time.Time) charge {
	asked := clock()
	if u, refused := r.recentRefusal(service, asked); refused {
		return charge{Usage: u, by: decidedByPool, askedAt: asked}
	}
	u, allowed, err := r.pool.Repeat(ctx, service)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock()
	s := r.serviceLocked(service, now)
	c := charge{Usage: u, by: decidedByPool, askedAt: asked, allowed: allowed}
	switch {
	case err != nil:
		c.by = decidedHere
		c.Usage, c.allowed = s.own.Take(false, now)
	case !allowed:
		s.refusedUntil, s.refused = now.Add(refusalPause), u
	}
	c.changed = s.exhausted == c.allowed
	s.exhausted = !c.allowed
	return c
}

// recentRefusal returns what the pool decided from if it has just refused a retry.
func (r *RetryBudget) recentRefusal(service string, now time.Time) (budget.Usage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serviceLocked(service, now)
	return s.refused, now.Before(s.refusedUntil)
}

func (r *RetryBudget) serviceLocked(service string, now time.Time) *serviceBudget {
	s, ok := r.byName[service]
	if !ok {
		s = &serviceBudget{own: budget.NewAccount(r.policy, now)}
		r.byName[service] = s
	}
	return s
}

// How a retry was counted, as the kinds of metrics.ServiceRetries.
const (
	retryCharged = "charged"
	retryRefused = "refused"
	retrySent    = "sent" // written to an upstream's connection after another attempt of the request was
	retryLate    = "read_late"
	retryUnread  = "unread"
)

// takeRetry charges a retry of the request to the budget. It may be called from any
// goroutine.
func (q *request) takeRetry(ctx context.Context) charge {
	d := &q.g.deps
	c := d.RetryBudget.take(ctx, q.service.Name, d.Now)
	kind := retryCharged
	if !c.allowed {
		kind = retryRefused
	}
	d.Metrics.Add(metrics.ServiceRetries, q.service.Name, kind, 1)
	if c.changed {
		d.Log.Emit(event.RetryBudgetChanged, q.id(), zap.String("service", q.service.Name), zap.Bool("allowed", c.allowed), c.field())
	}
	return c
}

// chargeRetry is takeRetry for the next attempt. It reports whether the retry is allowed.
func (q *request) chargeRetry() bool {
	q.charged(q.takeRetry(q.ctx))
	return q.lastCharge.allowed
}

// charged records the charge for the next attempt.
func (q *request) charged(c charge) {
	q.lastCharge = c
	if c.allowed {
		q.chargedAt = c.askedAt
	}
}

// maySend reports whether another attempt may be sent: it is the first one that is
// written to an upstream, or it has been charged, not long ago. Otherwise it is charged.
func (q *request) maySend() bool { return !q.chargeLapsed() || q.chargeRetry() }

// chargeLapsed reports whether the next attempt is a retry that was not charged, or too long
// ago: this host may have stood still since it asked.
func (q *request) chargeLapsed() bool {
	d := &q.g.deps
	return q.writes > 0 && (q.chargedAt.IsZero() || d.Now().Sub(q.chargedAt) > d.RetryBudget.policy.PermitLifetime())
}

// recordSend counts an attempt that is about to be written to an upstream's connection.
func (q *request) recordSend() {
	if q.writes > 0 {
		q.g.deps.Metrics.Add(metrics.ServiceRetries, q.service.Name, retrySent, 1)
		q.g.deps.Log.Emit(event.RetrySent, q.id(), q.routeName(), zap.String(event.FieldPeer, q.lastUpstream), zap.Bool("charged", !q.chargedAt.IsZero()), q.sinceCharge())
	}
	q.recordWrites(1)
}

// sinceCharge is the log field for how long ago the charge for the next attempt was asked for.
func (q *request) sinceCharge() zap.Field {
	if q.chargedAt.IsZero() {
		return zap.Skip()
	}
	return zap.Int64("charged_ms", q.g.deps.Now().Sub(q.nextCharge().askedAt).Milliseconds())
}

// recordWrites counts attempts that were written to an upstream's connection, or may have
// been.
func (q *request) recordWrites(n int) {
	if n > 0 {
		q.writes += n
		q.chargedAt = time.Time{}
	}
}

// field is the log field for what a retry was decided from.
func (c *charge) field() zap.Field {
	if c.by == "" {
		return zap.Skip()
	}
	return zap.Dict("retry_budget", zap.String("by", c.by), zap.Int("requests", c.Requests), zap.Int("repeats", c.Repeats),
		zap.Float64("credit", c.Credit), zap.Float64("slack", c.Slack), zap.Float64("late", c.Late))
}
