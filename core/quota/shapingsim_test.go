package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is one kind of requests of a simulated team.
type kind struct {
	name      string
	rank      int
	share     float64 // of the cost that the team asks for
	cost      func(*rand.Rand) float64
	objective time.Duration
	timeout   time.Duration
}

// tokens returns costs of prompts around a mean, some several times as large.
func tokens(mean float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return float64(int(mean * (0.3 + 0.7*r.ExpFloat64()))) }
}

func fixed(cost float64) func(*rand.Rand) float64 {
	return func(*rand.Rand) float64 { return cost }
}

// mixedKinds are an urgent route with a tight objective, one with a wide one and two less
// urgent ones: calls of a plain service and work that may wait for seconds.
func mixedKinds() []kind {
	return []kind{
		{"urgent", 0, 0.55, tokens(2400), 800 * time.Millisecond, 5 * time.Second},
		{"long", 1, 0.2, tokens(2300), 2 * time.Second, 15 * time.Second},
		{"patient", 2, 0.15, tokens(2400), 15 * time.Second, 20 * time.Second},
		{"calls", 2, 0.1, fixed(200), 300 * time.Millisecond, 3 * time.Second},
	}
}

const (
	spellFrom, spellTo   = 4.0, 14.0 // when the team asks for several times its limit
	settled              = 1.0       // s of the spell in which the burst is used
	shapingSeconds       = 24.0
	callerReturnShare    = 1.0 / 3 // of the time left, after which a caller returns at the latest
	simulatedMaxWait     = 0.4     // of the objective
	simulatedConnectTime = 4 * time.Millisecond
)

// shapingLoad is the load of one team.
type shapingLoad struct {
	perSecond float64 // the limit
	factor    float64 // what is asked for during the spell, in limits
	kinds     []kind
	way       shapingWay
}

// shapingWay is a way to divide a limit among ranks.
type shapingWay int

const (
	asTheyCome shapingWay = iota // the bucket decides on each request when it comes
	byReserve                    // as they come, but the less urgent leave a part of the burst to the more urgent
	byWaiting                    // requests state their ranks and may wait: what an account does
)

// kindResult is what became of the requests of one kind during the spell.
type kindResult struct {
	asked, served, inTime float64 // cost
	duringSpell           float64 // cost that was admitted in the spell, its first second left out
	waited                float64 // s x cost, until it was admitted at the attempt that was
	refused               int
	late                  int           // refused after they had waited
	held                  time.Duration // for which these waited
}

// shapingResult is the result of a simulation.
type shapingResult struct {
	kinds           []kindResult
	used            float64 // share of what the limit allowed during the spell
	excess          float64 // by how much the fullest window exceeds the rate, a burst and the slack
	returned, again int     // requests that came back when told, and that were refused again
	promised, kept  int
	late            int // refused after they had waited
}

// arrival is a request that reaches the account.
type arrival struct {
	at       time.Time
	kind     int
	cost     float64
	first    time.Time // when its caller asked first
	returned bool
}

// shapingRun is one simulation.
type shapingRun struct {
	load     shapingLoad
	ledger   *Ledger
	now      time.Time
	pending  []arrival // in order of time
	waiting  map[*Waiter]arrival
	again    time.Time
	admitted []arrival
	demand   []demand // by rank, for byReserve
	out      shapingResult
}

func newShapingRun(l shapingLoad, seed uint64) *shapingRun {
	r := &shapingRun{load: l, ledger: NewLedger(0), waiting: map[*Waiter]arrival{}}
	r.ledger.SetTeams([]Team{{Name: "team", Limit: Limit{Unit: Tokens, PerSecond: l.perSecond, Burst: l.perSecond}}}, nil, at(0))
	r.out.kinds = make([]kindResult, len(l.kinds))
	rnd := rand.New(rand.NewPCG(seed, 3))
	for i, k := range l.kinds {
		for t := 0.0; t < shapingSeconds; {
			factor := usualRateShare
			if t >= spellFrom && t < spellTo {
				factor = l.factor
			}
			cost := k.cost(rnd)
			t += rnd.ExpFloat64() * cost / (l.perSecond * factor * k.share)
			r.pending = append(r.pending, arrival{at: at(t), kind: i, cost: cost, first: at(t)})
		}
	}
	slices.SortStableFunc(r.pending, func(a, b arrival) int { return a.at.Compare(b.at) })
	return r
}

// run plays all requests.
func (r *shapingRun) run() shapingResult {
	for len(r.pending) > 0 || len(r.waiting) > 0 {
		if len(r.waiting) > 0 && (len(r.pending) == 0 || r.again.Before(r.pending[0].at)) {
			r.now = r.again
			r.serve()
			continue
		}
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.now = next.at
		r.ask(next)
	}
	r.out.promised, r.out.kept = r.ledger.Promises()
	r.measure()
	return r.out
}

func (r *shapingRun) ask(a arrival) {
	k := r.load.kinds[a.kind]
	if !a.returned && r.inSpell(a) {
		r.out.kinds[a.kind].asked += a.cost
	}
	q := Ask{Cost: a.cost, ReturnWithin: r.returnWithin(a)}
	switch r.load.way {
	case byWaiting:
		q.Rank, q.InTime, q.MaxWait = k.rank, k.objective-r.now.Sub(a.first), time.Duration(float64(k.objective)*simulatedMaxWait)
		q.Overdue = q.InTime <= 0
	case byReserve:
		if wait := r.missingReserve(k.rank, a.cost); wait > 0 {
			r.decide(a, Answer{Verdict: Refuse, RetryAfter: wait}, false)
			return
		}
	}
	answer := r.ledger.Ask("team", q, r.now)
	if answer.Verdict != Wait {
		r.decide(a, answer, false)
		return
	}
	r.waiting[answer.Waiter] = a
	r.serve()
}

