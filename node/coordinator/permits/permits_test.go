package permits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/accounts"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/coordinator/reports"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// newTestPermits returns the permits of a coordinator over upstreams that have the
// model m resident.
func newTestPermits(upstreams ...string) (*Permits, *fleet.Fleet) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	var all []deploy.Upstream
	for _, id := range upstreams {
		all = append(all, deploy.Upstream{ID: id, Service: "s", Address: id, Slots: 4, Residents: []deploy.Resident{{Model: "m"}}})
	}
	f.Apply(all, nil, 0)
	return newPermitsOver(f, time.Now), f
}

// newPermitsOver returns the permits for a fleet, whose services are all plain ones.
func newPermitsOver(f *fleet.Fleet, now func() time.Time) *Permits {
	config, log := follow.NewActiveConfig(event.NewLog(nil)), event.NewLog(nil)
	r := reports.New(reports.Config{RunsModels: func(string) bool { return false }})
	return New(Deps{Fleet: f, Log: log, Reports: r, Accounts: accounts.New(accounts.Deps{Config: config, ReportingShare: r.ReportingShare}),
		Speeds: demand.NewSpeeds(), Engine: func(string) *deploy.Engine { return nil }, Config: config, Now: now})
}

func newTestStream() *Stream { return NewStream(func() {}) }

func newRequestEvent(id uint64, priority int32) *coordpb.TurnEvent {
	return &coordpb.TurnEvent{Id: id, Kind: coordpb.TurnEvent_ASK, Service: "s", Model: "m", Prompt: 2000, Output: 20, Priority: priority, Reading: 3000, InTimeMs: 60_000}
}

// drainAnswers receives the answers sent so far and returns the last one of each
// request by ID.
func drainAnswers(s *Stream) map[uint64]*coordpb.TurnAnswer {
	out := map[uint64]*coordpb.TurnAnswer{}
	for {
		select {
		case a := <-s.out:
			out[a.Id] = a
		default:
			return out
		}
	}
}

// Guards against streams that stall while an engine reads the prompts of several hosts:
// two hosts send at the same time because each counts only its own requests, and the
// upstream has read neither prompt.
func TestAPromptWaitsUntilTheOneBeforeItIsRead(t *testing.T) {
	perms, _ := newTestPermits("u")
	a, b := newTestStream(), newTestStream()
	perms.Handle(a, newRequestEvent(1, 1))
	perms.Handle(b, newRequestEvent(1, 2))
	perms.Handle(b, newRequestEvent(2, 0))
	assert.Equal(t, drainAnswers(a)[1].Kind, coordpb.TurnAnswer_GRANTED)
	got := drainAnswers(b)
	assert.Equal(t, got[1].Kind, coordpb.TurnAnswer_QUEUED)
	assert.Equal(t, got[2].Kind, coordpb.TurnAnswer_QUEUED)
	perms.Handle(a, &coordpb.TurnEvent{Id: 1, Kind: coordpb.TurnEvent_FIRST})
	got = drainAnswers(b)
	assert.Equal(t, got[2].Kind, coordpb.TurnAnswer_GRANTED, "the more urgent one first, though it came later")
	assert.Assert(t, got[1] == nil)
	perms.Handle(b, &coordpb.TurnEvent{Id: 2, Kind: coordpb.TurnEvent_END})
	assert.Equal(t, drainAnswers(b)[1].Kind, coordpb.TurnAnswer_GRANTED)
}

// Guards against an upstream that counts as full forever: a host is killed with
// requests granted and waiting, and its load is never released.
func TestTheLoadOfADisconnectedHostIsReleased(t *testing.T) {
	perms, _ := newTestPermits("u")
	a, b := newTestStream(), newTestStream()
	for i := range uint64(3) {
		perms.Handle(a, newRequestEvent(i, 1))
	}
	perms.Handle(b, newRequestEvent(9, 1))
	assert.Equal(t, drainAnswers(b)[9].Kind, coordpb.TurnAnswer_QUEUED)
	perms.RemoveStream(a)
	perms.Maintain()
	assert.Equal(t, drainAnswers(b)[9].Kind, coordpb.TurnAnswer_GRANTED)
	perms.RemoveStream(b)
	assert.Equal(t, perms.grants["u"].load, fleet.Load{})
}

