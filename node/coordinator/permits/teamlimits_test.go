package permits

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/event"
	"peridotpier.example/node/follow"
)

// limitTeam lets a team use perSecond tokens a second, and twice as many at once, and
// returns the configuration that says so.
func (p *Permits) limitTeam(name string, perSecond float64) *follow.ActiveConfig {
	config := follow.NewActiveConfig(event.NewLog(nil))
	limit := quota.Limit{Unit: quota.Tokens, PerSecond: perSecond, Burst: 2 * perSecond}
	config.ApplyIfNewer(&deploy.Config{Version: 1, Services: []deploy.Service{{Name: "s", Engine: &deploy.Engine{}}}, Teams: []deploy.Team{{Name: name, Limit: limit}}}, "test")
	p.deps.Accounts = accounts.New(accounts.Deps{Config: config, ReportingShare: p.deps.Reports.ReportingShare})
	return config
}

func chargedRequest(id uint64, cost uint32) *coordpb.TurnEvent {
	e := newRequestEvent(id, 1)
	e.Team, e.Charge, e.Reading = "t", cost, 0
	return e
}

// Guards against a team that gets more than its limit, or that waits for an upstream
// only to be refused.
func TestALimitIsChargedWithThePermitRequest(t *testing.T) {
	perms, _ := newTestPermits("u")
	perms.limitTeam("t", 100)
	a, b := newTestStream(), newTestStream()
	perms.Handle(a, chargedRequest(1, 150))
	perms.Handle(b, chargedRequest(1, 150))
	perms.Handle(b, &coordpb.TurnEvent{Id: 2, Kind: coordpb.TurnEvent_CHARGE, Team: "t", Charge: 40})
	perms.Handle(b, &coordpb.TurnEvent{Id: 3, Kind: coordpb.TurnEvent_CHARGE, Team: "t", Charge: 40})
	assert.Equal(t, drainAnswers(a)[1].Kind, coordpb.TurnAnswer_GRANTED)
	got := drainAnswers(b)
	assert.Equal(t, got[1].Kind, coordpb.TurnAnswer_OVER)
	assert.Assert(t, got[1].WaitMs > 900 && got[1].WaitMs <= 1001, "%d ms until 150 are available", got[1].WaitMs)
	assert.Equal(t, got[2].Kind, coordpb.TurnAnswer_GRANTED)
	assert.Equal(t, got[3].Kind, coordpb.TurnAnswer_OVER)
	perms.Handle(a, &coordpb.TurnEvent{Id: 9, Kind: coordpb.TurnEvent_CHARGE, Team: "unknown", Charge: 1 << 30})
	assert.Equal(t, drainAnswers(a)[9].Kind, coordpb.TurnAnswer_GRANTED, "the team has no limit")
}