// missingReserve returns after how long the bucket holds a cost beyond what is left to more
// urgent ranks: what they asked for in reservedSpan, half of a burst at most.
func (r *shapingRun) missingReserve(rank int, cost float64) time.Duration {
	const reservedSpan, mostReserved = 0.25, 0.5
	for len(r.demand) <= rank {
		r.demand = append(r.demand, newDemand())
	}
	r.demand[rank].add(cost, r.now)
	reserve := 0.0
	for i := range rank {
		reserve += r.demand[i].perSecond(r.now) * reservedSpan
	}
	bucket := r.ledger.accounts["team"].bucket
	missing := min(reserve, mostReserved*r.load.perSecond) + min(cost, r.load.perSecond/2) - bucket.Level(r.now)
	if reserve == 0 || missing <= 0 {
		return 0
	}
	return time.Duration(missing / r.load.perSecond * float64(time.Second))
}

func (r *shapingRun) serve() {
	again := r.ledger.Serve(r.now, func(w *Waiter, answer Answer) {
		a := r.waiting[w]
		delete(r.waiting, w)
		r.decide(a, answer, true)
	})
	r.again = r.now.Add(again)
}

func (r *shapingRun) returnWithin(a arrival) time.Duration {
	left := r.load.kinds[a.kind].timeout - r.now.Sub(a.first)
	return time.Duration(float64(left) * callerReturnShare)
}

func (r *shapingRun) inSpell(a arrival) bool {
	return !a.first.Before(at(spellFrom)) && a.first.Before(at(spellTo))
}

func (r *shapingRun) decide(a arrival, answer Answer, waited bool) {
	k, out := r.load.kinds[a.kind], &r.out.kinds[a.kind]
	if answer.Verdict == Admit {
		r.admitted = append(r.admitted, arrival{at: r.now, cost: a.cost})
		if !r.now.Before(at(spellFrom+settled)) && r.now.Before(at(spellTo)) {
			out.duringSpell += a.cost
		}
		if r.inSpell(a) {
			out.served += a.cost
			out.waited += a.cost * r.now.Sub(a.at).Seconds()
			if r.now.Sub(a.first) < k.objective*3/4 {
				out.inTime += a.cost
			}
		}
		return
	}
	if waited {
		r.out.late++
		out.late++
		out.held += r.now.Sub(a.at)
	}
	if a.returned {
		r.out.again++
		return
	}
	out.refused++
	r.out.returned++
	a.returned, a.at = true, r.now.Add(min(answer.RetryAfter, r.returnWithin(a))+simulatedConnectTime)
	i, _ := slices.BinarySearchFunc(r.pending, a, func(x, y arrival) int { return x.at.Compare(y.at) })
	r.pending = slices.Insert(r.pending, i, a)
}

// measure compares what was admitted with what the limit allows.
func (r *shapingRun) measure() {
	sum, end, largest := 0.0, 0, 0.0
	r.out.excess = -r.load.perSecond * (boundWindow.Seconds() + 1)
	for i := range r.admitted {
		for ; end < len(r.admitted) && r.admitted[end].at.Before(r.admitted[i].at.Add(boundWindow)); end++ {
			sum += r.admitted[end].cost
			largest = max(largest, r.admitted[end].cost)
		}
		allowed := r.load.perSecond*(boundWindow.Seconds()+1) + max(largest-r.load.perSecond, 0)
		r.out.excess = max(r.out.excess, sum-allowed)
		sum -= r.admitted[i].cost
	}
	used := 0.0
	for _, a := range r.admitted {
		if !a.at.Before(at(spellFrom+settled)) && a.at.Before(at(spellTo)) {
			used += a.cost
		}
	}
	r.out.used = used / (r.load.perSecond * (spellTo - spellFrom - settled))
}

// played returns the sum of the results of some seeds.
func played(l shapingLoad, seeds int) shapingResult {
	out := shapingResult{kinds: make([]kindResult, len(l.kinds)), excess: -1e18}
	for seed := range uint64(seeds) {
		v := newShapingRun(l, seed).run()
		for i, k := range v.kinds {
			out.kinds[i].asked += k.asked
			out.kinds[i].served += k.served
			out.kinds[i].inTime += k.inTime
			out.kinds[i].refused += k.refused
			out.kinds[i].waited += k.waited
			out.kinds[i].duringSpell += k.duringSpell
			out.kinds[i].late += k.late
			out.kinds[i].held += k.held
		}
		out.used += v.used / float64(seeds)
		out.excess = max(out.excess, v.excess)
		out.returned, out.again = out.returned+v.returned, out.again+v.again
		out.promised, out.kept, out.late = out.promised+v.promised, out.kept+v.kept, out.late+v.late
	}
	return out
}

func (v shapingResult) String() string {
	out := fmt.Sprintf("used %.3f", v.used)
	for _, k := range v.kinds {
		out += fmt.Sprintf("  %.2f/%.2f/%.0fms late %d %dms", k.served/k.asked, k.inTime/k.asked, k.waited/k.served*1000, k.late, k.held.Milliseconds()/int64(max(k.late, 1)))
	}
	return out + fmt.Sprintf("  returned %d again %.2f promised %d kept %.2f late %d", v.returned, float64(v.again)/float64(max(v.returned, 1)), v.promised, float64(v.kept)/float64(max(v.promised, 1)), v.late)
}
