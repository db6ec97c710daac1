package quota

import "time"

// Verdict is a decision on a request, of a host by its share or of the ledger.
type Verdict uint8

// The verdicts.
const (
	Admit         Verdict = iota // admit the request, and report it to the ledger
	ConsultLedger                // the ledger decides
	Refuse                       // the request exceeds the limit
	Wait                         // the request waits at the ledger, which decides on it later
)

const (
	// localBurstShare is the share of a burst that one host admits on its own between two
	// updates of the account's state. It is contained in the next report to the ledger.
	localBurstShare = 0.25
	// initialShare is the share of a limit that a host admits before it knows the account's
	// state, half a second's worth of it at once. All hosts may have just started; all callers
	// then return at the same moment, to all hosts. Usually another host becomes the acting
	// coordinator within a fraction of a second, and what was admitted is reported to it.
	initialShare = 0.02
	// minInitialRequests is how many of the smallest requests the initial share must cover
	// for some to be admitted at once. With a smaller share each host would admit a whole
	// request.
	minInitialRequests = 10
	// minDemandShare is the share of the limit that a host's own demand is assumed to have
	// been at least, and minGrowth the factor by which it must grow before the host
	// concludes that the whole team requests more: a few more requests are chance.
	minDemandShare = 0.05
	minGrowth      = 2
	// withoutLedgerShare is the share of a limit that hosts without a connection to a ledger
	// admit. Their callers may be more than their share of all callers or may request more
	// meanwhile, and what they admitted before the ledger noticed their absence was not
	// counted anywhere. It is more than most teams request.
	withoutLedgerShare = 0.65
	// usageTTL is how long admitted requests are still reported. A host finds no ledger for
	// longer only if it is disconnected; its share of the limits is then withheld elsewhere.
	usageTTL = 2 * time.Second
	// assumedDemandShare is the share of its limit that a team is assumed to request if the
	// ledger announced that its level is sufficient.
	assumedDemandShare = 0.6
)

// Share is one host's share of one team's account. Its owner must guard it.
type Share struct {
	limit              Limit
	state              AccountState
	constrained        bool // state was announced; otherwise the level is sufficient
	receivedAt         time.Time
	validUntil         time.Time   // until when the state may be used
	ownDemand          decayingSum // requested at this host
	ownDemandAtState   float64     // own demand a second when the state was received
	admittedSinceState float64
	ranks              rankShares
	initialBucket      *Bucket // limits a host that has received no state yet

	unreported   usage              // not reported to any ledger yet, in the current slice of time
	older        [usageSlices]usage // the same of the slices before, the latest first
	sliceStarted time.Time          // start of the current slice
	reporting    usage              // contained in the report in progress
}

// usageSlices is the number of slices of usageTTL: usage is reported for usageTTL at least,
// and for one slice longer at most.
const usageSlices = 8

// usage is what a host admitted, less its refunds, and what it refused.
type usage struct{ admitted, refused float64 }

func (u usage) plus(o usage) usage { return usage{u.admitted + o.admitted, u.refused + o.refused} }

func (u usage) minus(o usage) usage { return usage{u.admitted - o.admitted, u.refused - o.refused} }

// NewShare returns the share of a host that has received no state yet.
func NewShare(l Limit, now time.Time) *Share {
	s := &Share{ownDemand: decayingSum{window: rateWindow}}
	s.SetLimit(l, now)
	return s
}

// SetLimit changes the limit.
func (s *Share) SetLimit(l Limit, now time.Time) {
	if s.limit == l {
		return
	}
	s.limit = l
	initial := l
	initial.PerSecond *= initialShare
	initial.Burst *= initialShare
	s.initialBucket = NewBucket(initial, now)
	s.initialBucket.level = 0
	if burst := s.initialBucket.limit.capacity(); burst >= minInitialRequests*float64(l.Plain) {
		s.initialBucket.level = burst / 2
	}
}

// Limit returns the limit.
func (s *Share) Limit() Limit { return s.limit }

// SetState records the account's state announced by the ledger, or that its level is
// sufficient. The host decides by it without asking the ledger until the given time.
func (s *Share) SetState(state AccountState, constrained bool, now, validUntil time.Time) {
	s.state, s.constrained, s.receivedAt, s.validUntil = state, constrained, now, validUntil
	s.ownDemandAtState, s.admittedSinceState = s.ownDemand.perSecond(now), 0
}

