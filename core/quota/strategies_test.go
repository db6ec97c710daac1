package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The loads under which limits over many hosts are simulated. The bound that the operator
// sets is stated here: in any span of boundWindow a team may get what its rate and a burst
// allow, a tenth more, and the slack.
const (
	simulatedHosts   = 74
	boundWindow      = 8 * time.Second
	boundExcess      = 0.1
	boundSlack       = 17000.0
	reportInterval   = 200 * time.Millisecond
	simulatedSeconds = 40.0
	simulatedSeeds   = 20
)

// strategy is a strategy for enforcing a team's limit over many hosts.
type strategy interface {
	// request sends a request through a host and returns whether it is admitted.
	request(host int, cost float64, now time.Time) bool
	// report exchanges the state of a host and of the ledger.
	report(host int, now time.Time)
	// setLimit changes the team's limit.
	setLimit(l Limit, now time.Time)
	// setCounting sets whether any host keeps a ledger; a new ledger has no data of the previous one.
	setCounting(on bool, now time.Time)
	// setConnectedShare sets the share of the hosts that report to the ledger.
	setConnectedShare(share float64, now time.Time)
	// killAll terminates all hosts and starts new processes.
	killAll(now time.Time)
}

// load is the traffic of a team and the events that happen to the hosts meanwhile.
type load struct {
	name              string
	perSecond         float64 // the limit's rate
	large             bool    // a team of many requests; otherwise each request costs more than half of a burst
	rateFactor        float64 // factor on the usual rate from risesAt on
	risesAt           float64 // in seconds; 0 for defaultRisesAt
	loweredTo         float64 // share of itself to which the limit is lowered at loweredAt
	ledgerLostFor     float64 // for how many seconds from ledgerLostAt on there is no ledger
	disconnectedShare float64 // share of the hosts that are disconnected for disconnectedFor seconds
	killsAll          bool    // all hosts are killed at killedAt; nobody answers for downFor seconds, and there is no ledger for as long again
}

const (
	usualRateShare  = 1 / 1.8 // share of the limit
	defaultRisesAt  = 10.0    // for loads that set no other time
	loweredAt       = 15.0
	ledgerLostAt    = 20.0
	disconnectedAt  = 20.0
	disconnectedFor = 12.0
	killedAt        = 20.0
	downFor         = 0.7
)

// callers returns over how many connections a team sends; each stays at one host.
func (l load) callers() int {
	if l.large {
		return 200
	}
	return 20
}

// outcome is the result of a simulation.
type outcome struct {
	admissible float64 // cost that an exact count of all requests would admit
	admitted   float64 // cost admitted
	excess     float64 // by how much the fullest window exceeds the allowance; negative if none does
}

// refusedShare returns the share of what an exact count would admit that was refused.
func (v outcome) refusedShare() float64 { return max(v.admissible-v.admitted, 0) / v.admissible }

// simulate simulates a load under a strategy. seed determines all random draws.
func simulate(s strategy, l load, seed uint64) outcome {
	rnd := rand.New(rand.NewPCG(seed, 1))
	limit := Limit{Unit: Tokens, PerSecond: l.perSecond, Burst: l.perSecond, Plain: 200}
	s.setLimit(limit, at(0))
	exact := NewBucket(limit, at(0))
	callers := make([]int, l.callers())
	for i := range callers {
		callers[i] = rnd.IntN(simulatedHosts)
	}
	disconnectedHosts := int(l.disconnectedShare * simulatedHosts)
	disconnected := func(host int, t float64) bool {
		return host < disconnectedHosts && t >= disconnectedAt && t < disconnectedAt+disconnectedFor
	}
	var v outcome
	type sent struct {
		at   float64
		cost float64
	}
	var admitted []sent
	bound := limit
	const tick = 0.005
	for t := 0.0; t < simulatedSeconds; t += tick {
		now := at(t)
		if l.loweredTo > 0 && t >= loweredAt && limit.PerSecond == l.perSecond {
			limit.PerSecond, limit.Burst = limit.PerSecond*l.loweredTo, limit.Burst*l.loweredTo
			s.setLimit(limit, now)
			exact.SetLimit(limit, now)
		}
		if l.ledgerLostFor > 0 {
			s.setCounting(t < ledgerLostAt || t >= ledgerLostAt+l.ledgerLostFor, now)
		}
		if l.killsAll {
			if t >= killedAt && t < killedAt+tick {
				s.killAll(now)
			}
			s.setCounting(t < killedAt || t >= killedAt+2*downFor, now)
		}
		if l.disconnectedShare > 0 && t >= disconnectedAt+1.5 { // when the missing reports are noticed
			share := 1.0
			if t < disconnectedAt+disconnectedFor {
				share = 1 - l.disconnectedShare
			}
			s.setConnectedShare(share, now)
		}
		for h := range simulatedHosts {
			phase := float64(h) / simulatedHosts * reportInterval.Seconds()
			if n := (t - phase) / reportInterval.Seconds(); n >= 0 && n-float64(int(n)) < tick/reportInterval.Seconds() && !disconnected(h, t) {
				s.report(h, now)
			}
		}
		rate := l.perSecond * usualRateShare
		if l.rateFactor > 0 && t >= cmp.Or(l.risesAt, defaultRisesAt) {
			rate *= l.rateFactor
		}
		if l.killsAll && t >= killedAt+downFor && t < killedAt+downFor+0.3 {
			rate *= 4 // callers that got no answer return
		}
		mean := 0.7*2300 + 0.3*200.0 // mean cost of one request
		for range poisson(rnd, rate*tick/mean) {
			cost := 200.0
			if rnd.Float64() < 0.7 {
				cost = 500 + rnd.ExpFloat64()*1800
			}
			_, allowed := exact.Take(cost, now)
			host := callers[rnd.IntN(len(callers))]
			ok := !(l.killsAll && t >= killedAt && t < killedAt+downFor) && s.request(host+1000*btoi(disconnected(host, t)), cost, now)
			if allowed {
				v.admissible += cost
			}
			if ok {
				v.admitted += cost
				admitted = append(admitted, sent{t, cost})
			}
		}
	}
	allowance := func(l Limit) float64 {
		return (l.PerSecond*boundWindow.Seconds()+l.Burst)*(1+boundExcess) + boundSlack
	}
	v.excess = -allowance(bound)
	sum, end := 0.0, 0
	for i := range admitted {
		for ; end < len(admitted) && admitted[end].at < admitted[i].at+boundWindow.Seconds(); end++ {
			sum += admitted[end].cost
		}
		allowed := allowance(bound)
		if l.loweredTo > 0 && admitted[i].at >= loweredAt+boundWindow.Seconds() {
			allowed = allowance(limit)
		}
		v.excess = max(v.excess, sum-allowed)
		sum -= admitted[i].cost
	}
	return v
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for left := mean - rnd.ExpFloat64(); left > 0; left -= rnd.ExpFloat64() {
		n++
	}
	return n
}

