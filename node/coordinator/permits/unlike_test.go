package permits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// Guards against an engine of which only one states a slowdown, and that counts as slower
// than it is: what it states was learnt from its times as well.
func TestAnUpstreamThatAloneStatesASlowdownIsNotLearntBesides(t *testing.T) {
	u := newPacedUpstreams(map[string]time.Duration{"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": 300 * time.Millisecond})
	u.stated = map[string]uint32{"c": 300}
	for range 40 {
		u.serve(t, 8)
		u.serve(t, 1, "a", "b")
	}
	e, _ := u.perms.deps.Fleet.Entry("c")
	got := e.Speed(u.now).Expected
	assert.Assert(t, got > 2.4 && got < 3.6, "%.1f", got)
}

// Guards against a frozen engine that gets prompts without end, since each of them counts as
// read some time after its grant.
func TestAFrozenEngineGetsOnePromptAtATime(t *testing.T) {
	const room, prompt = 2000, 300
	p, now := newTimedPermits("a")
	s := newTestStream()
	ask := func(id uint64) {
		e := bounded(id)
		e.Prompt, e.Reading = prompt, room
		p.Handle(s, e)
	}
	for id := range uint64(20) {
		ask(id + 1)
		*now = now.Add(55 * time.Millisecond)
		p.Handle(s, &coordpb.TurnEvent{Id: id + 1, Kind: coordpb.TurnEvent_FIRST})
		p.Handle(s, &coordpb.TurnEvent{Id: id + 1, Kind: coordpb.TurnEvent_END, Complete: true})
		*now = now.Add(50 * time.Millisecond)
	}
	for id := range uint64(50) {
		ask(1000 + id)
		drainAnswers(s)
		*now = now.Add(20 * time.Millisecond)
	}
	assert.Assert(t, p.grants["a"].load.PendingPromptTokens <= room+3*prompt, "%d tokens", p.grants["a"].load.PendingPromptTokens)
}

// Guards against callers that are sent to another data centre, since the way of the reports
// from there counted as slowness of the upstreams.
func TestTheWayBetweenDataCentresIsNoSlowness(t *testing.T) {
	const roundTrip, work = 20 * time.Millisecond, 12 * time.Millisecond
	now := time.Unix(1_700_000_000, 0)
	f := fleet.New(fleet.Config{DataCentre: "d1"}, fleet.Deps{Now: func() time.Time { return now }})
	f.Apply([]deploy.Upstream{{ID: "near", Service: "s", Address: "n", Slots: 4, DataCentre: "d1"}, {ID: "near2", Service: "s", Address: "n2", Slots: 4, DataCentre: "d1"},
		{ID: "far", Service: "s", Address: "f", Slots: 4, DataCentre: "d2"}}, nil, 0)
	p := newPermitsOver(f, func() time.Time { return now })
	p.deps.RoundTrip = func(string, string) time.Duration { return roundTrip }
	s := newTestStream()
	home, all := 0, 0
	for id := range uint64(900) {
		from := []string{"d2", "d1", "d1"}[id%3]
		p.Handle(s, &coordpb.TurnEvent{Id: id + 1, Kind: coordpb.TurnEvent_ASK, Service: "s", DataCentre: from, InTimeMs: 1, Warm: []string{"near", "near2", "far"}})
		granted := drainAnswers(s)[id+1]
		assert.Equal(t, granted.Kind, coordpb.TurnAnswer_GRANTED)
		took := work
		if from == "d2" {
			took += roundTrip
		}
		if e, _ := f.Entry(granted.Upstream); e.DataCentre() != from {
			took += roundTrip
		}
		if from == "d2" && id > 300 {
			all++
			if granted.Upstream == "far" {
				home++
			}
		}
		now = now.Add(took)
		p.Handle(s, &coordpb.TurnEvent{Id: id + 1, Kind: coordpb.TurnEvent_END, Complete: true})
		now = now.Add(5 * time.Millisecond)
	}
	assert.Assert(t, home*10 >= all*9, "%d of %d", home, all)
	far, _ := f.Entry("far")
	assert.Assert(t, far.Speed(now).Learnt < 1.15, "%.2f", far.Speed(now).Learnt)
}
