package permits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// play simulates 47 models with 2 to 20 engines each, or 110 with 2 to 8.
func play(models int, perSecond float64, off bool, oneWay time.Duration) simResult {
	s := newEngineSim(simConfig{seed: 1, perSecond: perSecond, span: 5 * time.Second, engines: 140, models: models, dataCentres: 4, oneWay: oneWay, off: off})
	s.run()
	return s.result()
}

// Guards against streams that pause since large prompts are read beside them, and against
// a way to avoid it that costs others their answers in time. The last line is the
// present way without any time on the way between coordinator, hosts and engines.
func TestPromptsAndLongStreamsAreKeptApart(t *testing.T) {
	const oneWay = 4500 * time.Microsecond
	for _, load := range []struct {
		models    int
		perSecond float64
	}{{47, 500}, {47, 900}, {110, 500}, {110, 1200}} {
		off, on := play(load.models, load.perSecond, true, oneWay), play(load.models, load.perSecond, false, oneWay)
		t.Logf("%d models, %.0f/s, off: %s", load.models, load.perSecond, off)
		t.Logf("%d models, %.0f/s, on: %s", load.models, load.perSecond, on)
		if load.models == 47 && load.perSecond == 500 {
			assert.Assert(t, on.pausedLong < 0.6*off.pausedLong, "many engines to choose from")
		}
		assert.Assert(t, on.inAim > off.inAim-simError)
	}
	t.Logf("110 models, 1200/s, off, no way: %s", play(110, 1200, true, 0))
}

// simError is how far the share of answers in aim of two plays may lie apart by chance:
// three times its standard error among 4,000 requests, of which one in ten is late.
const simError = 0.015

// bounded is a request whose response may pause for 400 ms.
func bounded(id uint64) *coordpb.TurnEvent {
	e := newRequestEvent(id, 1)
	e.PauseBoundMs, e.InTimeMs = 400, 1000
	return e
}

// newTimedPermits returns permits with a clock that the test moves.
func newTimedPermits(upstreams ...string) (*Permits, *time.Time) {
	now := time.Unix(1_700_000_000, 0)
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }})
	var all []deploy.Upstream
	for _, id := range upstreams {
		all = append(all, deploy.Upstream{ID: id, Service: "s", Address: id, Slots: 48, Residents: []deploy.Resident{{Model: "m"}}})
	}
	f.Apply(all, nil, 0)
	p := newPermitsOver(f, func() time.Time { return now })
	p.deps.AfterFunc = func(time.Duration, func()) {}
	return p, &now
}

// Guards against large prompts that go where streams run, while an engine without any is
// free.
func TestALargePromptGoesWhereNoStreamPauses(t *testing.T) {
	p, now := newTimedPermits("a", "b")
	s := newTestStream()
	for id := range uint64(6) { // streams at one of the two
		e := bounded(id)
		e.Tried = []string{"b"}
		p.Handle(s, e)
		*now = now.Add(200 * time.Millisecond)
		p.Handle(s, &coordpb.TurnEvent{Id: id, Kind: coordpb.TurnEvent_FIRST})
	}
	large := bounded(10)
	large.Prompt, large.Warm = 6000, []string{"a"}
	p.Handle(s, large)
	got := drainAnswers(s)[10]
	assert.Equal(t, got.Upstream, "b")
	assert.Equal(t, got.LatePermille, uint32(0))
}

// Guards against an upstream that gets nothing more after the reports of first events are
// lost, or since the host that would send them is frozen, while its stream stays open.
func TestAFrozenHostDoesNotHoldAnUpstream(t *testing.T) {
	p, now := newTimedPermits("u")
	frozen, sound := newTestStream(), newTestStream()
	p.Handle(frozen, bounded(1))
	p.Handle(sound, bounded(2))
	assert.Equal(t, drainAnswers(sound)[2].Kind, coordpb.TurnAnswer_QUEUED)
	*now = now.Add(900 * time.Millisecond) // 8 times the 100 ms that the prompt takes
	p.Maintain()
	assert.Equal(t, drainAnswers(sound)[2].Kind, coordpb.TurnAnswer_GRANTED)
	p.RemoveStream(frozen)
	p.RemoveStream(sound)
	assert.Equal(t, p.grants["u"].load, fleet.Load{})
	assert.Equal(t, p.grants["u"].pipeline.NumPrompts(), 0)
}