// ledgerStrategy is the strategy of the hosts: a ledger decides, and shares where it cannot.
type ledgerStrategy struct {
	limit    Limit
	ledger   *Ledger
	counting bool
	shares   [simulatedHosts]*Share
	rnd      *rand.Rand
}

func newLedgerStrategy(seed uint64) *ledgerStrategy {
	return &ledgerStrategy{ledger: NewLedger(boundSlack), counting: true, rnd: rand.New(rand.NewPCG(seed, 2))}
}

func (c *ledgerStrategy) setLimit(l Limit, now time.Time) {
	c.limit = l
	c.ledger.SetTeams([]Team{{Name: "team", Limit: l}}, nil, now)
	for h := range c.shares {
		if c.shares[h] == nil {
			c.shares[h] = NewShare(l, now)
		}
		c.shares[h].SetLimit(l, now)
	}
}

func (c *ledgerStrategy) request(host int, cost float64, now time.Time) bool {
	disconnected := host >= 1000
	s := c.shares[host%1000]
	verdict := s.Decide(0, cost, now)
	if verdict == ConsultLedger && c.counting && !disconnected {
		return c.ledger.Ask("team", Ask{Cost: cost}, now).Verdict == Admit
	}
	if verdict == ConsultLedger {
		verdict = s.DecideWithoutLedger(0, cost, now, c.rnd.Float64())
	}
	return verdict == Admit
}

func (c *ledgerStrategy) report(host int, now time.Time) {
	if !c.counting {
		return
	}
	s := c.shares[host]
	admitted, refused := s.UnreportedUsage(now)
	c.ledger.AddUsage("team", admitted, refused, now)
	s.ConfirmReport()
	state, constrained := c.ledger.ConstrainedStates(now)["team"]
	s.SetState(state, constrained, now, now.Add(1500*time.Millisecond))
}

func (c *ledgerStrategy) setCounting(on bool, now time.Time) {
	if on && !c.counting { // another host takes over, and starts with the state that it received last
		c.ledger = NewLedger(boundSlack)
		c.ledger.SetTeams([]Team{{Name: "team", Limit: c.limit}}, func(string) (KnownState, bool) { return c.shares[0].KnownState(now) }, now)
	}
	c.counting = on
}

func (c *ledgerStrategy) killAll(now time.Time) {
	c.shares = [simulatedHosts]*Share{}
	c.counting = false
	c.setLimit(c.limit, now)
}

func (c *ledgerStrategy) setConnectedShare(share float64, now time.Time) {
	c.ledger.SetConnectedShare(share, now)
}

// demandStrategy admits requests by the announced demand alone, without asking the ledger.
type demandStrategy struct{ *ledgerStrategy }

func (c demandStrategy) request(host int, cost float64, now time.Time) bool {
	s := c.shares[host%1000]
	s.AddDemand(0, cost, now)
	return s.DecideWithoutLedger(0, cost, now, c.rnd.Float64()) == Admit
}

// leaseStrategy admits what a host has leased: slices of the ledger's account for a second.
type leaseStrategy struct {
	*ledgerStrategy
	leases [simulatedHosts]struct {
		remaining float64
		expiresAt time.Time
	}
}

const (
	leaseTTL   = time.Second
	leaseShare = 0.1 // of a burst
)