// KnownState returns the account's state as last received, and whether there is one.
func (s *Share) KnownState(now time.Time) (KnownState, bool) {
	return KnownState{s.state, s.constrained, now.Sub(s.receivedAt)}, !s.receivedAt.IsZero()
}

// Decide decides on a request that needs no permit while the ledger can be asked.
func (s *Share) Decide(rank int, cost float64, now time.Time) Verdict {
	s.AddDemand(rank, cost, now)
	fresh := now.Before(s.validUntil)
	if !fresh || s.constrained || s.admittedSinceState+cost > localBurstShare*s.limit.capacity() {
		return ConsultLedger
	}
	s.admit(cost, now)
	return Admit
}

// AddDemand counts a request that the ledger decides on.
func (s *Share) AddDemand(rank int, cost float64, now time.Time) {
	s.ownDemand.add(cost, now)
	s.ranks.add(rank, cost, now)
}

// DecideWithoutLedger decides on a request while there is no ledger; draw is in [0, 1).
// It admits the proportion of the demand that the limit allows, of the more urgent ranks
// first. If hosts used buckets of
// their own instead, each host that a small team's callers reach would admit a request,
// and all of them together many times the limit.
func (s *Share) DecideWithoutLedger(rank int, cost float64, now time.Time, draw float64) Verdict {
	if s.receivedAt.IsZero() {
		if _, ok := s.initialBucket.Take(cost, now); !ok {
			return s.refuse(cost, now)
		}
	} else if admitted := withoutLedgerShare * s.limit.PerSecond / s.estimateDemand(now); draw >= s.ranks.proportion(rank, admitted, now) {
		return s.refuse(cost, now)
	}
	s.admit(cost, now)
	return Admit
}

// estimateDemand estimates the cost a second that the team requests at all hosts, from its
// ratio to this host's demand when the state was received.
func (s *Share) estimateDemand(now time.Time) float64 {
	demand := max(s.state.Demand, assumedDemandShare*s.limit.PerSecond)
	if !s.constrained {
		demand = assumedDemandShare * s.limit.PerSecond
	}
	growth := s.ownDemand.perSecond(now) / max(s.ownDemandAtState, minDemandShare*s.limit.PerSecond)
	if growth < minGrowth {
		return demand
	}
	return demand * growth
}

// expireUsage drops usage that is too old to be reported.
func (s *Share) expireUsage(now time.Time) {
	const slice = usageTTL / usageSlices
	passed := now.Sub(s.sliceStarted) / slice
	if passed > usageSlices {
		s.unreported, s.older, s.sliceStarted = usage{}, [usageSlices]usage{}, now
		return
	}
	for range passed {
		copy(s.older[1:], s.older[:])
		s.older[0], s.unreported = s.unreported, usage{}
	}
	s.sliceStarted = s.sliceStarted.Add(passed * slice)
}

func (s *Share) admit(cost float64, now time.Time) {
	s.expireUsage(now)
	s.unreported.admitted += cost
	s.admittedSinceState += cost
}

func (s *Share) refuse(cost float64, now time.Time) Verdict {
	s.expireUsage(now)
	s.unreported.refused += cost
	return Refuse
}

// Refund returns what was charged for a request that has not run.
func (s *Share) Refund(cost float64, now time.Time) {
	s.expireUsage(now)
	s.unreported.admitted -= cost
}

// UnreportedUsage returns the usage that was not reported to any ledger yet, for a report.
func (s *Share) UnreportedUsage(now time.Time) (admitted, refused float64) {
	s.expireUsage(now)
	s.reporting = s.allUnreported()
	return s.reporting.admitted, s.reporting.refused
}

func (s *Share) allUnreported() usage {
	all := s.unreported
	for _, u := range s.older {
		all = all.plus(u)
	}
	return all
}

// ConfirmReport records that the last report was received. A report whose answer was lost
// is sent once more: the limit is then applied too strictly for a moment, never too loosely.
func (s *Share) ConfirmReport() {
	s.unreported, s.older, s.reporting = s.allUnreported().minus(s.reporting), [usageSlices]usage{}, usage{}
}
