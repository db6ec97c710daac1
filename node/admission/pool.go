package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotpier.example/core/admit"
	"peridotpier.example/core/class"
	"peridotpier.example/core/fault"
)

// pool guards one admit.Pool and wakes the requests that wait in it.
type pool struct {
	mu      sync.Mutex
	core    *admit.Pool
	waiters map[uint64]*waiter
	lastID  uint64
}

// waiter is one queued request. The goroutine that removes it from pool.waiters, under
// the lock, sends exactly one result on done, unless it withdraws the request. The
// channel has a buffer of one, so that the sender never blocks.
type waiter struct {
	request Request
	done    chan error // nil: admitted
}

func newPool() *pool {
	return &pool{core: admit.NewPool(admit.Policy{}), waiters: map[uint64]*waiter{}}
}

// admit waits until the request is admitted (nil), refused, or ctx ends.
func (p *pool) admit(ctx context.Context, r Request, weight int) error {
	w, id, err := p.arrive(r, weight)
	if w == nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return p.withdraw(ctx, id, w)
	}
}

// arrive passes the request to the core pool. It returns a waiter if the request was
// queued, an error if it was refused, and neither if it was admitted.
func (p *pool) arrive(r Request, weight int) (*waiter, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	item := admit.Item{ID: p.lastID, Team: r.Team, Weight: weight, Class: r.Class, Deadline: r.Deadline, MinDuration: r.MinDuration}
	verdict, refusal, displaced := p.core.Arrive(time.Now(), item)
	if displaced != nil {
		p.deliver(admit.Result{Refused: []admit.Refusal{*displaced}})
	}
	switch verdict {
	case admit.Admitted:
		return nil, item.ID, nil
	case admit.Refused:
		return nil, item.ID, refusalError(refusal, r)
	}
	w := &waiter{request: r, done: make(chan error, 1)}
	p.waiters[item.ID] = w
	return w, item.ID, nil
}

// withdraw removes a queued request whose caller cancelled it or whose deadline
// passed. A slot that was granted at the same moment is returned here: nothing else
// would return it, and the pool's slots would leak one by one.
func (p *pool) withdraw(ctx context.Context, id uint64, w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, queued := p.waiters[id]; queued {
		delete(p.waiters, id)
		p.core.Cancel(w.request.Class, id)
	} else if err := <-w.done; err == nil {
		p.deliver(p.core.ReleaseUnused(w.request.Class, w.request.Team))
	}
	code := fault.CodeOverloaded
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.CodeDeadlineExceeded
	}
	return fault.NotRun(fault.StepAdmit, "", code, "gave up waiting: %w", ctx.Err()).WithRetryAfter(time.Second)
}

func (p *pool) release(c class.Class, team string, heldFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.core.Release(c, team, heldFor))
}

func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		p.deliver(p.core.ExpireQueued(now))
	}
}

func (p *pool) setPolicy(now time.Time, policy admit.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.core.SetPolicy(now, policy))
}

func (p *pool) load() PoolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l PoolLoad
	for c := class.Bulk; c < class.Count; c++ {
		l.Used[c], l.Waiting[c] = p.core.Used(c), p.core.Waiting(c)
	}
	return l
}

// deliver sends the results of a change of the core pool to the waiters.
func (p *pool) deliver(r admit.Result) {
	for _, id := range r.Granted {
		p.notify(id, nil)
	}
	for _, refusal := range r.Refused {
		if w := p.waiters[refusal.ID]; w != nil {
			p.notify(refusal.ID, refusalError(refusal, w.request))
		}
	}
}

// notify removes a waiter and sends its result; it does nothing if the request is no
// longer queued.
func (p *pool) notify(id uint64, err error) {
	if w := p.waiters[id]; w != nil {
		delete(p.waiters, id)
		w.done <- err
	}
}

// refusalError converts a refusal into the error that callers see.
func refusalError(r admit.Refusal, req Request) error {
	code, reason := fault.CodeOverloaded, "no slot"
	switch r.Cause {
	case admit.CauseNoCapacity:
		code, reason = fault.CodeNoUpstream, "no capacity in the pool"
	case admit.CauseBulkDisabled:
		reason = "bulk work is not accepted under the preset in force"
	case admit.CauseQueueFull:
		reason = "the queue is full"
	case admit.CauseDeadlineUnreachable:
		code, reason = fault.CodeDeadlineExceeded, "it would miss its deadline"
	case admit.CauseDisplaced:
		reason = "the queue is full and the team holds most of it"
	}
	return fault.NotRun(fault.StepAdmit, "", code, "%s request to pool %s: %s", req.Class, req.Pool, reason).WithRetryAfter(r.RetryAfter)
}
