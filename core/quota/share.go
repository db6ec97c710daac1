package quota

import "time"

// Verdict is what a host decides by its share.
type Verdict uint8

// The verdicts.
const (
	Admit         Verdict = iota // let it through, and tell the ledger
	ConsultLedger                // the ledger decides
	Refuse                       // it is over the limit
)

const (
	// localBurstShare is the part of a burst that one host passes by itself until it is
	// told anew. The ledger hears of it with the next report.
	localBurstShare = 0.25
	// initialShare is the part of a limit that a host without any word passes, half a
	// second's of it at once: a process that has just started, as all may have. All
	// callers then come back at the same moment, to all hosts. Mostly another host
	// counts within a fraction of a second, and is told what was passed.
	initialShare = 0.02
	// minInitialRequests is how many of the least requests that share must hold for some
	// to be passed at once: of a smaller one each host would pass a whole request.
	minInitialRequests = 10
	// minDemandShare is what part of the limit a host takes itself to have been asked
	// for at least, and growthSure by how much that must grow, before it concludes
	// that the whole team asks for more: a few requests more are chance.
	minDemandShare = 0.05
	minGrowth      = 2
	// withoutLedgerShare is the part of a limit that hosts pass which hear nobody. Their
	// callers may be more than their part of all or ask for more meanwhile, and what
	// they passed before they were missed was counted nowhere. It is more than most
	// teams ask for.
	withoutLedgerShare = 0.65
	// usageTTL is how long what a host passed is told at most. Nobody counts for
	// longer only when a host is cut off: its part is then withheld elsewhere.
	usageTTL = 2 * time.Second
	// assumedDemandShare is what part of its limit a team is assumed to ask for of which
	// the ledger said that it has enough.
	assumedDemandShare = 0.6
)

// Share is one host's part in one team's account. Its owner guards it.
type Share struct {
	limit              Limit
	state              AccountState
	constrained        bool // word says how the account stands; else it has enough
	receivedAt         time.Time
	validUntil         time.Time   // that the word counts
	ownDemand          decayingSum // asked for at this host
	ownDemandAtState   float64     // when the word came, a second
	admittedSinceState float64     // passed since then
	initialBucket      *Bucket     // bounds a host without any word

	unreported, unreportedOlder usage     // that no ledger has heard of, of this half of reportFor and the former
	halfStarted                 time.Time // when this half began
	reporting                   usage     // in the report under way
}

// usage is what a host passed, less what it gave back, and what it refused.
type usage struct{ admitted, refused float64 }

func (u usage) plus(o usage) usage { return usage{u.admitted + o.admitted, u.refused + o.refused} }

func (u usage) minus(o usage) usage { return usage{u.admitted - o.admitted, u.refused - o.refused} }

// NewShare makes one of a host that has no word yet.
func NewShare(l Limit, now time.Time) *Share {
	s := &Share{ownDemand: decayingSum{window: rateWindow}}
	s.SetLimit(l, now)
	return s
}

// SetLimit puts another limit in force.
func (s *Share) SetLimit(l Limit, now time.Time) {
	if s.limit == l {
		return
	}
	s.limit = l
	part := l
	part.PerSecond *= initialShare
	part.Burst *= initialShare
	s.initialBucket = NewBucket(part, now)
	s.initialBucket.level = 0
	if whole := s.initialBucket.limit.capacity(); whole >= minInitialRequests*float64(l.Plain) {
		s.initialBucket.level = whole / 2
	}
}

// SetState enters the ledger's word: how the account stands, or that it has enough. A
// host goes by it until then without a question.
func (s *Share) SetState(word AccountState, scarce bool, now, until time.Time) {
	s.state, s.constrained, s.receivedAt, s.validUntil = word, scarce, now, until
	s.ownDemandAtState, s.admittedSinceState = s.ownDemand.perSecond(now), 0
}

// KnownState is how the account stood when last told; false: nothing is known.
func (s *Share) KnownState(now time.Time) (KnownState, bool) {
	return KnownState{s.state, s.constrained, now.Sub(s.receivedAt)}, !s.receivedAt.IsZero()
}

// Decide says what becomes of a request that needs no turn while the ledger can be asked.
func (s *Share) Decide(cost float64, now time.Time) Verdict {
	s.ownDemand.add(cost, now)
	fresh := now.Before(s.validUntil)
	if !fresh || s.constrained || s.admittedSinceState+cost > localBurstShare*s.limit.capacity() {
		return ConsultLedger
	}
	s.admit(cost, now)
	return Admit
}

// AddDemand counts a request that the ledger decides.
func (s *Share) AddDemand(cost float64, now time.Time) { s.ownDemand.add(cost, now) }

// DecideWithoutLedger says what becomes of a request while nobody counts for all; draw is in
// [0, 1). It passes the part of what is asked for that the limit allows: with a
// bucket of its own, each of the hosts that a small team's callers come to would
// pass a request, and all together many times the limit.
func (s *Share) DecideWithoutLedger(cost float64, now time.Time, draw float64) Verdict {
	if s.receivedAt.IsZero() {
		if _, ok := s.initialBucket.Take(cost, now); !ok {
			return s.refuse(cost, now)
		}
	} else if asked := s.estimateDemand(now); draw*asked >= withoutLedgerShare*s.limit.PerSecond {
		return s.refuse(cost, now)
	}
	s.admit(cost, now)
	return Admit
}

// estimateDemand is what the team asks for a second at all hosts, in the proportion
// that it had to this host's part when the word came.
func (s *Share) estimateDemand(now time.Time) float64 {
	asked := max(s.state.Demand, assumedDemandShare*s.limit.PerSecond)
	if !s.constrained {
		asked = assumedDemandShare * s.limit.PerSecond
	}
	growth := s.ownDemand.perSecond(now) / max(s.ownDemandAtState, minDemandShare*s.limit.PerSecond)
	if growth < minGrowth {
		return asked
	}
	return asked * growth
}

// expireUsage drops what was passed too long ago to be told.
func (s *Share) expireUsage(now time.Time) {
	if now.Sub(s.halfStarted) > usageTTL/2 {
		s.unreportedOlder, s.unreported, s.halfStarted = s.unreported, usage{}, now
	}
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

// UnreportedUsage is what a ledger has not heard of yet.
func (s *Share) UnreportedUsage(now time.Time) (passed, refused float64) {
	s.expireUsage(now)
	s.reporting = s.unreported.plus(s.unreportedOlder)
	return s.reporting.admitted, s.reporting.refused
}

// ConfirmReport notes that the last report arrived. One whose answer was lost is told
// once more: the limit is then held too low for a moment, never too high.
func (s *Share) ConfirmReport() {
	s.unreported, s.unreportedOlder, s.reporting = s.unreported.plus(s.unreportedOlder).minus(s.reporting), usage{}, usage{}
}
