package quota

import "time"

// maxDebtTime bounds the debt that Charge leaves, in time at the limit's rate: requests
// admitted longer ago do not count against a team any more.
const maxDebtTime = 8 * time.Second

// Bucket is a token bucket that enforces a team's limit. It refills at the limit's rate
// up to its burst. Its level falls below zero when requests were admitted without Take.
type Bucket struct {
	limit       Limit
	level       float64
	refilledAt  time.Time
	credit      float64 // by how much the level may exceed the burst until creditUntil
	creditUntil time.Time
}

// NewBucket returns a full bucket.
func NewBucket(l Limit, now time.Time) *Bucket {
	return &Bucket{limit: l, level: l.capacity(), refilledAt: now}
}

// SetLimit changes the limit. What the bucket holds beyond the new burst is lost.
func (b *Bucket) SetLimit(l Limit, now time.Time) {
	b.refill(now)
	b.limit = l
	b.clamp()
}

// Take takes the cost of a request from the bucket and reports whether the request is
// admitted. If it is not, wait is the time after which the bucket will hold enough if
// nothing else is taken. A request that costs more than a burst could never be served;
// it is admitted when the bucket is full, and leaves a debt.
func (b *Bucket) Take(cost float64, now time.Time) (wait time.Duration, ok bool) {
	b.refill(now)
	if missing := min(cost, b.limit.capacity()) - b.level; missing > roundingTolerance {
		return time.Duration(missing / b.limit.PerSecond * float64(time.Second)), false
	}
	b.level -= cost
	return 0, true
}

// roundingTolerance is by how much a level may fall short of a cost because times are rounded.
const roundingTolerance = 1e-3

// Credit adds what was gained while no ledger counted. The level may exceed the burst
// by it until the given time, so that Charge can deduct what was admitted meanwhile.
func (b *Bucket) Credit(cost float64, until time.Time) {
	b.credit, b.creditUntil = cost, until
	b.level += cost
}

// Charge deducts the cost of requests that were admitted without Take.
func (b *Bucket) Charge(cost float64, now time.Time) {
	b.refill(now)
	floor := -b.limit.PerSecond*maxDebtTime.Seconds() - b.limit.capacity()
	b.level = max(b.level-cost, min(b.level, floor))
}

// Refund returns what was taken for a request that has not run.
func (b *Bucket) Refund(cost float64, now time.Time) {
	b.refill(now)
	b.level += cost
	b.clamp()
}

// Level returns what the bucket holds; a negative level is a debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += b.limit.PerSecond * elapsed.Seconds()
		b.refilledAt = now
	}
	b.clamp()
}

func (b *Bucket) clamp() {
	if b.refilledAt.After(b.creditUntil) {
		b.credit = 0
	}
	b.level = min(b.level, b.limit.capacity()+b.credit)
}
