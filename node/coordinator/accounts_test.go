package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/lease"
)

// limited puts a configuration in force in which team t may pass perSecond, and
// twice that at once.
func limited(ts *turns, version uint64, perSecond float64) *deploy.Team {
	team := deploy.Team{Name: "t", Limit: quota.Limit{Unit: quota.Tokens, PerSecond: perSecond, Burst: 2 * perSecond}}
	ts.c.deps.Config.ApplyIfNewer(&deploy.Config{Version: version, Services: []deploy.Service{{Name: "s", Engine: &deploy.Engine{}}}, Teams: []deploy.Team{team}}, "test")
	return &team
}

func charged(id uint64, cost uint32) *coordpb.TurnEvent {
	e := ask(id, 1)
	e.Team, e.Charge, e.Reading = "t", cost, 0
	return e
}

// Failure: a team gets more than its limit, or waits for an upstream only to be refused.
func TestALimitIsChargedWithTheTurn(t *testing.T) {
	ts, _ := bench("u")
	limited(ts, 1, 100)
	a, b := stream(), stream()
	ts.take(a, charged(1, 150))
	ts.take(b, charged(1, 150))
	ts.take(b, &coordpb.TurnEvent{Id: 2, Kind: coordpb.TurnEvent_CHARGE, Team: "t", Charge: 40})
	ts.take(b, &coordpb.TurnEvent{Id: 3, Kind: coordpb.TurnEvent_CHARGE, Team: "t", Charge: 40})
	assert.Equal(t, answers(a)[1].Kind, coordpb.TurnAnswer_GRANTED)
	got := answers(b)
	assert.Equal(t, got[1].Kind, coordpb.TurnAnswer_OVER)
	assert.Assert(t, got[1].WaitMs > 900 && got[1].WaitMs <= 1001, "%d ms until 150 are there", got[1].WaitMs)
	assert.Equal(t, got[2].Kind, coordpb.TurnAnswer_GRANTED)
	assert.Equal(t, got[3].Kind, coordpb.TurnAnswer_OVER)
	ts.take(a, &coordpb.TurnEvent{Id: 9, Kind: coordpb.TurnEvent_CHARGE, Team: "unknown", Charge: 1 << 30})
	assert.Equal(t, answers(a)[9].Kind, coordpb.TurnAnswer_GRANTED, "no limit is known of it")
}

// Failure: a team gets its limit once more whenever another host begins to count.
func TestAHostThatBeginsToCountGoesOnFromTheFormersWord(t *testing.T) {
	ts, _ := bench("u")
	team := limited(ts, 1, 100)
	var shares teamShares
	now := ts.c.now()
	shares.keep([]deploy.Team{*team}, now)
	shares.tell(&coordpb.SiteState{CountsTeams: true, Teams: []*coordpb.TeamStanding{{Team: "t", Level: -300, Asked: 200}}}, now, now.Add(reportFresh))
	ts.c.accounts.word = func(name string) (quota.KnownState, bool) { return shares.word(name, now) }
	ts.c.accounts.told([]*coordpb.TeamUse{{Team: "t", Passed: 50}}, now)
	out := &coordpb.SiteState{}
	ts.c.accounts.tell(out, now)
	assert.Assert(t, out.CountsTeams)
	assert.Equal(t, len(out.Teams), 1)
	assert.Equal(t, out.Teams[0].Level, int64(-350))
}

// Failure: a process that has just started counts, and each team gets a burst once more.
func TestAProcessThatBeginsToCountHearsHowAccountsStood(t *testing.T) {
	ts, _ := bench("u")
	team := limited(ts, 1, 100)
	var shares teamShares
	now := ts.c.now()
	shares.keep([]deploy.Team{*team}, now)
	shares.tell(&coordpb.SiteState{CountsTeams: true, Teams: []*coordpb.TeamStanding{{Team: "t", Level: -300, Asked: 200}}}, now, now.Add(reportFresh))
	ts.c.accounts.word = func(string) (quota.KnownState, bool) { return quota.KnownState{}, false }
	r := &coordpb.HostReport{Host: "h"}
	shares.words(r, now)
	ts.c.enter(r, now)
	s := stream()
	ts.take(s, &coordpb.TurnEvent{Id: 1, Kind: coordpb.TurnEvent_CHARGE, Team: "t", Charge: 40})
	assert.Equal(t, answers(s)[1].Kind, coordpb.TurnAnswer_OVER)
	old := &coordpb.HostReport{}
	shares.words(old, now.Add(2*wordFor))
	assert.Equal(t, len(old.TeamWords), 0, "by then the account has gained more than it lacked")
}

