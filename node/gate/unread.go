package gate

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/budget"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// followFor is how many windows of the allowance a repeat is followed. An upstream that is not
// heard of for so long has most likely ended.
const followFor = 3

// unread is a send that is not known to have been read. If its request is sent more than once,
// it stands for one of the repeats. An upstream that stands still reads what was written to it
// when it goes on, though its connection be closed, and a repeat counts when it is read: so it
// is followed until its upstream is heard of again.
type unread struct {
	budget  *RetryBudget
	service string
	log     func(e event.Event, kind string, since time.Duration)

	mu        sync.Mutex
	read      bool
	askedAt   time.Time   // when the charge for the repeat was asked for; zero: it stands for none
	countedAt time.Time   // when the repeat counted last
	next      budget.Late // how it counts next, but for its age
	timer     *time.Timer // counts it
}

// follow follows a send to an upstream that is about to be written, or was.
func (q *request) follow(e *fleet.Entry) *unread {
	d, id, route := &q.g.deps, q.id(), q.routeName()
	u := &unread{budget: d.RetryBudget, service: q.service.Name}
	u.log = func(what event.Event, kind string, since time.Duration) {
		d.Metrics.Add(metrics.ServiceRetries, u.service, kind, 1)
		d.Log.Emit(what, id, route, zap.String(event.FieldPeer, e.ID()), zap.Int64("charged_ms", since.Milliseconds()))
	}
	e.OnRead(u.recordRead)
	return u
}

// repeat makes the send stand for a charged repeat, unless it has been read.
func (u *unread) repeat(c charge, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.read {
		return
	}
	u.askedAt, u.countedAt, u.next = c.askedAt, c.askedAt, budget.Late{FromSlack: c.FromSlack}
	u.timer = time.AfterFunc(max(u.budget.policy.LateAfter()-now.Sub(c.askedAt), 0), u.count)
}

// count counts the repeat, which is still not known to have been read.
func (u *unread) count() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.read {
		return
	}
	u.countLocked()
	if u.countedAt.Sub(u.askedAt) < followFor*u.budget.policy.Window {
		u.timer.Reset(u.budget.policy.RecountAfter())
	}
}

func (u *unread) countLocked() {
	u.budget.countLate(u.service, u.countedAt, u.next)
	u.countedAt, u.next.Again = u.budget.now(), true
}

// recordRead records that the send has been read. It may be called from any goroutine.
func (u *unread) recordRead(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.read {
		return
	}
	u.read = true
	if u.timer != nil {
		u.timer.Stop()
	}
	if u.next.Again {
		u.countLocked()
		u.log(event.RetryReadLate, retryLate, at.Sub(u.askedAt))
	}
}

// giveUp records that no answer to the send is awaited any more.
func (u *unread) giveUp(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.read && !u.askedAt.IsZero() {
		u.log(event.RetryUnread, retryUnread, now.Sub(u.askedAt))
	}
}

// followSend follows the attempt that is about to be written, if it is a repeat.
func (q *request) followSend(e *fleet.Entry) {
	q.newestSend = nil
	if q.writes == 0 {
		return
	}
	q.newestSend = q.follow(e)
	if !q.chargedAt.IsZero() {
		q.newestSend.repeat(q.nextCharge(), q.g.deps.Now())
	}
	q.countFirstSend()
}

// giveUpSend records that the newest attempt, which was written, ends without an answer.
func (q *request) giveUpSend(e *fleet.Entry) {
	if q.newestSend == nil {
		q.firstSend = q.follow(e)
		return
	}
	q.newestSend.giveUp(q.g.deps.Now())
}

// countFirstSend makes the request's first send, if it was given up, stand for the repeat that
// comes next: it is one, if it is read last.
func (q *request) countFirstSend() {
	if q.firstSend == nil || q.chargedAt.IsZero() {
		return
	}
	now := q.g.deps.Now()
	q.firstSend.repeat(q.nextCharge(), now)
	q.firstSend.giveUp(now)
	q.firstSend = nil
}

// nextCharge returns the charge for the next attempt.
func (q *request) nextCharge() charge {
	if q.lastCharge.askedAt.IsZero() { // by the host that forwarded the request
		return charge{askedAt: q.chargedAt}
	}
	return q.lastCharge
}
