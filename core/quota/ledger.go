package quota

import "time"

// Team is one team's limit by name.
type Team struct {
	Name  string
	Limit Limit
}

// Standing is how a team's account stands, as told to the hosts.
type Standing struct {
	Level float64 // what may come at once; negative: a debt
	Asked float64 // a second, what was refused too
}

// Ledger counts for all hosts what teams ask for. Its owner guards it.
type Ledger struct {
	accounts map[string]*account
	part     float64 // of the limits that may be given out here
}

// account is one limited team's.
type account struct {
	limit  Limit // in force
	bucket *Bucket
	asked  rate
}

// NewLedger makes one without teams.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}, part: 1} }

// Follow puts the limits of a configuration in force. The account of a team that
// is new starts by what begin tells of it; nil: full.
func (l *Ledger) Follow(teams []Team, begin func(team string) (Standing, bool), now time.Time) {
	kept := make(map[string]*account, len(teams))
	for _, t := range teams {
		if !t.Limit.Limited() {
			continue
		}
		a := l.accounts[t.Name]
		switch {
		case a == nil:
			a = &account{limit: t.Limit, bucket: NewBucket(l.given(t.Limit), now)}
			a.inherit(t.Name, begin, now)
		case a.limit != t.Limit:
			a.limit = t.Limit
			a.bucket.SetLimit(l.given(t.Limit), now)
		}
		kept[t.Name] = a
	}
	l.accounts = kept
}

// inherit starts an account where another host's stood.
func (a *account) inherit(team string, begin func(string) (Standing, bool), now time.Time) {
	if begin == nil {
		return
	}
	if s, ok := begin(team); ok {
		a.bucket.level = s.Level
		a.bucket.bound()
		a.asked.add(s.Asked*rateWindow.Seconds(), now)
	}
}

// SetPart says what part of the hosts is heard here. The others may be cut off,
// and go on by their shares; these are withheld, so that all together stay
// within the limits.
func (l *Ledger) SetPart(part float64, now time.Time) {
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
	return limit
}

// Ask asks for leave for a request. A team without a limit is always let through.
func (l *Ledger) Ask(team string, cost float64, now time.Time) (wait time.Duration, ok bool) {
	a := l.accounts[team]
	if a == nil {
		return 0, true
	}
	a.asked.add(cost, now)
	return a.bucket.Take(cost, now)
}

// Told enters what a host passed by itself, less what it gives back, and what it refused.
func (l *Ledger) Told(team string, passed, refused float64, now time.Time) {
	a := l.accounts[team]
	if a == nil {
		return
	}
	a.asked.add(max(passed, 0)+refused, now)
	if passed >= 0 {
		a.bucket.Charge(passed, now)
	} else {
		a.bucket.Return(-passed, now)
	}
}

const (
	// scarceLevel and scarceRate tell accounts that hosts have to know of: less
	// than this share of a burst is there, or so much of the rate is asked for.
	scarceLevel = 0.5
	scarceRate  = 0.9
)

// Scarce returns how the teams stand whose limits may bind; all others have enough.
func (l *Ledger) Scarce(now time.Time) map[string]Standing {
	var out map[string]Standing
	for name, a := range l.accounts {
		s := Standing{Level: a.bucket.Level(now), Asked: a.asked.perSecond(now)}
		if s.Level >= scarceLevel*a.limit.capacity() && s.Asked < scarceRate*a.limit.PerSecond {
			continue
		}
		if out == nil {
			out = map[string]Standing{}
		}
		out[name] = s
	}
	return out
}