// A request that has not run is given back with the host's next report, and one
// whose report was lost is told again.
func TestWhatIsGivenBackIsThereAgain(t *testing.T) {
	ts, _ := bench("u")
	team := limited(ts, 1, 100)
	now := ts.c.now()
	s := stream()
	ts.take(s, charged(1, 200))
	var shares teamShares
	shares.with(team, now, func(s *quota.Share) { s.Refund(200, now) })
	for range 2 { // the first is lost
		r := &coordpb.HostReport{Host: "h"}
		shares.report(r, now)
		assert.Equal(t, r.Teams[0].Passed, int64(-200))
	}
	ts.c.accounts.told([]*coordpb.TeamUse{{Team: "t", Passed: -200}}, now)
	shares.reported()
	r := &coordpb.HostReport{Host: "h"}
	shares.report(r, now)
	assert.Equal(t, len(r.Teams), 0, "it is told once")
	ts.take(s, charged(2, 200))
	assert.Equal(t, answers(s)[2].Kind, coordpb.TurnAnswer_GRANTED)
}

// Failure: a team gets more than its limit while hosts are cut off.
func TestTheShareOfHostsThatAreNotHeardIsWithheld(t *testing.T) {
	ts, _ := bench("u")
	limited(ts, 1, 100)
	now := ts.c.now()
	ts.c.sums.take(&coordpb.HostReport{Host: "a"}, now)
	ts.c.sums.take(&coordpb.HostReport{Host: "b"}, now.Add(-2*reportFresh))
	assert.Equal(t, ts.c.sums.heard(now), 0.5)
	_, ok := ts.c.accounts.ask("t", 200, now)
	assert.Assert(t, ok)
	wait, ok := ts.c.accounts.ask("t", 100, now)
	assert.Assert(t, !ok)
	assert.Assert(t, wait > 1900*time.Millisecond && wait < 2100*time.Millisecond, "at half of the rate: %v", wait)
}

// Guards against two hosts that act, in a split, and each give out the whole of a limit.
func TestAHostThatBeginsToActLeavesThePartOfThoseItHasNotHeard(t *testing.T) {
	ts, _ := bench("u")
	ts.c.FormerHostCount = func() int { return 4 }
	now := ts.c.now()
	ts.c.beginCounts(now)
	for i, name := range []string{"a", "b", "a"} {
		ts.c.sums.take(&coordpb.HostReport{Host: name}, now)
		assert.Equal(t, ts.c.sums.heard(now), []float64{0.25, 0.5, 0.5}[i])
	}
	later := now.Add(hostFresh)
	ts.c.sums.take(&coordpb.HostReport{Host: "a"}, later)
	ts.c.sums.take(&coordpb.HostReport{Host: "b"}, later)
	assert.Equal(t, ts.c.sums.heard(later), 1.0, "the others are gone")
}

// Failure: the counting host's process is killed and back between two reports, and begins all accounts full.
func TestAHolderThatIsBackAtOnceHearsHowAccountsStood(t *testing.T) {
	ts, _ := bench("u")
	ts.c.deps.Lease = lease.New(lease.Config{Name: "l"}, lease.Deps{Table: noTable{}})
	l := NewLink(LinkConfig{Host: "h"}, ts.c, nil, ts.c.deps.Log)
	for _, c := range []struct {
		id    uint64
		begun bool
	}{{1, true}, {1, false}, {2, true}, {2, false}} {
		l.take(&coordpb.SiteState{Holding: true, QuarantineId: c.id})
		assert.Equal(t, l.mayBeNew(), c.begun)
	}
	l.lost("other", errNotHolding)
	assert.Assert(t, l.mayBeNew(), "what answers next may be another process")
}