// Guards against requests that are granted at an upstream that other hosts found
// unresponsive: two hosts exclude it, a third asks, and the coordinator uses only what
// it granted itself.
func TestAnUpstreamThatTwoHostsExcludeGetsNoPermits(t *testing.T) {
	perms, _ := newTestPermits("dark", "sound")
	for _, host := range []string{"h1", "h2"} {
		perms.deps.Reports.Record(&coordpb.HostReport{Host: host, Silent: []string{"dark"}}, perms.deps.Now())
	}
	a := newTestStream()
	for i := range uint64(3) {
		perms.Handle(a, newRequestEvent(i, 1))
		perms.Handle(a, &coordpb.TurnEvent{Id: i, Kind: coordpb.TurnEvent_FIRST})
	}
	for id, got := range drainAnswers(a) {
		assert.Equal(t, got.Upstream, "sound", "%d", id)
	}
}

// Property: whatever events arrive in whatever order, the load granted at an upstream
// is what was not released, and all of it is released in the end.
func TestGrantedLoadsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perms, _ := newTestPermits("u1", "u2")
		streams := []*Stream{newTestStream(), newTestStream()}
		for i := range rapid.IntRange(1, 80).Draw(t, "events") {
			s := streams[rapid.IntRange(0, 1).Draw(t, "stream")]
			id := uint64(rapid.IntRange(0, 12).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				perms.Handle(s, newRequestEvent(uint64(100+i), int32(i%3)))
			case 1:
				perms.Handle(s, &coordpb.TurnEvent{Id: 100 + id, Kind: coordpb.TurnEvent_FIRST})
			case 2:
				perms.Handle(s, &coordpb.TurnEvent{Id: 100 + id, Kind: coordpb.TurnEvent_END})
			default:
				perms.Maintain()
			}
			requests := 0
			for _, p := range perms.grants {
				requests += p.load.Requests
				assert.Assert(t, p.load.PendingPromptTokens >= 0 && p.load.PendingPromptTokens <= p.load.Tokens)
			}
			assert.Equal(t, requests, len(perms.granted))
		}
		for _, s := range streams {
			perms.RemoveStream(s)
		}
		for id, p := range perms.grants {
			assert.Equal(t, p.load, fleet.Load{}, id)
		}
		assert.Equal(t, perms.waiting.Len(), 0)
	})
}

// Guards against a coordinator that takes a complete core while requests wait: dozens
// wait, and each event of any host makes it try all of them at all upstreams, though
// the event can have changed only one.
func TestOnlyTheUpstreamWhereARequestEndedIsTried(t *testing.T) {
	perms, f := newTestPermits("a", "b")
	s := newTestStream()
	for i := range uint64(2) {
		perms.Handle(s, newRequestEvent(i, 1))
	}
	perms.Handle(s, newRequestEvent(2, 1))
	got := drainAnswers(s)
	assert.Equal(t, got[2].Kind, coordpb.TurnAnswer_QUEUED)
	// "b" accepts more than was known when the request was queued: an event at "a" does
	// not show it.
	ended, other := got[0].Upstream, got[1].Upstream
	perms.grants[other].load = fleet.Load{}
	e, _ := f.Entry(ended)
	e.MarkNotResident("m", "")
	perms.Handle(s, &coordpb.TurnEvent{Id: 0, Kind: coordpb.TurnEvent_END})
	assert.Assert(t, drainAnswers(s)[2] == nil, "it was not tried elsewhere, and not refused for what one upstream lacks")
	perms.Maintain()
	assert.Equal(t, drainAnswers(s)[2].Upstream, other)
}

// Guards against all hosts sending to an upstream that has crashed, each until it has
// noticed by itself: one host finds nothing listening there, and the coordinator learns
// of it only from reports.
func TestAnUpstreamThatIsNotListeningGetsNoPermits(t *testing.T) {
	perms, _ := newTestPermits("u", "v")
	a := newTestStream()
	perms.Handle(a, newRequestEvent(1, 1))
	first := drainAnswers(a)[1].Upstream
	perms.Handle(a, &coordpb.TurnEvent{Id: 1, Kind: coordpb.TurnEvent_ABSENT})
	for i := uint64(2); i < 6; i++ {
		perms.Handle(a, newRequestEvent(i, 1))
		next := drainAnswers(a)[i]
		assert.Assert(t, next.Upstream != "" && next.Upstream != first)
		perms.Handle(a, &coordpb.TurnEvent{Id: i, Kind: coordpb.TurnEvent_FIRST})
		perms.Handle(a, &coordpb.TurnEvent{Id: i, Kind: coordpb.TurnEvent_END})
	}
	assert.Equal(t, perms.grants[first].load, fleet.Load{})
}
