package permits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// pacedUpstreams are engines that read one prompt in a time each; the permits' clock is
// theirs.
type pacedUpstreams struct {
	perms  *Permits
	host   *Stream
	now    time.Time
	takes  map[string]time.Duration // to read a prompt, by upstream
	stated map[string]uint32        // what they state, in percent; 0: nothing
	fails  map[string]bool          // those that fail all requests
	served map[string]int
	nextID uint64
}

func newPacedUpstreams(takes map[string]time.Duration) *pacedUpstreams {
	u := &pacedUpstreams{host: newTestStream(), now: time.Unix(1_700_000_000, 0), takes: takes, stated: map[string]uint32{}, served: map[string]int{}}
	now := func() time.Time { return u.now }
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: now})
	var all []deploy.Upstream
	for id := range takes {
		all = append(all, deploy.Upstream{ID: id, Service: "s", Address: id, Slots: 4, Residents: []deploy.Resident{{Model: "m"}}})
	}
	f.Apply(all, nil, 0)
	u.perms = newPermitsOver(f, now)
	return u
}

// serve has n requests served one after the other, so that each finds all upstreams idle.
func (u *pacedUpstreams) serve(t *testing.T, n int, except ...string) {
	for range n {
		u.nextID++
		ask := newRequestEvent(u.nextID, 0)
		ask.Tried = except
		u.perms.Handle(u.host, ask)
		a := drainAnswers(u.host)[u.nextID]
		assert.Equal(t, a.Kind, coordpb.TurnAnswer_GRANTED)
		u.served[a.Upstream]++
		u.now = u.now.Add(u.takes[a.Upstream])
		u.perms.Handle(u.host, &coordpb.TurnEvent{Id: u.nextID, Kind: coordpb.TurnEvent_FIRST, Success: !u.fails[a.Upstream], Slowdown: u.stated[a.Upstream]})
		u.now = u.now.Add(50 * time.Millisecond)
		u.perms.Handle(u.host, &coordpb.TurnEvent{Id: u.nextID, Kind: coordpb.TurnEvent_END})
	}
}

// Guards against an upstream that states to be slow and gets as many requests as the
// others, also if only some hosts pass on what it states.
func TestAnUpstreamThatStatesToBeSlowGetsLess(t *testing.T) {
	u := newPacedUpstreams(map[string]time.Duration{"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": 250 * time.Millisecond})
	u.stated = map[string]uint32{"a": 100, "b": 100, "c": 250}
	u.serve(t, 60)
	assert.Assert(t, u.served["c"] > 0 && u.served["c"] < u.served["a"]/2, "%v", u.served)
}

// Guards against an upstream that is slow without stating it: its times tell.
func TestAnUpstreamThatTakesLongerGetsLess(t *testing.T) {
	u := newPacedUpstreams(map[string]time.Duration{"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": 300 * time.Millisecond})
	u.serve(t, 120)
	assert.Assert(t, u.served["c"] > 0 && u.served["c"] < u.served["a"]/2, "%v", u.served)
}

// Guards against an upstream that fails requests at once, seems the fastest of all, and is
// sent ever more of them.
func TestAnUpstreamThatFailsAtOnceDoesNotSeemFast(t *testing.T) {
	u := newPacedUpstreams(map[string]time.Duration{"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": 5 * time.Millisecond})
	u.fails = map[string]bool{"c": true}
	u.serve(t, 120)
	e, _ := u.perms.deps.Fleet.Entry("c")
	assert.Equal(t, e.Speed(u.now).Learnt, 1.0)
	assert.Assert(t, u.served["c"] < 60, "%v", u.served)
}

// Guards against a slowdown that is counted twice, as stated and as learnt.
func TestAStatedSlowdownIsNotLearntBesides(t *testing.T) {
	u := newPacedUpstreams(map[string]time.Duration{"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": 200 * time.Millisecond})
	u.stated = map[string]uint32{"a": 100, "b": 100, "c": 200}
	for range 20 {
		u.serve(t, 4)
		u.serve(t, 1, "a", "b")
	}
	for id := range u.takes {
		e, _ := u.perms.deps.Fleet.Entry(id)
		learnt, _ := e.LearntSpeed(u.now)
		assert.Equal(t, learnt, 0.0, id)
	}
}

// Guards against upstreams of equal speed that are found to differ.
func TestUpstreamsOfEqualSpeedAreNotFoundToDiffer(t *testing.T) {
	takes := map[string]time.Duration{}
	for i := range 8 {
		takes[fmt.Sprint("u", i)] = 100 * time.Millisecond
	}
	u := newPacedUpstreams(takes)
	for range 50 {
		u.serve(t, 10)
		for id := range takes {
			e, _ := u.perms.deps.Fleet.Entry(id)
			assert.Equal(t, e.Endpoint(&fleet.Request{}, u.now).Slowdown, 0.0, id)
		}
	}
	w := &request{event: newRequestEvent(0, 0), needs: fleet.Request{Model: "m"}}
	assert.Equal(t, u.perms.usualTimes(w, u.now), balance.Times{}, "so that the decisions are those of equal upstreams")
}

// Guards against a call that was given up, or failed at once, and makes its upstream seem
// fast; and against times that include the wait for others there.
func TestOnlyCompleteCallsTellTheSpeed(t *testing.T) {
	u := newPacedUpstreams(nil)
	u.perms.deps.Fleet.Apply([]deploy.Upstream{{ID: "a", Service: "p", Address: "a", Slots: 1}, {ID: "b", Service: "p", Address: "b", Slots: 1}}, nil, 0)
	call := func(took time.Duration, complete bool) string {
		u.nextID++
		u.perms.Handle(u.host, &coordpb.TurnEvent{Id: u.nextID, Kind: coordpb.TurnEvent_ASK, Service: "p", InTimeMs: 60_000})
		at := drainAnswers(u.host)[u.nextID].Upstream
		u.now = u.now.Add(took)
		u.perms.Handle(u.host, &coordpb.TurnEvent{Id: u.nextID, Kind: coordpb.TurnEvent_END, Complete: complete})
		return at
	}
	for range 40 {
		call(20*time.Millisecond, true)
	}
	for range 40 {
		call(time.Millisecond, false)
	}
	for _, id := range []string{"a", "b"} {
		e, _ := u.perms.deps.Fleet.Entry(id)
		assert.Equal(t, e.Speed(u.now).Learnt, 1.0, id)
	}
	slow := call(60*time.Millisecond, true)
	for range 60 {
		if call(20*time.Millisecond, true) == slow {
			u.now = u.now.Add(40 * time.Millisecond)
		}
	}
	e, _ := u.perms.deps.Fleet.Entry(slow)
	assert.Assert(t, e.Speed(u.now).Learnt >= 1)
}
