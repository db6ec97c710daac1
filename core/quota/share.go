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
	// passShare is the part of a burst that one host passes by itself until it is
	// told anew. The ledger hears of it with the next report.
	passShare = 0.25
	// startShare is the part of a limit that a host without any word passes, half a
	// second's of it at once: a process that has just started, as all may have. All
	// callers then come back at the same moment, to all hosts. Mostly another host
	// counts within a fraction of a second, and is told what was passed.
	startShare = 0.02
	// startRequests is how many of the least requests that share must hold for some
	// to be passed at once: of a smaller one each host would pass a whole request.
	startRequests = 10
	// growthLeast is what part of the limit a host takes itself to have been asked
	// for at least, and growthSure by how much that must grow, before it concludes
	// that the whole team asks for more: a few requests more are chance.
	growthLeast = 0.05
	growthSure  = 2
	// aloneShare is the part of a limit that hosts pass which hear nobody. Their
	// callers may be more than their part of all or ask for more meanwhile, and what
	// they passed before they were missed was counted nowhere. It is more than most
	// teams ask for.
	aloneShare = 0.65
	// reportFor is how long what a host passed is told at most. Nobody counts for
	// longer only when a host is cut off: its part is then withheld elsewhere.
	reportFor = 2 * time.Second
	// usualShare is what part of its limit a team is assumed to ask for of which
	// the ledger said that it has enough.
	usualShare = 0.6
)

// Share is one host's part in one team's account. Its owner guards it.
type Share struct {
	limit   Limit
	word    AccountState
	scarce  bool // word says how the account stands; else it has enough
	told    time.Time
	until   time.Time // that the word counts
	own     rate      // asked for at this host
	ownThen float64   // when the word came, a second
	since   float64   // passed since then
	start   *Bucket   // bounds a host without any word

	untold, older use       // that no ledger has heard of, of this half of reportFor and the former
	half          time.Time // when this half began
	sent          use       // in the report under way
}

// use is what a host passed, less what it gave back, and what it refused.
type use struct{ passed, refused float64 }

func (u use) plus(o use) use { return use{u.passed + o.passed, u.refused + o.refused} }

func (u use) minus(o use) use { return use{u.passed - o.passed, u.refused - o.refused} }

// NewShare makes one of a host that has no word yet.
func NewShare(l Limit, now time.Time) *Share {
	s := &Share{own: rate{window: rateWindow}}
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
	part.PerSecond *= startShare
	part.Burst *= startShare
	s.start = NewBucket(part, now)
	s.start.level = 0
	if whole := s.start.limit.capacity(); whole >= startRequests*float64(l.Plain) {
		s.start.level = whole / 2
	}
}

// SetState enters the ledger's word: how the account stands, or that it has enough. A
// host goes by it until then without a question.
func (s *Share) SetState(word AccountState, scarce bool, now, until time.Time) {
	s.word, s.scarce, s.told, s.until = word, scarce, now, until
	s.ownThen, s.since = s.own.perSecond(now), 0
}

// KnownState is how the account stood when last told; false: nothing is known.
func (s *Share) KnownState(now time.Time) (KnownState, bool) {
	return KnownState{s.word, s.scarce, now.Sub(s.told)}, !s.told.IsZero()
}

// Decide says what becomes of a request that needs no turn while the ledger can be asked.
func (s *Share) Decide(cost float64, now time.Time) Verdict {
	s.own.add(cost, now)
	fresh := now.Before(s.until)
	if !fresh || s.scarce || s.since+cost > passShare*s.limit.capacity() {
		return ConsultLedger
	}
	s.pass(cost, now)
	return Admit
}

// AddDemand counts a request that the ledger decides.
func (s *Share) AddDemand(cost float64, now time.Time) { s.own.add(cost, now) }

// DecideWithoutLedger says what becomes of a request while nobody counts for all; draw is in
// [0, 1). It passes the part of what is asked for that the limit allows: with a
// bucket of its own, each of the hosts that a small team's callers come to would
// pass a request, and all together many times the limit.
func (s *Share) DecideWithoutLedger(cost float64, now time.Time, draw float64) Verdict {
	if s.told.IsZero() {
		if _, ok := s.start.Take(cost, now); !ok {
			return s.refuse(cost, now)
		}
	} else if asked := s.estimate(now); draw*asked >= aloneShare*s.limit.PerSecond {
		return s.refuse(cost, now)
	}
	s.pass(cost, now)
	return Admit
}

// estimate is what the team asks for a second at all hosts, in the proportion
// that it had to this host's part when the word came.
func (s *Share) estimate(now time.Time) float64 {
	asked := max(s.word.Demand, usualShare*s.limit.PerSecond)
	if !s.scarce {
		asked = usualShare * s.limit.PerSecond
	}
	growth := s.own.perSecond(now) / max(s.ownThen, growthLeast*s.limit.PerSecond)
	if growth < growthSure {
		return asked
	}
	return asked * growth
}

// expire drops what was passed too long ago to be told.
func (s *Share) expire(now time.Time) {
	if now.Sub(s.half) > reportFor/2 {
		s.older, s.untold, s.half = s.untold, use{}, now
	}
}

func (s *Share) pass(cost float64, now time.Time) {
	s.expire(now)
	s.untold.passed += cost
	s.since += cost
}

func (s *Share) refuse(cost float64, now time.Time) Verdict {
	s.expire(now)
	s.untold.refused += cost
	return Refuse
}

// Refund returns what was charged for a request that has not run.
func (s *Share) Refund(cost float64, now time.Time) {
	s.expire(now)
	s.untold.passed -= cost
}

// UnreportedUsage is what a ledger has not heard of yet.
func (s *Share) UnreportedUsage(now time.Time) (passed, refused float64) {
	s.expire(now)
	s.sent = s.untold.plus(s.older)
	return s.sent.passed, s.sent.refused
}

// ConfirmReport notes that the last report arrived. One whose answer was lost is told
// once more: the limit is then held too low for a moment, never too high.
func (s *Share) ConfirmReport() {
	s.untold, s.older, s.sent = s.untold.plus(s.older).minus(s.sent), use{}, use{}
}
