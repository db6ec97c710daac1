package quota

import "time"

// Team is the name of a team and its limit.
type Team struct {
	Name  string
	Limit Limit
}

// AccountState is the state of a team's account, as announced to the hosts.
type AccountState struct {
	Level  float64 // cost that may be admitted at once; negative for a debt
	Demand float64 // cost a second that the team requests, refused requests included
}

// KnownState is the last state of an account that a host knows when it begins to count itself.
type KnownState struct {
	AccountState
	Constrained bool          // whether the limit may bind; otherwise the level was sufficient
	Age         time.Duration // time since it was received, during which possibly nobody counted
}

// Ledger counts the requests of teams at all hosts together. Its owner must guard it.
type Ledger struct {
	accounts       map[string]*account
	slack          float64               // cost that may be admitted at once beyond a burst
	connectedShare float64               // share of the limits that may be granted here
	waiting        map[*account]struct{} // accounts at which requests may wait
	unlimited      []*Waiter             // waited at an account whose limit was removed
}

// usedSlackShare is the share of the slack by which operators allow a limit to be exceeded
// that is granted on purpose. A burst may be hardly larger than one request. Requests that
// all hosts together admit in a slightly different order than they arrived would then be
// refused, although the team is well within its rate. The remainder covers what hosts
// admit without the ledger.
const usedSlackShare = 0.25

// NewLedger returns a ledger without teams. slack is by how much operators allow a limit
// to be exceeded, in the limit's unit.
func NewLedger(slack float64) *Ledger {
	return &Ledger{accounts: map[string]*account{}, waiting: map[*account]struct{}{}, slack: slack * usedSlackShare, connectedShare: 1}
}

// SetTeams applies the limits of a configuration. The account of a new team starts with
// the state that lastKnown returns for it, or full if that is unknown or lastKnown is nil.
func (l *Ledger) SetTeams(teams []Team, lastKnown func(team string) (KnownState, bool), now time.Time) {
	kept := make(map[string]*account, len(teams))
	for _, t := range teams {
		if !t.Limit.Limited() {
			continue
		}
		a := l.accounts[t.Name]
		switch {
		case a == nil:
			a = &account{limit: t.Limit, bucket: NewBucket(l.effectiveLimit(t.Limit), now), demand: newDemand()}
			a.restore(t.Name, lastKnown, now)
		case a.limit != t.Limit:
			a.limit = t.Limit
			a.bucket.SetLimit(l.effectiveLimit(t.Limit), now)
		}
		kept[t.Name] = a
	}
	for name, a := range l.accounts {
		if kept[name] == nil {
			l.unlimited = append(l.unlimited, a.clear()...)
		}
	}
	l.accounts = kept
}

// restore starts an account with the state it had at another host. Hosts report what
// they have admitted since then in their next reports.
func (a *account) restore(team string, lastKnown func(string) (KnownState, bool), now time.Time) {
	if lastKnown == nil {
		return
	}
	a.correctUntil = now.Add(correctionWindow)
	state, ok := lastKnown(team)
	if !ok { // this process has just started: a burst was gained meanwhile, but hosts admit more that is not reported yet
		a.bucket.level = a.limit.capacity()
		return
	}
	a.stateAt = now.Add(-state.Age)
	if state.Constrained {
		a.bucket.level = min(state.Level, a.bucket.limit.capacity())
		a.demand.longTerm.add(state.Demand*rateWindow.Seconds(), now)
	}
	a.bucket.Credit(a.limit.PerSecond*min(state.Age, usageTTL).Seconds(), now.Add(correctionWindow))
}

// correctionWindow is how long after a host began to count other hosts may still report
// what they admitted before. It is the time of a few reports.
const correctionWindow = time.Second

// Correct applies the state of an account that a host received last from another ledger.
// It lowers the level of an account that started with an unknown or an earlier state;
// otherwise each process that begins to count would grant every team another burst, or
// once more what was gained while nobody counted.
func (l *Ledger) Correct(team string, state KnownState, now time.Time) {
	a := l.accounts[team]
	if a == nil || !state.Constrained || !now.Before(a.correctUntil) || !now.Add(-state.Age).After(a.stateAt) {
		return
	}
	if corrected := state.Level + a.limit.PerSecond*state.Age.Seconds() - a.admitted; corrected < a.bucket.Level(now) {
		a.bucket.level = corrected
	}
}

// SetConnectedShare sets the share of all hosts that report to this ledger. The others may
// be disconnected and admit requests by their shares of the limits. These shares are
// withheld here, so that all hosts together stay within the limits.
func (l *Ledger) SetConnectedShare(share float64, now time.Time) {
	if share == l.connectedShare {
		return
	}
	l.connectedShare = share
	for _, a := range l.accounts {
		a.bucket.SetLimit(l.effectiveLimit(a.limit), now)
	}
}

func (l *Ledger) effectiveLimit(limit Limit) Limit {
	limit.PerSecond *= l.connectedShare
	limit.Burst += l.slack
	return limit
}

// Ask requests the admission of a request. A team without a limit is always admitted.
func (l *Ledger) Ask(team string, q Ask, now time.Time) Answer {
	a := l.accounts[team]
	if a == nil {
		return Answer{Verdict: Admit}
	}
	out := a.ask(q, now)
	if out.Verdict == Wait {
		l.waiting[a] = struct{}{}
	}
	return out
}

// Cancel ends the wait of a request; nothing was charged for it.
func (l *Ledger) Cancel(w *Waiter) { w.account.remove(w) }

// Serve calls decide for each request that waited and is now admitted or refused, and
// returns after how long Serve is to be called again; 0: nothing waits.
func (l *Ledger) Serve(now time.Time, decide func(*Waiter, Answer)) (again time.Duration) {
	for _, w := range l.unlimited {
		decide(w, Answer{Verdict: Admit})
	}
	l.unlimited = nil
	for a := range l.waiting {
		a.serve(now, decide)
		if a.waiting == 0 {
			delete(l.waiting, a)
			continue
		}
		if wait := max(a.wakeAfter(now), minWake); again == 0 || wait < again {
			again = wait
		}
	}
	return again
}

// minWake is the least time between two calls of Serve, so that many small requests do not
// cause as many calls.
const minWake = time.Millisecond

// Promises returns how many refused requests were told a time that was kept free for
// them, and how many came back at it.
func (l *Ledger) Promises() (given, kept int) {
	for _, a := range l.accounts {
		given, kept = given+a.given, kept+a.kept
	}
	return given, kept
}

// Refund undoes the charge of one request.
func (l *Ledger) Refund(team string, cost float64, now time.Time) {
	if a := l.accounts[team]; a != nil {
		a.bucket.Refund(cost, now)
	}
}

// AddUsage records what a host admitted without the ledger, less its refunds, and what it refused.
func (l *Ledger) AddUsage(team string, admitted, refused float64, now time.Time) {
	a := l.accounts[team]
	if a == nil {
		return
	}
	a.demand.add(max(admitted, 0)+refused, now)
	if admitted >= 0 {
		a.bucket.Charge(admitted, now)
	} else {
		a.bucket.Refund(-admitted, now)
	}
}

const (
	// constrainedLevel and constrainedRate select the accounts that are announced to hosts:
	// their level is below this share of a burst, or their demand above this share of the rate.
	constrainedLevel = 0.5
	constrainedRate  = 0.7
)

// ConstrainedStates returns the states of the teams whose limits may bind. All others have enough.
func (l *Ledger) ConstrainedStates(now time.Time) map[string]AccountState {
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
