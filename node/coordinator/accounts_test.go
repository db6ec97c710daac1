package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/reports"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// newTestCoordinator returns a coordinator without upstreams.
func newTestCoordinator() *Coordinator {
	log := event.NewLog(nil)
	return New(Config{}, Deps{Fleet: fleet.New(fleet.Config{}, fleet.Deps{}), Config: follow.NewActiveConfig(log), Log: log})
}

// setTeamLimit puts a configuration in force in which team t may use perSecond tokens a
// second, and twice as many at once.
func setTeamLimit(c *Coordinator, version uint64, perSecond float64) *deploy.Team {
	team := deploy.Team{Name: "t", Limit: quota.Limit{Unit: quota.Tokens, PerSecond: perSecond, Burst: 2 * perSecond}}
	c.deps.Config.ApplyIfNewer(&deploy.Config{Version: version, Services: []deploy.Service{{Name: "s", Engine: &deploy.Engine{}}}, Teams: []deploy.Team{team}}, "test")
	return &team
}

// Guards against a team that gets more than its limit while hosts are disconnected.
func TestTheShareOfHostsNotHeardFromIsWithheld(t *testing.T) {
	coord := newTestCoordinator()
	setTeamLimit(coord, 1, 100)
	now := coord.now()
	coord.aggregate.Record(&coordpb.HostReport{Host: "a"}, now)
	coord.aggregate.Record(&coordpb.HostReport{Host: "b"}, now.Add(-2*wire.ReportFresh))
	assert.Equal(t, coord.aggregate.ReportingShare(now), 0.5)
	ok := coord.accounts.Charge("t", quota.Ask{Cost: 200}, now).Verdict == quota.Admit
	assert.Assert(t, ok)
	refused := coord.accounts.Charge("t", quota.Ask{Cost: 100}, now)
	assert.Equal(t, refused.Verdict, quota.Refuse)
	assert.Assert(t, refused.RetryAfter > 1900*time.Millisecond && refused.RetryAfter < 2100*time.Millisecond, "at half of the rate: %v", refused.RetryAfter)
}

// Guards against two hosts that are acting in a network partition and each grant a
// limit in full.
func TestANewActingHostLeavesTheShareOfHostsNotHeardFrom(t *testing.T) {
	coord := newTestCoordinator()
	coord.FormerHostCount = func() int { return 4 }
	now := coord.now()
	coord.resetCounts(now)
	for i, name := range []string{"a", "b", "a"} {
		coord.aggregate.Record(&coordpb.HostReport{Host: name}, now)
		assert.Equal(t, coord.aggregate.ReportingShare(now), []float64{0.25, 0.5, 0.5}[i])
	}
	later := now.Add(reports.HostCountedFor)
	coord.aggregate.Record(&coordpb.HostReport{Host: "a"}, later)
	coord.aggregate.Record(&coordpb.HostReport{Host: "b"}, later)
	assert.Equal(t, coord.aggregate.ReportingShare(later), 1.0, "the other hosts are no longer counted")
}

// Guards against a team that gets its limit once more whenever another host begins to
// count: the state that this host last received counts.
func TestANewActingHostBeginsWithTheStateThatItReceived(t *testing.T) {
	coord := newTestCoordinator()
	coord.LastTeamState = func(string) (quota.KnownState, bool) {
		return quota.KnownState{Constrained: true, AccountState: quota.AccountState{Level: -300, Demand: 200}}, true
	}
	setTeamLimit(coord, 1, 100)
	ok := coord.accounts.Charge("t", quota.Ask{Cost: 40}, coord.now()).Verdict == quota.Admit
	assert.Assert(t, !ok)
}

// Guards against a coordinator that has just restarted and grants each team a burst once
// more, although hosts report how the accounts stood.
func TestARestartedCoordinatorReceivesAccountStates(t *testing.T) {
	coord := newTestCoordinator()
	setTeamLimit(coord, 1, 100)
	now := coord.now()
	coord.applyReport(&coordpb.HostReport{Host: "h", TeamWords: []*coordpb.TeamWord{{Standing: &coordpb.TeamStanding{Team: "t", Level: -300, Asked: 200}}}}, now)
	ok := coord.accounts.Charge("t", quota.Ask{Cost: 40}, now).Verdict == quota.Admit
	assert.Assert(t, !ok)
}
