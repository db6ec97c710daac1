package admit

import (
	"math"
	"time"

	"peridotpier.example/core/class"
)

// Pool is the admission of one host to one pool.
type Pool struct {
	policy       Policy
	queues       [class.Count]fairQueue
	used         [class.Count]int
	teams        map[string]*teamUsage
	activeWeight float64   // of the active teams together
	countedAt    time.Time // when the active teams were last counted
	meanHold     time.Duration
}

type teamUsage struct {
	weight    float64
	used      int
	peak      float64 // most slots held at once, decayed since
	decayedAt time.Time
	lastSeen  time.Time
}

// NewPool makes the admission of a pool.
func NewPool(p Policy) *Pool {
	pool := &Pool{policy: p, teams: map[string]*teamUsage{}}
	for i := range pool.queues {
		pool.queues[i] = newFairQueue()
	}
	return pool
}

// Arrive judges a new request. A refusal of another one that it displaced
// may come with it.
func (p *Pool) Arrive(now time.Time, it Item) (Verdict, Refusal, *Refusal) {
	p.recordArrival(now, it)
	limit := p.policy.maxSlots(it.Class)
	switch {
	case p.policy.Slots <= 0 || (limit <= 0 && it.Class != class.Bulk):
		return Refused, p.refusal(it, CauseNoCapacity, time.Second), nil
	case it.Class == class.Bulk && (!p.policy.AcceptBulk || limit <= 0):
		return Refused, p.refusal(it, CauseBulkDisabled, time.Minute), nil
	case missesDeadline(now, it, 0):
		return Refused, p.refusal(it, CauseDeadlineUnreachable, 0), nil
	}
	// Whoever waits now may not take what is free: the slots left to newcomers
	// are not for a team over its share. So a free slot is this request's,
	// unless its own team waits already.
	if !p.queues[it.Class].hasWaiting(it.Team) && p.canTake(it.Class, it.Team) {
		p.queues[it.Class].recordAdmitted(it)
		p.assign(it)
		return Admitted, Refusal{}, nil
	}
	return p.enqueue(now, it)
}

func (p *Pool) enqueue(now time.Time, it Item) (Verdict, Refusal, *Refusal) {
	q := &p.queues[it.Class]
	wait := p.predictWait(it.Class, q.countAhead(q.startTag(it.Team))+p.waitingAbove(it.Class))
	if missesDeadline(now, it, wait) {
		return Refused, p.refusal(it, CauseDeadlineUnreachable, wait), nil
	}
	if q.n < p.policy.QueueMax[it.Class] {
		q.push(it)
		return Queued, Refusal{}, nil
	}
	dropped, ok := q.dropLongest(it)
	if !ok {
		return Refused, p.refusal(it, CauseQueueFull, wait), nil
	}
	q.push(it)
	displaced := p.refusal(dropped, CauseDisplaced, wait)
	return Queued, Refusal{}, &displaced
}

// Release gives back a slot that was held for a time, and grants what waits.
func (p *Pool) Release(c class.Class, team string, held time.Duration) Result {
	p.used[c]--
	if t := p.teams[team]; t != nil {
		t.used--
	}
	if p.meanHold == 0 {
		p.meanHold = held
	}
	p.meanHold += time.Duration(holdSampleWeight * float64(held-p.meanHold))
	return Result{Granted: p.grant()}
}

// Cancel takes a waiting request out; false when it does not wait any more.
func (p *Pool) Cancel(c class.Class, id uint64) bool { return p.queues[c].remove(id) }

// SetPolicy puts a new policy in force. Requests that hold a slot keep it, as
// they were admitted under the policy before.
func (p *Pool) SetPolicy(now time.Time, policy Policy) Result {
	p.policy = policy
	granted := p.grant()
	r := p.ExpireQueued(now)
	r.Granted = append(granted, r.Granted...)
	return r
}

// ExpireQueued gives up the waiting requests that cannot make their deadline any
// more, so that their callers hear it now and not when the deadline has come.
func (p *Pool) ExpireQueued(now time.Time) Result {
	p.countActive(now)
	var r Result
	kept := 0
	for c := class.Urgent; ; c-- {
		q := &p.queues[c]
		for _, it := range q.ordered() {
			wait := p.predictWait(c, kept)
			if missesDeadline(now, it.Item, time.Duration(keepWaitShare*float64(wait))) {
				q.remove(it.ID)
				r.Refused = append(r.Refused, p.refusal(it.Item, CauseDeadlineUnreachable, wait))
				continue
			}
			kept++
		}
		q.dropIdle()
		if c == class.Bulk {
			break
		}
	}
	r.Granted = p.grant()
	return r
}

// Used tells the slots held by a class.
func (p *Pool) Used(c class.Class) int { return p.used[c] }

