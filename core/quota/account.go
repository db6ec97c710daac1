package quota

import (
	"math"
	"slices"
	"time"
)

// Ask is a request for admission to a team's account.
type Ask struct {
	Rank         int // urgency among the requests of the team; 0 is the most urgent
	Cost         float64
	MaxWait      time.Duration // how long it may wait for room; 0: not at all
	InTime       time.Duration // until its objective
	Overdue      bool          // a response can no longer begin by its objective
	ReturnWithin time.Duration // how long after a refusal its caller may come back; 0: not known
}

// Answer is what an account answers to a request.
type Answer struct {
	Verdict    Verdict       // Admit, Wait or Refuse
	Waiter     *Waiter       // with Wait
	RetryAfter time.Duration // with Refuse: the time after which it could be admitted
	Promised   bool          // RetryAfter is a promise: others were told other times
	Level      float64       // what the account holds
}

// account is the account of one team with a limit. While more than one rank asks, requests
// that the bucket lacks the cost of wait for it in the order of their ranks, if they can be
// admitted in time, and those that cannot are told to return one after the other.
type account struct {
	limit        Limit
	bucket       *Bucket
	demand       demand
	stateAt      time.Time // of the state with which the account started; zero: it was unknown
	correctUntil time.Time // until when the level may be too high, since hosts know newer states
	admitted     float64   // cost admitted until correctUntil
	ranks        []*rankState
	waiting      int
	kept, given  int       // promises that were redeemed, and made
	cheapReserve float64   // cost that small requests may take before all others
	shedAt       time.Time // when shed was last called
}

// ask decides on a request.
func (a *account) ask(q Ask, now time.Time) Answer {
	a.demand.add(q.Cost, now)
	stated := q.Rank
	if q.Overdue {
		q.Rank = overdueRank
	}
	r := a.rankOf(q.Rank, now)
	r.demand.add(q.Cost, now)
	shaped := a.shaped() || a.waiting > 0
	if shaped {
		r = a.promoteCheap(r, q.Cost)
	}
	class := patienceClass(q.MaxWait)
	if promised := a.redeem(stated, r, q.Cost, now); promised != nil {
		r, class = promised, returningClass
	}
	if a.waiting == 0 {
		wait, ok := a.take(r, q.Cost, now)
		if ok || !shaped {
			return Answer{Verdict: verdictOf(ok), RetryAfter: wait, Level: a.bucket.level}
		}
	}
	return a.askShaped(r, class, q, now)
}

// missing returns what the bucket lacks for a request.
func (a *account) missing(cost float64, now time.Time) float64 {
	return min(cost, a.bucket.limit.capacity()) - a.bucket.Level(now)
}

// overdueRank is the rank of the requests that can no longer be answered in time. While
// several other ranks ask, they go after all of these: each would make others as late.
const overdueRank = math.MaxInt32

// shaped reports whether requests of several ranks ask. Otherwise each is decided on when
// it comes.
func (a *account) shaped() bool { return len(a.ranks) > 1 && a.ranks[1].rank != overdueRank }

// redeem redeems a promise for this cost that was made to the stated rank, or to the one
// that the request counts as, and returns that rank; nil: there is none.
func (a *account) redeem(stated int, counted *rankState, cost float64, now time.Time) *rankState {
	for _, r := range a.ranks {
		if (r.rank == stated || r == counted) && r.promises.redeem(cost, now) {
			a.kept++
			return r
		}
	}
	return nil
}

// promoteCheap returns the rank that a request counts as: the most urgent one if it costs
// little and the share of such requests is not used up.
func (a *account) promoteCheap(r *rankState, cost float64) *rankState {
	if r == a.ranks[0] || cost > a.demand.longTerm.meanCost()*cheapPart || cost > a.cheapReserve {
		return r
	}
	a.cheapReserve -= cost
	return a.ranks[0]
}

func verdictOf(ok bool) Verdict {
	if ok {
		return Admit
	}
	return Refuse
}

// equalsWaitPart is the part of its longest wait for which a request of the most urgent rank
// waits for others of its rank. While more of the rank is asked for than the limit allows, a
// longer queue would admit as many, and each of them later.
const equalsWaitPart = 0.25

// equalsWait returns the part of a wait that is not for the request's own cost to come in.
func (a *account) equalsWait(cost float64, wait time.Duration) time.Duration {
	return wait - time.Duration(cost/a.bucket.limit.PerSecond*float64(time.Second))
}

// askShaped decides on a request while the account lacks the cost of some.
func (a *account) askShaped(r *rankState, class int, q Ask, now time.Time) Answer {
	wait := a.predict(r, class, q.Cost, now)
	if wait > q.MaxWait || a.waiting >= maxWaiting || r == a.ranks[0] && a.equalsWait(q.Cost, wait) > time.Duration(float64(q.MaxWait)*equalsWaitPart) {
		return a.refuse(r, q, wait, now)
	}
	w := &Waiter{account: a, rank: r, class: class, cost: q.Cost, askedAt: now, latest: now.Add(q.MaxWait), caller: q}
	r.push(w)
	a.waiting++
	return Answer{Verdict: Wait, Waiter: w, Level: a.bucket.Level(now)}
}

