package quota

import "time"

// Verdict is what a host decides by its share.
type Verdict uint8

// The verdicts.
const (
	Pass   Verdict = iota // let it through, and tell the ledger
	Ask                   // the ledger decides
	Refuse                // it is over the limit
)

const (
	// wordFresh is how long the ledger's word counts: a few of the reports that
	// bring it.
	wordFresh = 1500 * time.Millisecond
	// passShare is the part of a burst that one host passes by itself until it is
	// told anew. The ledger hears of it with the next report.
	passShare = 0.25
	// startShare is the part of a limit that a host without any word passes: a
	// process that has just started, as all may have. Some ten hosts serve most
	// of a team's callers.
	startShare = 0.15
	// growthLeast is how much of the limit a host must be asked for itself before
	// it concludes from it that the whole team asks for more.
	growthLeast = 0.05
	// usualShare is what part of its limit a team is assumed to ask for of which
	// the ledger said that it has enough.
	usualShare = 0.6
)

// Share is one host's part in one team's account. Its owner guards it.
type Share struct {
	limit   Limit
	word    Standing
	scarce  bool // word says how the account stands; else it has enough
	told    time.Time
	own     rate    // asked for at this host
	ownThen float64 // when the word came, a second
	since   float64 // passed since then
	start   *Bucket // bounds a host without any word

	passed  float64 // that no ledger has heard of, less what was given back
	refused float64
	sent    float64 // of passed, in the report under way
	sentRef float64 // of refused
}

// NewShare makes one of a host that has no word yet.
func NewShare(l Limit, now time.Time) *Share {
	s := &Share{}
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
}

// Tell enters the ledger's word: how the account stands, or that it has enough.
func (s *Share) Tell(word Standing, scarce bool, now time.Time) {
	s.word, s.scarce, s.told = word, scarce, now
	s.ownThen, s.since = s.own.perSecond(now), 0
}

// Standing is how the account stood when last told, with what was gained since;
// false: it has enough, or nothing is known.
func (s *Share) Standing(now time.Time) (Standing, bool) {
	if !s.scarce {
		return Standing{}, false
	}
	out := s.word
	out.Level = min(out.Level+s.limit.PerSecond*now.Sub(s.told).Seconds(), s.limit.capacity())
	return out, true
}

// Decide says what becomes of a request that needs no turn while the ledger can be asked.
func (s *Share) Decide(cost float64, now time.Time) Verdict {
	s.own.add(cost, now)
	fresh := !s.told.IsZero() && now.Sub(s.told) < wordFresh
	if !fresh || s.scarce || s.since+cost > passShare*s.limit.capacity() {
		return Ask
	}
	s.pass(cost)
	return Pass
}

// Noted counts a request that the ledger decides.
func (s *Share) Noted(cost float64, now time.Time) { s.own.add(cost, now) }

// Alone says what becomes of a request while nobody counts for all; draw is in
// [0, 1). It passes the part of what is asked for that the limit allows: with a
// bucket of its own, each of the hosts that a small team's callers come to would
// pass a request, and all together many times the limit.
func (s *Share) Alone(cost float64, now time.Time, draw float64) Verdict {
	if s.told.IsZero() {
		if _, ok := s.start.Take(min(cost, s.start.limit.capacity()), now); !ok {
			return s.refuse(cost)
		}
	} else if asked := s.estimate(now); draw*asked >= s.limit.PerSecond {
		return s.refuse(cost)
	}
	s.pass(cost)
	return Pass
}

// estimate is what the team asks for a second at all hosts, in the proportion
// that it had to this host's part when the word came.
func (s *Share) estimate(now time.Time) float64 {
	asked := max(s.word.Asked, usualShare*s.limit.PerSecond)
	if !s.scarce {
		asked = usualShare * s.limit.PerSecond
	}
	own := s.own.perSecond(now)
	if own < growthLeast*s.limit.PerSecond || own <= s.ownThen {
		return asked
	}
	return asked * own / max(s.ownThen, growthLeast*s.limit.PerSecond)
}

func (s *Share) pass(cost float64) {
	s.passed += cost
	s.since += cost
}

func (s *Share) refuse(cost float64) Verdict {
	s.refused += cost
	return Refuse
}

// GiveBack returns what was charged for a request that has not run.
func (s *Share) GiveBack(cost float64) { s.passed -= cost }

// Report is what a ledger has not heard of yet.
func (s *Share) Report() (passed, refused float64) {
	s.sent, s.sentRef = s.passed, s.refused
	return s.sent, s.sentRef
}

// Reported notes that the last report arrived. One whose answer was lost is told
// once more: the limit is then held too low for a moment, never too high.
func (s *Share) Reported() {
	s.passed -= s.sent
	s.refused -= s.sentRef
	s.sent, s.sentRef = 0, 0
}