// Waiting tells the requests of a class that wait.
func (p *Pool) Waiting(c class.Class) int { return p.queues[c].n }

// grant hands free slots to those that wait, most urgent class first.
func (p *Pool) grant() []uint64 {
	var out []uint64
	for c := class.Urgent; ; c-- {
		for p.queues[c].n > 0 {
			it, ok := p.queues[c].pop(func(team string) bool { return p.canTake(c, team) })
			if !ok {
				break
			}
			p.assign(it)
			out = append(out, it.ID)
		}
		if c == class.Bulk {
			return out
		}
	}
}

func (p *Pool) assign(it Item) {
	p.used[it.Class]++
	t := p.teams[it.Team]
	t.used++
	t.peak = max(t.peak, float64(t.used))
}

// canTake says whether there is a slot for the team in the class: a team over
// its fair share leaves free what those under theirs have lately needed at
// once, and a few slots for newcomers.
func (p *Pool) canTake(c class.Class, team string) bool {
	free := p.freeSlots(c)
	if free <= 0 {
		return false
	}
	t := p.teams[team]
	if float64(t.used) < p.fairShare(t) {
		return true
	}
	return float64(free) > max(p.reservedFrom(team), newcomerShare*float64(p.policy.maxSlots(c)))
}

// fairShare is the slots that the team may count on.
func (p *Pool) fairShare(t *teamUsage) float64 {
	return t.weight / max(p.activeWeight, t.weight) * float64(p.policy.Slots)
}

// reservedFrom is the slots that other teams, under their shares, have lately held
// at once and do not hold now. Without them a quiet team waits for a release
// of the flood: with few slots that is a good part of a request's time.
func (p *Pool) reservedFrom(team string) float64 {
	kept := 0.0
	for name, t := range p.teams {
		if name != team {
			kept += max(min(t.peak, p.fairShare(t))-float64(t.used), 0)
		}
	}
	return kept
}

// freeSlots is the free slots that class c may use.
func (p *Pool) freeSlots(c class.Class) int {
	free, held := p.policy.Slots, 0
	for k := class.Bulk; k < class.Count; k++ {
		free -= p.used[k]
	}
	for k := class.Bulk; k < class.Urgent && c != class.Urgent; k++ {
		held += p.used[k]
		if k >= c {
			free = min(free, p.policy.maxSlots(k)-held)
		}
	}
	return free
}

// waitingAbove counts those of more urgent classes.
func (p *Pool) waitingAbove(c class.Class) int {
	n := 0
	for k := c + 1; k < class.Count; k++ {
		n += p.queues[k].n
	}
	return n
}

// predictWait predicts the wait with so many ahead.
func (p *Pool) predictWait(c class.Class, ahead int) time.Duration {
	limit := p.policy.maxSlots(c)
	if limit <= 0 {
		return time.Hour // longer than any deadline: nothing will be granted
	}
	return p.meanHold * time.Duration(ahead+1) / time.Duration(limit)
}

func (p *Pool) refusal(it Item, cause Cause, wait time.Duration) Refusal {
	return Refusal{ID: it.ID, Cause: cause, RetryAfter: max(wait, minRetryAfter)}
}

func (p *Pool) recordArrival(now time.Time, it Item) {
	t := p.teams[it.Team]
	if t == nil {
		t = &teamUsage{}
		p.teams[it.Team] = t
		p.countedAt = time.Time{}
	}
	t.weight, t.lastSeen = float64(max(it.Weight, 1)), now
	if now.Sub(p.countedAt) >= time.Second {
		p.countActive(now)
	}
}

func (p *Pool) countActive(now time.Time) {
	p.activeWeight, p.countedAt = 0, now
	for name, t := range p.teams {
		if t.used == 0 && now.Sub(t.lastSeen) > activeWindow && !p.hasWaiting(name) {
			delete(p.teams, name)
			continue
		}
		p.activeWeight += t.weight
		t.decay(now)
	}
}

// decay lets the peak sink towards what is held, so that a burst of long ago
// keeps nothing from others.
func (t *teamUsage) decay(now time.Time) {
	if !t.decayedAt.IsZero() {
		keep := math.Exp(-now.Sub(t.decayedAt).Seconds() / activeWindow.Seconds())
		t.peak = max(t.peak*keep, float64(t.used))
	}
	t.decayedAt = now
}

func (p *Pool) hasWaiting(team string) bool {
	for c := range p.queues {
		if p.queues[c].hasWaiting(team) {
			return true
		}
	}
	return false
}

// ReleaseUnused gives back a slot that was granted to a request which had left by
// then. It tells nothing of how long slots are held.
func (p *Pool) ReleaseUnused(c class.Class, team string) Result {
	return p.Release(c, team, p.meanHold)
}
