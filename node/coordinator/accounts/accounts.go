// Package accounts counts what the teams use of their limits, over all hosts, while its
// host is the acting coordinator. The share of every host is in the link of that host.
//
// The accounts grow with the teams that have a limit, and an answer with the teams whose
// limits may bind; neither grows with the hosts, upstreams or models.
//
// The mutex of Teams guards the accounts. ReportingShare and LastState are called under
// it, and take the mutex of the reports and that of the link's shares, which must thus
// not be held when a method of Teams is called.
package accounts

import (
	"sync"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/follow"
)

// Deps are the dependencies of Teams.
type Deps struct {
	Config     *follow.ActiveConfig
	LimitSlack float64 // amount by which operators allow a team's limit to be missed, in the limit's unit
	// ReportingShare returns the share of the hosts that report here.
	ReportingShare func(now time.Time) float64
	// LastState returns the state of a team's account as another coordinator last sent
	// it to this host.
	LastState func(team string) (quota.KnownState, bool)
}

// shareInterval is how often the share of reporting hosts is computed.
const shareInterval = 100 * time.Millisecond

// Teams counts the use of all teams, over all hosts, while this host is acting.
type Teams struct {
	deps Deps

	mu          sync.Mutex
	ledger      *quota.Ledger
	limitsOf    *deploy.Config // configuration whose limits are in force in the ledger
	hostShareAt time.Time      // when the share of reporting hosts was last computed
}

// New returns accounts that nothing was charged to yet.
func New(d Deps) *Teams {
	return &Teams{deps: d, ledger: quota.NewLedger(d.LimitSlack)}
}

// Reset drops the counts of an earlier term: another coordinator has counted since.
func (a *Teams) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger, a.limitsOf, a.hostShareAt = quota.NewLedger(a.deps.LimitSlack), nil, time.Time{}
}

// refreshLocked updates the limits to the current configuration and to the share of
// hosts that report. It reports whether there are any limits.
func (a *Teams) refreshLocked(now time.Time) bool {
	t := a.deps.Config.Current()
	if t == nil || len(t.Config.Teams) == 0 && a.limitsOf == nil {
		return false
	}
	if a.limitsOf != t.Config {
		a.limitsOf = t.Config
		teams := make([]quota.Team, len(t.Config.Teams))
		for i := range t.Config.Teams {
			teams[i] = quota.Team{Name: t.Config.Teams[i].Name, Limit: t.Config.Teams[i].Limit}
		}
		a.ledger.SetTeams(teams, a.deps.LastState, now)
	}
	if now.Sub(a.hostShareAt) >= shareInterval {
		a.hostShareAt = now
		a.ledger.SetConnectedShare(a.deps.ReportingShare(now), now)
	}
	return true
}

// Charge charges one request to a team's account. While the limit does not allow it, the
// request waits, or it is refused. Serve decides on those that wait.
func (a *Teams) Charge(team string, q quota.Ask, now time.Time) quota.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.refreshLocked(now) {
		return quota.Answer{Verdict: quota.Admit}
	}
	return a.ledger.Ask(team, q, now)
}

// Decision is the decision on a request that waited.
type Decision struct {
	Waiter *quota.Waiter
	Answer quota.Answer
}

// Serve appends to out the requests that waited and are decided now, and returns after how
// long it is to be called again; 0: nothing waits.
func (a *Teams) Serve(out []Decision, now time.Time) (decided []Decision, again time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshLocked(now)
	again = a.ledger.Serve(now, func(w *quota.Waiter, answer quota.Answer) { out = append(out, Decision{w, answer}) })
	return out, again
}

// Cancel ends the wait of a request that nobody asks for any more. It is not charged.
func (a *Teams) Cancel(w *quota.Waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Cancel(w)
}

// Refund undoes the charge of one request.
func (a *Teams) Refund(team string, cost float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refreshLocked(now) {
		a.ledger.Refund(team, cost, now)
	}
}

// Promises returns how many refused requests were told a time that was kept free for
// them, and how many came back at it.
func (a *Teams) Promises() (given, kept int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Promises()
}

// AddUse enters the requests that a host let pass on its own.
func (a *Teams) AddUse(uses []*coordpb.TeamUse, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.refreshLocked(now) {
		return
	}
	for _, u := range uses {
		a.ledger.AddUsage(u.Team, float64(u.Passed), float64(u.Refused), now)
	}
}

// AdoptStates enters the states of accounts that a host last received from another
// holder.
func (a *Teams) AdoptStates(states []*coordpb.TeamWord, now time.Time) {
	if len(states) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.refreshLocked(now) {
		return
	}
	for _, s := range states {
		a.ledger.Correct(s.Standing.GetTeam(), quota.KnownState{Constrained: true, Age: wire.Milliseconds(s.AgeMs),
			AccountState: quota.AccountState{Level: float64(s.Standing.GetLevel()), Demand: float64(s.Standing.GetAsked())}}, now)
	}
}

// AddTo adds the states of the accounts whose limits may bind to an answer.
func (a *Teams) AddTo(out *coordpb.SiteState, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.refreshLocked(now) {
		return
	}
	out.CountsTeams = true
	for name, s := range a.ledger.ConstrainedStates(now) {
		out.Teams = append(out.Teams, &coordpb.TeamStanding{Team: name, Level: int64(s.Level), Asked: uint64(s.Demand)})
	}
}