func (c *leaseStrategy) killAll(now time.Time) {
	c.ledgerStrategy.killAll(now)
	clear(c.leases[:])
}

func (c *leaseStrategy) request(host int, cost float64, now time.Time) bool {
	disconnected, s := host >= 1000, &c.leases[host%1000]
	if now.After(s.expiresAt) {
		s.remaining = 0
	}
	if s.remaining < cost && c.counting && !disconnected {
		size := max(cost, leaseShare*c.limit.capacity())
		if c.ledger.Ask("team", Ask{Cost: size}, now).Verdict != Admit {
			if c.ledger.Ask("team", Ask{Cost: cost - s.remaining}, now).Verdict != Admit {
				return false
			}
			size = cost - s.remaining
		}
		s.remaining += size
		s.expiresAt = now.Add(leaseTTL)
	}
	if s.remaining < cost {
		return false
	}
	s.remaining -= cost
	return true
}

// report returns unused slices.
func (c *leaseStrategy) report(host int, now time.Time) {
	s := &c.leases[host]
	if c.counting && now.Add(leaseTTL-2*reportInterval).After(s.expiresAt) && s.remaining > 0 {
		if now.Before(s.expiresAt) {
			c.ledger.AddUsage("team", -s.remaining, 0, now)
		}
		s.remaining = 0
	}
}

// simulatedLoads returns the loads under which limits must hold.
func simulatedLoads() []load {
	var out []load
	for _, size := range []struct {
		name      string
		perSecond float64
	}{{"smallest", 4200}, {"largest", 500_000}} {
		for _, l := range []load{{name: "usual"}, {name: "3 times", rateFactor: 3}, {name: "7 times", rateFactor: 7},
			{name: "lowered to a fifth", loweredTo: 0.2}, {name: "ledger lost 2.3 s", ledgerLostFor: 2.3}, {name: "ledger lost 7 s", ledgerLostFor: 7},
			{name: "7 times, ledger lost 2.3 s", rateFactor: 7, ledgerLostFor: 2.3}, {name: "7 times, ledger lost 7 s", rateFactor: 7, ledgerLostFor: 7},
			{name: "3 times, ledger lost 3 s soon after", rateFactor: 3, risesAt: ledgerLostAt - 1.5, ledgerLostFor: 3},
			{name: "7 times, ledger lost 2.3 s soon after", rateFactor: 7, risesAt: ledgerLostAt - 1, ledgerLostFor: 2.3},
			{name: "a third disconnected", disconnectedShare: 1.0 / 3}, {name: "7 times, a third disconnected", rateFactor: 7, disconnectedShare: 1.0 / 3},
			{name: "all killed", killsAll: true}, {name: "7 times, all killed", rateFactor: 7, killsAll: true}} {
			l.name, l.perSecond, l.large = size.name+", "+l.name, size.perSecond, size.perSecond > 100_000
			out = append(out, l)
		}
	}
	return out
}

// Guards against admitting several times a team's limit, or refusing callers within it,
// when there are many hosts.
func TestALimitHoldsOverAllHostsAndRefusesNobodyWithinIt(t *testing.T) {
	for _, l := range simulatedLoads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			var all outcome
			for seed := range uint64(simulatedSeeds) {
				v := simulate(newLedgerStrategy(seed), l, seed)
				assert.Assert(t, v.excess <= 0, "seed %d: %.0f over", seed, v.excess)
				all.admissible, all.admitted = all.admissible+v.admissible, all.admitted+v.admitted
			}
			switch share := all.refusedShare(); {
			case l.rateFactor > 0 || l.loweredTo > 0 || l.disconnectedShare > 0 || l.killsAll:
			case l.ledgerLostFor > 0:
				assert.Assert(t, share < 1.0/200, "%.4f refused", share)
			default:
				assert.Assert(t, share < 1.0/1000, "%.4f refused", share)
			}
		})
	}
}

// BenchmarkLimitStrategies compares the strategies by the share refused of what an exact count would
// admit, and by the excess of the fullest window as a share of the allowance.
func BenchmarkLimitStrategies(b *testing.B) {
	for _, l := range simulatedLoads() {
		for name, make := range map[string]func(uint64) strategy{"counted": func(s uint64) strategy { return newLedgerStrategy(s) },
			"thinned": func(s uint64) strategy { return demandStrategy{newLedgerStrategy(s)} }, "lent": func(s uint64) strategy { return &leaseStrategy{ledgerStrategy: newLedgerStrategy(s)} }} {
			b.Run(fmt.Sprintf("%s/%s", l.name, name), func(b *testing.B) {
				var all outcome
				over := 0.0
				for b.Loop() {
					all, over = outcome{}, -1
					for seed := range uint64(simulatedSeeds) {
						v := simulate(make(seed), l, seed)
						all.admissible, all.admitted = all.admissible+v.admissible, all.admitted+v.admitted
						over = max(over, v.excess/((l.perSecond*9)*(1+boundExcess)+boundSlack))
					}
				}
				b.ReportMetric(all.refusedShare(), "refused")
				b.ReportMetric(over, "over")
			})
		}
	}
}
