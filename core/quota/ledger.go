package quota

import "time"

// Team is one team's limit by name.
type Team struct {
	Name  string
	Limit Limit
}

// AccountState is how a team's account stands, as told to the hosts.
type AccountState struct {
	Level  float64 // what may come at once; negative: a debt
	Demand float64 // a second, what was refused too
}

// KnownState is what a host knows of an account when it begins to count itself.
type KnownState struct {
	AccountState
	Constrained bool          // else the account had enough
	Age         time.Duration // for which nobody may have counted
}

// Ledger counts for all hosts what teams ask for. Its owner guards it.
type Ledger struct {
	accounts map[string]*account
	slack    float64 // that may come at once beyond a burst
	part     float64 // of the limits that may be given out here
}

// account is one limited team's.
type account struct {
	limit  Limit // in force
	bucket *Bucket
	asked  asked
	blind  time.Time // until when it may have begun too full, since nothing was known; zero: it has not
	given  float64   // until then
}

// slackShare is the part of what operators allow a limit to be missed by that
// callers get on purpose. A burst may be hardly more than one request; requests
// that all hosts together let through in a slightly other order than they came
// would be refused, though the team is well within its rate. The rest is for what
// hosts pass by themselves.
const slackShare = 0.25

// NewLedger makes one without teams; slack is by how much operators allow a limit
// to be missed, in what it counts.
func NewLedger(slack float64) *Ledger {
	return &Ledger{accounts: map[string]*account{}, slack: slack * slackShare, part: 1}
}

// SetTeams puts the limits of a configuration in force. The account of a team that
// is new starts by what begin tells of it, full if that knows nothing or is nil.
func (l *Ledger) SetTeams(teams []Team, begin func(team string) (KnownState, bool), now time.Time) {
	kept := make(map[string]*account, len(teams))
	for _, t := range teams {
		if !t.Limit.Limited() {
			continue
		}
		a := l.accounts[t.Name]
		switch {
		case a == nil:
			a = &account{limit: t.Limit, bucket: NewBucket(l.given(t.Limit), now), asked: newAsked()}
			a.inherit(t.Name, begin, now)
		case a.limit != t.Limit:
			a.limit = t.Limit
			a.bucket.SetLimit(l.given(t.Limit), now)
		}
		kept[t.Name] = a
	}
	l.accounts = kept
}

// inherit starts an account where another host's stood. What hosts have passed
// since then they tell with their next reports.
func (a *account) inherit(team string, begin func(string) (KnownState, bool), now time.Time) {
	if begin == nil {
		return
	}
	w, ok := begin(team)
	if !ok { // a process that has just started: a burst was gained meanwhile, but hosts pass more unheard
		a.bucket.level = a.limit.capacity()
		a.blind = now.Add(settleFor)
		return
	}
	if w.Constrained {
		a.bucket.level = min(w.Level, a.bucket.limit.capacity())
		a.asked.usual.add(w.Demand*rateWindow.Seconds(), now)
	}
	a.bucket.Credit(a.limit.PerSecond*min(w.Age, reportFor).Seconds(), now.Add(settleFor))
}

// settleFor is how long after a host began to count others may still tell what
// they passed before: a few of their reports.
const settleFor = time.Second

// Correct takes how an account stood when a host was told last. One that began with
// nothing known is corrected by it: each process that counts would else give every
// team a burst of its own.
func (l *Ledger) Correct(team string, w KnownState, now time.Time) {
	a := l.accounts[team]
	if a == nil || !w.Constrained || !now.Before(a.blind) {
		return
	}
	if stands := w.Level + a.limit.PerSecond*w.Age.Seconds() - a.given; stands < a.bucket.Level(now) {
		a.bucket.level = stands
	}
}

// SetConnectedShare says what part of the hosts is heard here. The others may be cut off,
// and go on by their shares; these are withheld, so that all together stay
// within the limits.
func (l *Ledger) SetConnectedShare(part float64, now time.Time) {
	if part == l.part {
		return
	}
	l.part = part
	for _, a := range l.accounts {
		a.bucket.SetLimit(l.given(a.limit), now)
	}
}

func (l *Ledger) given(limit Limit) Limit {
	limit.PerSecond *= l.part
	limit.Burst += l.slack
	return limit
}

// Take asks for leave for a request. A team without a limit is always let through.
func (l *Ledger) Take(team string, cost float64, now time.Time) (wait time.Duration, ok bool) {
	a := l.accounts[team]
	if a == nil {
		return 0, true
	}
	a.asked.add(cost, now)
	wait, ok = a.bucket.Take(cost, now)
	if ok && now.Before(a.blind) {
		a.given += cost
	}
	return wait, ok
}

// AddUsage enters what a host passed by itself, less what it gives back, and what it refused.
func (l *Ledger) AddUsage(team string, passed, refused float64, now time.Time) {
	a := l.accounts[team]
	if a == nil {
		return
	}
	a.asked.add(max(passed, 0)+refused, now)
	if passed >= 0 {
		a.bucket.Charge(passed, now)
	} else {
		a.bucket.Refund(-passed, now)
	}
}

const (
	// scarceLevel and scarceRate tell accounts that hosts have to know of: less
	// than this share of a burst is there, or so much of the rate is asked for.
	scarceLevel = 0.5
	scarceRate  = 0.7
)

// Constrained returns how the teams stand whose limits may bind; all others have enough.
func (l *Ledger) Constrained(now time.Time) map[string]AccountState {
	var out map[string]AccountState
	for name, a := range l.accounts {
		s := AccountState{Level: a.bucket.Level(now), Demand: a.asked.perSecond(now)}
		if s.Level >= scarceLevel*a.limit.capacity() && s.Demand < scarceRate*a.limit.PerSecond {
			continue
		}
		if out == nil {
			out = map[string]AccountState{}
		}
		out[name] = s
	}
	return out
}
