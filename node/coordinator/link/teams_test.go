package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	leasing "peridotpier.example/core/lease"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/follow"
)

// newLimitedTeam returns a team that may use 100 tokens a second, and twice as many at
// once, and the accounts of a coordinator that begins to count; lastState returns the state
// of an account that its host received before, nil: none.
func newLimitedTeam(lastState func(string) (quota.KnownState, bool)) (*deploy.Team, *accounts.Teams) {
	team := deploy.Team{Name: "t", Limit: quota.Limit{Unit: quota.Tokens, PerSecond: 100, Burst: 200}}
	config := follow.NewActiveConfig(event.NewLog(nil))
	config.ApplyIfNewer(&deploy.Config{Version: 1, Services: []deploy.Service{{Name: "s", Engine: &deploy.Engine{}}}, Teams: []deploy.Team{team}}, "test")
	if lastState == nil {
		lastState = func(string) (quota.KnownState, bool) { return quota.KnownState{}, false }
	}
	return &team, accounts.New(accounts.Deps{Config: config, ReportingShare: func(time.Time) float64 { return 1 }, LastState: lastState})
}

// Guards against a team that gets its limit once more whenever another host begins to
// count.
func TestANewActingHostContinuesFromTheFormerAccountState(t *testing.T) {
	var shares teamShares
	now := time.Now()
	team, accounts := newLimitedTeam(func(name string) (quota.KnownState, bool) { return shares.state(name, now) })
	shares.followTeams([]deploy.Team{*team}, now)
	shares.apply(&coordpb.SiteState{CountsTeams: true, Teams: []*coordpb.TeamStanding{{Team: "t", Level: -300, Asked: 200}}}, now, now.Add(wire.ReportFresh))
	accounts.AddUse([]*coordpb.TeamUse{{Team: "t", Passed: 50}}, now)
	out := &coordpb.SiteState{}
	accounts.AddTo(out, now)
	assert.Assert(t, out.CountsTeams)
	assert.Equal(t, len(out.Teams), 1)
	assert.Equal(t, out.Teams[0].Level, int64(-350))
}

// Guards against a coordinator that has just restarted and grants each team a burst once
// more.
func TestARestartedCoordinatorReceivesAccountStates(t *testing.T) {
	var shares teamShares
	now := time.Now()
	team, accounts := newLimitedTeam(nil)
	shares.followTeams([]deploy.Team{*team}, now)
	shares.apply(&coordpb.SiteState{CountsTeams: true, Teams: []*coordpb.TeamStanding{{Team: "t", Level: -300, Asked: 200}}}, now, now.Add(wire.ReportFresh))
	r := &coordpb.HostReport{Host: "h"}
	shares.addStates(r, now)
	accounts.AdoptStates(r.TeamWords, now)
	ok := accounts.Charge("t", quota.Ask{Cost: 40}, now).Verdict == quota.Admit
	assert.Assert(t, !ok)
	old := &coordpb.HostReport{}
	shares.addStates(old, now.Add(2*maxStateAge))
	assert.Equal(t, len(old.TeamWords), 0, "by then the account has gained more than it lacked")
}

// A request that did not run is refunded with the host's next report, and a refund
// whose report was lost is reported again.
func TestARefundedChargeIsAvailableAgain(t *testing.T) {
	now := time.Now()
	team, accounts := newLimitedTeam(nil)
	ok := accounts.Charge("t", quota.Ask{Cost: 200}, now).Verdict == quota.Admit
	assert.Assert(t, ok)
	var shares teamShares
	shares.withShare(team, now, func(s *quota.Share) { s.Refund(200, now) })
	for range 2 { // the first report is lost
		r := &coordpb.HostReport{Host: "h"}
		shares.addUse(r, now)
		assert.Equal(t, r.Teams[0].Passed, int64(-200))
	}
	accounts.AddUse([]*coordpb.TeamUse{{Team: "t", Passed: -200}}, now)
	shares.confirmReported()
	r := &coordpb.HostReport{Host: "h"}
	shares.addUse(r, now)
	assert.Equal(t, len(r.Teams), 0, "it is reported once")
	ok = accounts.Charge("t", quota.Ask{Cost: 200}, now).Verdict == quota.Admit
	assert.Assert(t, ok)
}

// Guards against a counting host whose process is killed and restarts between two
// reports, and then begins all accounts full.
func TestAQuicklyRestartedHolderReceivesAccountStates(t *testing.T) {
	l := newTestHost("", noTable{}, leasing.Policy{}).newLink(Config{Host: "h"})
	for _, c := range []struct {
		id    uint64
		begun bool
	}{{1, true}, {1, false}, {2, true}, {2, false}} {
		l.applyAnswer(&coordpb.SiteState{Holding: true, QuarantineId: c.id})
		assert.Equal(t, l.mayBeNewProcess(), c.begun)
	}
	l.reportFailed("other", wire.ErrNoLease)
	assert.Assert(t, l.mayBeNewProcess(), "the next answer may come from another process")
}

// Guards against a host that has just started without a coordinator and refuses nearly all of a team within its limit, though
// the host that it asks for the coordinator knows the state of the team's account.
func TestANewHostIsToldAccountStatesByAnother(t *testing.T) {
	now := time.Now()
	team, _ := newLimitedTeam(nil)
	teams := []deploy.Team{*team}
	admitted := func(told *coordpb.StateAnswer) (n int) {
		var shares teamShares
		shares.followTeams(teams, now)
		shares.adopt(told, teams, now)
		for i := range 100 { // in ten seconds, a tenth of the limit
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			shares.withShare(team, at, func(s *quota.Share) {
				if s.DecideWithoutLedger(0, 1, at, float64(i%10)/10) == quota.Admit {
					n++
				}
			})
		}
		return n
	}
	assert.Assert(t, admitted(&coordpb.StateAnswer{}) < 30, "nobody was told anything")
	assert.Equal(t, admitted(&coordpb.StateAnswer{KnowsTeams: true}), 100)
	binds := &coordpb.StateAnswer{KnowsTeams: true, Teams: []*coordpb.TeamStanding{{Team: "t", Level: -300, Asked: 200}}}
	assert.Assert(t, admitted(binds) < 60, "other hosts' callers ask for twice the limit")
}

// Guards against old states that seem to be new to the next host that asks, and replace what a coordinator said.
func TestAnAdoptedAccountStateKeepsItsAge(t *testing.T) {
	var shares teamShares
	now := time.Now()
	team, _ := newLimitedTeam(nil)
	teams := []deploy.Team{*team}
	shares.adopt(&coordpb.StateAnswer{KnowsTeams: true, TeamsAgeMs: 7000, Teams: []*coordpb.TeamStanding{{Team: "t", Level: -300, Asked: 200}}}, teams, now)
	state, known := shares.state("t", now)
	assert.Assert(t, known && state.Constrained)
	assert.Equal(t, state.Age, 7*time.Second)
	shares.apply(&coordpb.SiteState{CountsTeams: true}, now, now.Add(wire.ReportFresh))
	shares.adopt(&coordpb.StateAnswer{KnowsTeams: true, Teams: []*coordpb.TeamStanding{{Team: "t", Level: -300, Asked: 200}}}, teams, now)
	state, _ = shares.state("t", now)
	assert.Assert(t, !state.Constrained, "a coordinator has said so")
}
