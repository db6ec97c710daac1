package permits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// Guards against a large prompt that waits for ever, though it is the first: small ones fit
// beside those that are being read, one begins before the last is read, and the upstream never
// reads nothing.
func TestALargePromptHasItsTurn(t *testing.T) {
	for _, teams := range []bool{false, true} {
		perms, _ := newTestPermits("u")
		if teams {
			perms.deps.Config = follow.NewActiveConfig(event.NewLog(nil))
			perms.deps.Config.ApplyIfNewer(&deploy.Config{Version: 1, Teams: []deploy.Team{{Name: "large"}, {Name: "small"}}}, "test")
		}
		s := newTestStream()
		ask := func(id uint64, team string, prompt uint32) {
			e := newRequestEvent(id, 1)
			e.Account, e.Prompt, e.Reading = team, prompt, 3000
			perms.Handle(s, e)
		}
		ask(1, "small", 1000)
		ask(2, "small", 1000)
		ask(1000, "large", 2900)
		reading := grantsOf(s)
		assert.DeepEqual(t, reading, []uint64{1, 2})
		small := 0
		for id := uint64(3); id < 40 && len(reading) > 0; id++ {
			ask(id, "small", 1000)
			perms.Handle(s, &coordpb.TurnEvent{Id: reading[0], Kind: coordpb.TurnEvent_END})
			reading = append(reading[1:], grantsOf(s)...)
			if reading[len(reading)-1] == 1000 {
				break
			}
			small++
		}
		isRead := len(reading) > 0 && reading[len(reading)-1] == 1000
		assert.Equal(t, isRead, teams, "after %d small ones", small)
		if teams {
			assert.Assert(t, float64(small) <= maxPassedOver*2900/1000+3, "after %d small ones", small)
		}
	}
}

// Guards against an upstream that is idle since it is kept for a request whose model has left
// it, or that can no longer be answered in time.
func TestAnUpstreamIsNotKeptForARequestThatItCannotServe(t *testing.T) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	hold := func(version uint64, models ...string) {
		u := deploy.Upstream{ID: "u", Service: "s", Address: "u", Slots: 4}
		for _, m := range models {
			u.Residents = append(u.Residents, deploy.Resident{Model: m})
		}
		f.Apply([]deploy.Upstream{u}, nil, version)
	}
	hold(1, "m", "n")
	perms := newPermitsOver(f, time.Now)
	perms.deps.Config = follow.NewActiveConfig(event.NewLog(nil))
	perms.deps.Config.ApplyIfNewer(&deploy.Config{Version: 1, Teams: []deploy.Team{{Name: "large"}, {Name: "small"}}}, "test")
	s := newTestStream()
	ask := func(id uint64, team, model string, prompt uint32) {
		e := newRequestEvent(id, 1)
		e.Model, e.Account, e.Prompt, e.Reading, e.InTimeMs = model, team, prompt, 3000, 60_000
		perms.Handle(s, e)
	}
	ask(1, "small", "n", 1000)
	ask(2, "small", "n", 1000)
	ask(1000, "large", "m", 2900)
	reading := grantsOf(s)
	for id := uint64(3); id < 60 && perms.large.kept["u"] == nil; id++ {
		ask(id, "small", "n", 1000)
		perms.Handle(s, &coordpb.TurnEvent{Id: reading[0], Kind: coordpb.TurnEvent_END})
		reading = append(reading[1:], grantsOf(s)...)
	}
	assert.Assert(t, perms.large.kept["u"] != nil)
	hold(2, "n")
	for _, r := range reading {
		perms.Handle(s, &coordpb.TurnEvent{Id: r, Kind: coordpb.TurnEvent_END})
	}
	ask(500, "small", "n", 1000)
	perms.Maintain()
	assert.Assert(t, perms.large.kept["u"] == nil)
	assert.Assert(t, perms.grants["u"].load.Requests > 0)
}