// predict returns after how long a request would be admitted: when what waits before it,
// what more urgent ranks ask for meanwhile and its own cost have come in, or when its rank's
// floor pays for it.
func (a *account) predict(r *rankState, class int, cost float64, now time.Time) time.Duration {
	rate := a.bucket.limit.PerSecond
	own := r.ahead(class) + a.missing(cost, now)
	urgent := 0.0
	for _, o := range a.ranks {
		if o == r {
			break
		}
		urgent += o.queued
	}
	missing := max(own+urgent, 0)
	if missing == 0 || rate <= 0 {
		return 0
	}
	seconds := missing / max(rate-a.urgentDemand(r, now), 0)
	if len(r.promises.all) > 0 && class != returningClass {
		seconds /= 1 - returnShare
	}
	if floor := a.floorRate(r); floor > 0 {
		seconds = min(seconds, max(r.ahead(class)+cost-max(r.reserve, 0), 0)/floor+max(own, 0)/rate)
	}
	return time.Duration(min(seconds, maxPrediction.Seconds()) * float64(time.Second))
}

// maxPrediction is the longest wait that is predicted.
const maxPrediction = 30 * time.Second

// urgentDemand returns what ranks more urgent than r ask for in a second.
func (a *account) urgentDemand(r *rankState, now time.Time) float64 {
	sum := 0.0
	for _, o := range a.ranks {
		if o == r {
			return sum
		}
		sum += o.demand.perSecond(now)
	}
	return sum
}

// floorRate returns the rate that a rank gets at least; 0 for the most urgent one and for
// those that are overdue.
func (a *account) floorRate(r *rankState) float64 {
	if a.ranks[0] == r || r.rank == overdueRank {
		return 0
	}
	return a.floorPart() * a.bucket.limit.PerSecond
}

// floorPart returns the part of the limit that each rank below the most urgent one gets at
// least.
func (a *account) floorPart() float64 {
	n := len(a.ranks) - 1
	if a.ranks[n].rank == overdueRank {
		n--
	}
	return floorShare / float64(max(n, 1))
}

// refuse refuses a request that would wait too long, and says when it may return.
func (a *account) refuse(r *rankState, q Ask, wait time.Duration, now time.Time) Answer {
	spare := a.bucket.limit.PerSecond - a.urgentDemand(r, now)
	perSecond := spare - r.demand.perSecond(now)
	if max(r.promises.nextAt.Sub(now), wait) < q.InTime {
		perSecond = max(perSecond, returnShare*max(spare, a.floorRate(r)))
	}
	at, promised := r.promises.add(q.Cost, perSecond, now.Add(wait), now.Add(q.ReturnWithin))
	out := Answer{Verdict: Refuse, RetryAfter: at.Sub(now), Promised: promised, Level: a.bucket.Level(now)}
	if promised {
		a.given++
	} else {
		out.RetryAfter = max(min(out.RetryAfter, rankMemory), q.ReturnWithin) // by then the demand is another one
	}
	return out
}

// take takes a cost from the bucket for a request of a rank.
func (a *account) take(r *rankState, cost float64, now time.Time) (wait time.Duration, ok bool) {
	if wait, ok = a.bucket.Take(cost, now); !ok {
		return wait, false
	}
	if now.Before(a.correctUntil) {
		a.admitted += cost
	}
	if a.shaped() {
		a.settleFloors(r, cost)
	}
	return 0, true
}

// settleFloors adds to the reserves of all ranks but the most urgent one their parts of what
// was admitted, and subtracts it from that of its own rank.
func (a *account) settleFloors(r *rankState, cost float64) {
	a.cheapReserve = min(a.cheapReserve+cheapShare*cost, cheapShare*a.bucket.limit.PerSecond*floorSpan.Seconds())
	part := a.floorPart() * cost
	for i, o := range a.ranks {
		if i == 0 || o.rank == overdueRank {
			continue
		}
		change := part
		if o == r {
			change -= cost
		}
		o.addReserve(change, max(a.floorRate(o)*floorSpan.Seconds(), cost, o.nextCost()))
	}
}

// nextCost returns the cost of the request of the rank that is first; 0: none waits.
func (r *rankState) nextCost() float64 {
	if w := r.first(); w != nil {
		return w.cost
	}
	return 0
}

// rankOf returns the state of a rank, and forgets those that no longer ask.
func (a *account) rankOf(rank int, now time.Time) *rankState {
	a.ranks = slices.DeleteFunc(a.ranks, func(r *rankState) bool {
		return r.rank != rank && r.waiting == 0 && now.Sub(r.askedAt) > rankMemory
	})
	at, ok := slices.BinarySearchFunc(a.ranks, rank, func(r *rankState, rank int) int { return r.rank - rank })
	if !ok && len(a.ranks) == maxRanks {
		at, ok = min(at, maxRanks-1), true
	}
	if !ok {
		a.ranks = slices.Insert(a.ranks, at, &rankState{rank: rank, demand: newDemand()})
	}
	a.ranks[at].askedAt = now
	return a.ranks[at]
}
