package admit

import (
	"math"
	"time"

	"peridotpier.example/core/class"
)

// Pool decides on the admission of one host's requests to one pool.
type Pool struct {
	policy       Policy
	queues       [class.Count]fairQueue
	used         [class.Count]int
	teams        map[string]*teamUsage
	activeWeight float64   // sum of the active teams' weights
	countedAt    time.Time // when the active teams were last counted
	meanHold     time.Duration
}

type teamUsage struct {
	weight    float64
	used      int
	peak      float64 // maximum number of slots held at once, decaying since
	decayedAt time.Time
	lastSeen  time.Time
}

// NewPool returns a pool in which no slot is held.
func NewPool(p Policy) *Pool {
	pool := &Pool{policy: p, teams: map[string]*teamUsage{}}
	for i := range pool.queues {
		pool.queues[i] = newFairQueue()
	}
	return pool
}

// Arrive decides on a new request. The last result is the refusal of another request that
// the new one displaced, or nil.
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
	// A free slot may go to the new request unless its own team has requests waiting. The
	// requests of other teams that wait now may not take it: the slots left free for
	// newcomers are not available to a team above its fair share.
	if !p.queues[it.Class].hasWaiting(it.Team) && p.canTake(it.Class, it.Team) {
		p.queues[it.Class].recordAdmitted(it)
		p.assign(it)
		return Admitted, Refusal{}, nil
	}
	return p.enqueue(now, it)
}

func (p *Pool) enqueue(now time.Time, it Item) (Verdict, Refusal, *Refusal) {
	q := &p.queues[it.Class]
	wait := p.predictWait(it.Class, q.countAhead(it)+p.waitingAbove(it.Class))
	if missesDeadline(now, it, wait) {
		return Refused, p.refusal(it, CauseDeadlineUnreachable, wait), nil
	}
	if q.size() < p.policy.MaxQueue[it.Class] {
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

// Release returns a slot that was held for a time, and grants slots to waiting requests.
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

// Cancel removes a waiting request. It returns false if the request is no longer waiting.
func (p *Pool) Cancel(c class.Class, id uint64) bool { return p.queues[c].remove(id) }

// SetPolicy changes the policy. Requests that hold a slot under the previous policy keep it.
func (p *Pool) SetPolicy(now time.Time, policy Policy) Result {
	p.policy = policy
	granted := p.grant()
	r := p.ExpireQueued(now)
	r.Granted = append(granted, r.Granted...)
	return r
}

// ExpireQueued refuses the waiting requests that cannot meet their deadlines any more, so
// that their callers are answered now and not at the deadline.
func (p *Pool) ExpireQueued(now time.Time) Result {
	p.countActive(now)
	var r Result
	kept := 0
	for c := class.Urgent; ; c-- {
		q := &p.queues[c]
		for _, it := range q.ordered() {
			wait := p.predictWait(c, kept)
			if missesDeadline(now, it, time.Duration(keepWaitShare*float64(wait))) {
				q.remove(it.ID)
				r.Refused = append(r.Refused, p.refusal(it, CauseDeadlineUnreachable, wait))
				continue
			}
			kept++
		}
		if c == class.Bulk {
			break
		}
	}
	r.Granted = p.grant()
	return r
}

// Used returns how many slots a class holds.
func (p *Pool) Used(c class.Class) int { return p.used[c] }

// Waiting returns how many requests of a class are waiting.
func (p *Pool) Waiting(c class.Class) int { return p.queues[c].size() }

// grant assigns free slots to waiting requests, the most urgent class first.
func (p *Pool) grant() []uint64 {
	var out []uint64
	for c := class.Urgent; ; c-- {
		for p.queues[c].size() > 0 {
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

// canTake reports whether the team may take a slot for a request of the class. A team above
// its fair share leaves free what the teams below theirs have recently needed at once, and
// a few slots for newcomers.
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

// fairShare returns the number of slots that the team is entitled to.
func (p *Pool) fairShare(t *teamUsage) float64 {
	return t.weight / max(p.activeWeight, t.weight) * float64(p.policy.Slots)
}

// reservedFrom returns the number of slots that other teams, within their fair shares, have
// recently held at once and do not hold now. If these were not reserved, a team with few
// requests would wait for a release by a flooding team; with few slots that takes a good
// part of a request's time.
func (p *Pool) reservedFrom(team string) float64 {
	kept := 0.0
	for name, t := range p.teams {
		if name != team {
			kept += max(min(t.peak, p.fairShare(t))-float64(t.used), 0)
		}
	}
	return kept
}

// freeSlots returns the number of free slots that class c may use.
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

// waitingAbove counts the waiting requests of more urgent classes.
func (p *Pool) waitingAbove(c class.Class) int {
	n := 0
	for k := c + 1; k < class.Count; k++ {
		n += p.queues[k].size()
	}
	return n
}

// predictWait predicts the wait of a request with that many requests ahead of it.
func (p *Pool) predictWait(c class.Class, ahead int) time.Duration {
	limit := p.policy.maxSlots(c)
	if limit <= 0 {
		return time.Hour // longer than any deadline: no slot will be granted
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

// decay lowers the peak towards the current usage, so that an old burst reserves nothing.
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

// ReleaseUnused returns a slot that was granted to a request after its caller had left. It
// does not count for the mean time that slots are held.
func (p *Pool) ReleaseUnused(c class.Class, team string) Result {
	return p.Release(c, team, p.meanHold)
}
