package quota

import "time"

// maxDebtTime bounds the debt that Charge leaves, in time of the rate: what was
// passed longer ago than this does not count against a team any more.
const maxDebtTime = 8 * time.Second

// Bucket holds a team to its limit: it gains the rate and keeps a burst at most.
// Its level falls below zero when something was passed without asking it.
type Bucket struct {
	limit       Limit
	level       float64
	refilledAt  time.Time
	credit      float64   // beyond a burst, until settled
	creditUntil time.Time // when it ends
}

// NewBucket makes a full one.
func NewBucket(l Limit, now time.Time) *Bucket {
	return &Bucket{limit: l, level: l.capacity(), refilledAt: now}
}

// SetLimit puts another limit in force. What is kept beyond its burst is lost.
func (b *Bucket) SetLimit(l Limit, now time.Time) {
	b.refill(now)
	b.limit = l
	b.clamp()
}

// Take asks for leave for a request. When refused it tells after what time the
// bucket holds enough, if nothing else is taken. One that costs more than a
// burst is let through when the bucket is full, and leaves a debt: it could
// never be served otherwise.
func (b *Bucket) Take(cost float64, now time.Time) (wait time.Duration, ok bool) {
	b.refill(now)
	if lacks := min(cost, b.limit.capacity()) - b.level; lacks > roundingTolerance {
		return time.Duration(lacks / b.limit.PerSecond * float64(time.Second)), false
	}
	b.level -= cost
	return 0, true
}

// roundingTolerance is what a level may be short of a cost by the rounding of times.
const roundingTolerance = 1e-3

// Credit adds what was gained while nobody counted. It may lie beyond a burst
// for a while, in which Charge takes what was passed at that time.
func (b *Bucket) Credit(cost float64, settled time.Time) {
	b.credit, b.creditUntil = cost, settled
	b.level += cost
}

// Charge takes what was passed without asking.
func (b *Bucket) Charge(cost float64, now time.Time) {
	b.refill(now)
	most := -b.limit.PerSecond*maxDebtTime.Seconds() - b.limit.capacity()
	b.level = max(b.level-cost, min(b.level, most))
}

// Refund gives back what was taken for a request that has not run.
func (b *Bucket) Refund(cost float64, now time.Time) {
	b.refill(now)
	b.level += cost
	b.clamp()
}

// Level is what the bucket holds; negative: a debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

func (b *Bucket) refill(now time.Time) {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.level += b.limit.PerSecond * passed.Seconds()
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