// Guards against prompts of an earlier process that count at its successor, which has the
// same name: their requests end with an error each.
func TestARestartedUpstreamIsIdle(t *testing.T) {
	p, _ := newTimedPermits("u")
	s := newTestStream()
	for id := range uint64(3) {
		p.Handle(s, bounded(id))
	}
	p.Handle(s, &coordpb.TurnEvent{Id: 0, Kind: coordpb.TurnEvent_FIRST})
	for id := range uint64(3) {
		p.Handle(s, &coordpb.TurnEvent{Id: id, Kind: coordpb.TurnEvent_END})
	}
	assert.Equal(t, p.grants["u"].pipeline.NumPrompts(), 0)
	assert.Equal(t, p.grants["u"].pipeline.NumStreams(), 0)
}

// Property: where no response states a bound of its pauses, an endpoint is described as
// without pipelines, whatever happened before.
func TestWithoutPauseBoundsDecisionsAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := newTimedPermits("u1", "u2")
		s := newTestStream()
		for id := range uint64(rapid.IntRange(1, 30).Draw(t, "requests")) {
			e := newRequestEvent(id, 1)
			e.Prompt = uint32(rapid.IntRange(0, 5000).Draw(t, "prompt"))
			p.Handle(s, e)
			*now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			p.Handle(s, &coordpb.TurnEvent{Id: uint64(rapid.IntRange(0, int(id)).Draw(t, "of")), Kind: coordpb.TurnEvent_Kind(rapid.IntRange(1, 2).Draw(t, "kind"))})
			asked := &request{event: newRequestEvent(99, 0), needs: fleet.Request{Model: "m"}, askedAt: *now, perToken: 50 * time.Microsecond}
			for _, upstream := range []string{"u1", "u2"} {
				entry, _ := p.deps.Fleet.Entry(upstream)
				got, pending := p.endpoint(entry, asked, *now), 0
				if u := p.grants[upstream]; u != nil {
					pending = u.load.PendingPromptTokens
				}
				assert.Equal(t, got.LateStreams, 0.0)
				assert.Equal(t, got.PendingPromptTokens, pending)
				assert.Equal(t, balance.Check(&got, &balance.Request{Model: "m", PromptTokens: 2000, MaxPendingPromptTokens: 3000}) == balance.AllPrefilling, pending > 0 && pending+2000 > 3000)
			}
		}
	})
}

// Guards against an upstream that is idle while a request waits for it, behind dozens of
// requests for models of other upstreams.
func TestRequestsForOtherUpstreamsDoNotHoldOneBack(t *testing.T) {
	p, _ := newTimedPermits("busy", "idle")
	p.deps.Engine = func(string) *deploy.Engine { return &deploy.Engine{EventTokens: 1} }
	entry, _ := p.deps.Fleet.Entry("idle")
	entry.MarkNotResident("m", "")
	p.deps.Fleet.Apply([]deploy.Upstream{
		{ID: "busy", Service: "s", Address: "busy", Slots: 48, Residents: []deploy.Resident{{Model: "m"}}},
		{ID: "idle", Service: "s", Address: "idle", Slots: 48, Residents: []deploy.Resident{{Model: "other"}}},
	}, nil, 0)
	s := newTestStream()
	ask := func(id uint64, model string) {
		e := bounded(id)
		e.Model = model
		p.Handle(s, e)
	}
	ask(0, "other")
	for id := range uint64(100) {
		ask(100+id, "m")
	}
	ask(1, "other")
	assert.Equal(t, drainAnswers(s)[1].Kind, coordpb.TurnAnswer_QUEUED)
	p.Handle(s, &coordpb.TurnEvent{Id: 0, Kind: coordpb.TurnEvent_FIRST})
	assert.Equal(t, drainAnswers(s)[1].Upstream, "idle")
}
