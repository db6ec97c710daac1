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
	accounts       map[string]*account
	slack          float64 // that may come at once beyond a burst
	connectedShare float64 // of the limits that may be given out here
}

// account is one limited team's.
type account struct {
	limit        Limit // in force
	bucket       *Bucket
	demand       demand
	correctUntil time.Time // until when it may have begun too full, since nothing was known; zero: it has not
	admitted     float64   // until then
}

// usedSlackShare is the part of what operators allow a limit to be missed by that
// callers get on purpose. A burst may be hardly more than one request; requests
// that all hosts together let through in a slightly other order than they came
// would be refused, though the team is well within its rate. The rest is for what
// hosts pass by themselves.
const usedSlackShare = 0.25

// NewLedger makes one without teams; slack is by how much operators allow a limit
// to be missed, in what it counts.
func NewLedger(slack float64) *Ledger {
	return &Ledger{accounts: map[string]*account{}, slack: slack * usedSlackShare, connectedShare: 1}
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
			a = &account{limit: t.Limit, bucket: NewBucket(l.effectiveLimit(t.Limit), now), demand: newDemand()}
			a.restore(t.Name, begin, now)
		case a.limit != t.Limit:
			a.limit = t.Limit
			a.bucket.SetLimit(l.effectiveLimit(t.Limit), now)
		}
		kept[t.Name] = a
	}
	l.accounts = kept
}

// restore starts an account where another host's stood. What hosts have passed
// since then they tell with their next reports.
func (a *account) restore(team string, begin func(string) (KnownState, bool), now time.Time) {
	if begin == nil {
		return
	}
	w, ok := begin(team)
	if !ok { // a process that has just started: a burst was gained meanwhile, but hosts pass more unheard
		a.bucket.level = a.limit.capacity()
		a.correctUntil = now.Add(correctionWindow)
		return
	}
	if w.Constrained {
		a.bucket.level = min(w.Level, a.bucket.limit.capacity())
		a.demand.longTerm.add(w.Demand*rateWindow.Seconds(), now)
	}
	a.bucket.Credit(a.limit.PerSecond*min(w.Age, usageTTL).Seconds(), now.Add(correctionWindow))
}

// correctionWindow is how long after a host began to count others may still tell what
// they passed before: a few of their reports.
const correctionWindow = time.Second

// Correct takes how an account stood when a host was told last. One that began with
// nothing known is corrected by it: each process that counts would else give every
// team a burst of its own.
func (l *Ledger) Correct(team string, w KnownState, now time.Time) {
	a := l.accounts[team]
	if a == nil || !w.Constrained || !now.Before(a.correctUntil) {
		return
	}
	if stands := w.Level + a.limit.PerSecond*w.Age.Seconds() - a.admitted; stands < a.bucket.Level(now) {
		a.bucket.level = stands
	}
}

// SetConnectedShare says what part of the hosts is heard here. The others may be cut off,
// and go on by their shares; these are withheld, so that all together stay
// within the limits.
func (l *Ledger) SetConnectedShare(part float64, now time.Time) {
	if part == l.connectedShare {
		return
	}
	l.connectedShare = part
	for _, a := range l.accounts {
		a.bucket.SetLimit(l.effectiveLimit(a.limit), now)
	}
}

func (l *Ledger) effectiveLimit(limit Limit) Limit {
	limit.PerSecond *= l.connectedShare
	limit.Burst += l.slack
	return limit
}

// Take asks for leave for a request. A team without a limit is always let through.
func (l *Ledger) Take(team string, cost float64, now time.Time) (wait time.Duration, ok bool) {
	a := l.accounts[team]
	if a == nil {
		return 0, true
	}
	a.demand.add(cost, now)
	wait, ok = a.bucket.Take(cost, now)
	if ok && now.Before(a.correctUntil) {
		a.admitted += cost
	}
	return wait, ok
}

// AddUsage enters what a host passed by itself, less what it gives back, and what it refused.
func (l *Ledger) AddUsage(team string, passed, refused float64, now time.Time) {
	a := l.accounts[team]
	if a == nil {
		return
	}
	a.demand.add(max(passed, 0)+refused, now)
	if passed >= 0 {
		a.bucket.Charge(passed, now)
	} else {
		a.bucket.Refund(-passed, now)
	}
}

const (
	// constrainedLevel and scarceRate tell accounts that hosts have to know of: less
	// than this share of a burst is there, or so much of the rate is asked for.
	constrainedLevel = 0.5
	constrainedRate  = 0.7
)

// Constrained returns how the teams stand whose limits may bind; all others have enough.
func (l *Ledger) Constrained(now time.Time) map[string]AccountState {
	var out map[string]AccountState
	for name, a := range l.accounts {
		s := AccountState{Level: a.bucket.Level(now), Demand: a.demand.perSecond(now)}
		if s.Level >= constrainedLevel*a.limit.capacity() && s.Demand < constrainedRate*a.limit.PerSecond {
			continue
		}
		if out == nil {
			out = map[string]AccountState{}
		}
		out[name] = s
	}
	return out
}
