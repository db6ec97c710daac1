package link

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/gate"
)

// uncoordinatedRetry is the delay after which a caller should retry that was refused
// while no coordinator counted the use of limits: by then another host usually does.
const uncoordinatedRetry = time.Second

// teamShares contains this host's shares of the teams' limits.
type teamShares struct {
	mu     sync.Mutex
	byName map[string]*quota.Share
}

// shareLocked returns a team's share, under the limit of the team's configuration.
func (t *teamShares) shareLocked(team *deploy.Team, now time.Time) *quota.Share {
	s := t.byName[team.Name]
	if s == nil {
		if t.byName == nil {
			t.byName = map[string]*quota.Share{}
		}
		s = quota.NewShare(team.Limit, now)
		t.byName[team.Name] = s
	}
	s.SetLimit(team.Limit, now)
	return s
}

// withShare calls f on a team's share, under the lock.
func (t *teamShares) withShare(team *deploy.Team, now time.Time, f func(*quota.Share)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.shareLocked(team, now))
}

// state returns the state of a team's account as this host last received it.
func (t *teamShares) state(team string, now time.Time) (quota.KnownState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byName[team]; s != nil {
		return s.KnownState(now)
	}
	return quota.KnownState{}, false
}

// addUse adds to a report the use of limits that no coordinator has received yet.
func (t *teamShares) addUse(r *coordpb.HostReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.byName {
		if passed, refused := s.UnreportedUsage(now); passed != 0 || refused != 0 {
			r.Teams = append(r.Teams, &coordpb.TeamUse{Team: name, Passed: int64(passed), Refused: uint64(refused)})
		}
	}
}

// addStates adds to a report the states of the accounts whose limits may bind. A
// coordinator that has just started has none of them.
func (t *teamShares) addStates(r *coordpb.HostReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.byName {
		state, ok := s.KnownState(now)
		if !ok || !state.Constrained || state.Age > maxStateAge {
			continue
		}
		r.TeamWords = append(r.TeamWords, &coordpb.TeamWord{AgeMs: uint32(state.Age.Milliseconds()),
			Standing: &coordpb.TeamStanding{Team: name, Level: int64(state.Level), Asked: uint64(state.Demand)}})
	}
}

// maxStateAge is how old the state of an account may be that is sent to a coordinator.
// In this time an account gains more than most bursts hold.
const maxStateAge = 5 * time.Second

// confirmReported records that the last report was answered.
func (t *teamShares) confirmReported() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byName {
		s.ConfirmReport()
	}
}

// apply applies the answer to a report, which counts until the given time.
func (t *teamShares) apply(s *coordpb.SiteState, now, until time.Time) {
	if !s.CountsTeams {
		return
	}
	t.setStates(s.Teams, now, until, func(*quota.Share) bool { return true })
}

// adopt applies what another host was told of the accounts, where this host was told nothing
// yet. It decides by that only while there is no coordinator.
func (t *teamShares) adopt(a *coordpb.StateAnswer, teams []deploy.Team, now time.Time) {
	if !a.KnowsTeams {
		return
	}
	t.followTeams(teams, now)
	at := now.Add(-wire.Milliseconds(a.TeamsAgeMs))
	t.setStates(a.Teams, at, at, func(share *quota.Share) bool {
		_, known := share.KnownState(now)
		return !known
	})
}

// setStates sets the states of the accounts for which applies holds, as they were at a time and count
// until another. Limits that states does not name do not bind.
func (t *teamShares) setStates(states []*coordpb.TeamStanding, at, until time.Time, applies func(*quota.Share) bool) {
	constrained := make(map[string]*coordpb.TeamStanding, len(states))
	for _, u := range states {
		constrained[u.Team] = u
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, share := range t.byName {
		if applies(share) {
			u := constrained[name]
			share.SetState(quota.AccountState{Level: float64(u.GetLevel()), Demand: float64(u.GetAsked())}, u != nil, at, until)
		}
	}
}

// followTeams creates shares for the teams of a configuration that have a limit, so
// that each has a state before its first request, and drops those of removed teams.
func (t *teamShares) followTeams(teams []deploy.Team, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range teams {
		if teams[i].Limit.Limited() {
			t.shareLocked(&teams[i], now)
		}
	}
	if len(t.byName) <= len(teams) {
		return
	}
	former := t.byName
	t.byName = make(map[string]*quota.Share, len(teams))
	for i := range teams {
		if s := former[teams[i].Name]; s != nil {
			t.byName[teams[i].Name] = s
		}
	}
}

// TeamState returns the state of a team's account as this host last received it.
func (l *Link) TeamState(team string) (quota.KnownState, bool) {
	return l.teams.state(team, l.deps.Now())
}

// LimitState is the state of the account of a team whose limit may bind, as this host last
// received it.
type LimitState struct {
	Team           string  `json:"team"`
	PerSecond      float64 `json:"limit_per_second"`
	Level          float64 `json:"level"` // cost that may be admitted at once; negative for a debt
	AskedPerSecond float64 `json:"asked_per_second"`
	AgeMs          int64   `json:"age_ms"`
}

// LimitStates returns the states of the teams whose limits may bind, in order of their
// names.
func (l *Link) LimitStates() []LimitState {
	now := l.deps.Now()
	t := &l.teams
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []LimitState{}
	for name, s := range t.byName {
		if state, ok := s.KnownState(now); ok && state.Constrained {
			out = append(out, LimitState{Team: name, PerSecond: s.Limit().PerSecond, Level: state.Level, AskedPerSecond: state.Demand, AgeMs: state.Age.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b LimitState) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// Charge implements gate.TeamLimits.
func (l *Link) Charge(ctx context.Context, team *deploy.Team, q quota.Ask) gate.LimitAnswer {
	now := l.deps.Now()
	verdict := quota.ConsultLedger
	l.teams.withShare(team, now, func(s *quota.Share) { verdict = s.Decide(q.Rank, q.Cost, now) })
	if verdict == quota.ConsultLedger {
		if answer, err := l.permitClient.charge(ctx, team.Name, &q); err == nil {
			return *answer
		}
		now = l.deps.Now()
		l.teams.withShare(team, now, func(s *quota.Share) { verdict = s.DecideWithoutLedger(q.Rank, q.Cost, now, rand.Float64()) })
	}
	return gate.LimitAnswer{OK: verdict == quota.Admit, RetryAfter: uncoordinatedRetry}
}

// Refund implements gate.TeamLimits.
func (l *Link) Refund(team *deploy.Team, cost float64) {
	now := l.deps.Now()
	l.teams.withShare(team, now, func(s *quota.Share) { s.Refund(cost, now) })
}

var _ gate.TeamLimits = (*Link)(nil)

// charge asks the acting coordinator whether a team's limit allows a request, which may
// wait there until it does.
func (c *permitClient) charge(ctx context.Context, team string, q *quota.Ask) (*gate.LimitAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.MaxWait+2*firstAnswerTimeout)
	defer cancel()
	e := &coordpb.TurnEvent{Kind: coordpb.TurnEvent_CHARGE}
	setAsk(e, team, q)
	st, answers, done, err := c.start(e)
	if err != nil {
		return nil, err
	}
	defer done()
	answer, err := c.awaitAnswer(ctx, answers)
	if err != nil {
		_ = c.send(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_END, Uncharged: true})
		return nil, err
	}
	if answer.Kind == coordpb.TurnAnswer_OVER {
		return overLimit(answer), nil
	}
	return &gate.LimitAnswer{OK: true, Known: true}, nil
}

// setAsk sets what a request asks of its team's limit.
func setAsk(e *coordpb.TurnEvent, team string, q *quota.Ask) {
	e.Team, e.Charge, e.RouteRank = team, uint32(q.Cost), uint32(q.Rank)
	if e.Kind == coordpb.TurnEvent_CHARGE { // a permit request states its own
		e.InTimeMs = uint32(max(q.InTime.Milliseconds(), 0))
	}
	e.Overdue = q.Overdue
	e.AccountWaitMs, e.ReturnWithinMs = uint32(q.MaxWait.Milliseconds()), uint32(q.ReturnWithin.Milliseconds())
}

// overLimit returns the coordinator's answer to a request over its team's limit.
func overLimit(answer *coordpb.TurnAnswer) *gate.LimitAnswer {
	return &gate.LimitAnswer{RetryAfter: wire.Milliseconds(answer.WaitMs), Promised: answer.Promised, Level: float64(answer.Level), Known: true}
}
