package permits

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// orderedQueue decides as permits without teams must: at one upstream that reads up to
// readingLimit prompt tokens at a time, those who wait are tried in time first, then by rank,
// then by age.
type orderedQueue struct {
	now     time.Time
	waiting []orderedRequest
	reading map[uint64]uint32 // tokens by request
	granted []uint64
}

type orderedRequest struct {
	id     uint64
	rank   int32
	prompt uint32
	asked  time.Time
	inTime time.Duration
}

const readingLimit = 3000

func (q *orderedQueue) fits(r orderedRequest) bool {
	pending := uint32(0)
	for _, tokens := range q.reading {
		pending += tokens
	}
	return pending == 0 || pending+r.prompt <= readingLimit
}

func (q *orderedQueue) grant(r orderedRequest) {
	q.reading[r.id] = r.prompt
	q.granted = append(q.granted, r.id)
}

func (q *orderedQueue) ask(r orderedRequest) {
	if q.fits(r) {
		q.grant(r)
		return
	}
	at := slices.IndexFunc(q.waiting, func(o orderedRequest) bool { return o.rank > r.rank })
	if at < 0 {
		at = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, at, r)
}

func (q *orderedQueue) read(id uint64) {
	delete(q.reading, id)
	for _, overdue := range []bool{false, true} {
		q.waiting = slices.DeleteFunc(q.waiting, func(r orderedRequest) bool {
			if (q.now.Sub(r.asked) > r.inTime-promptReadTime) != overdue || !q.fits(r) {
				return false
			}
			q.grant(r)
			return true
		})
	}
}

// Property: without teams the requests are granted by lateness, rank and age, as if there
// were no shares.
func TestWithoutTeamsRequestsAreGrantedByRankAndAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := &orderedQueue{now: time.Unix(1_700_000_000, 0), reading: map[uint64]uint32{}}
		f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return want.now }})
		f.Apply([]deploy.Upstream{{ID: "u", Service: "s", Address: "u", Slots: 64, Residents: []deploy.Resident{{Model: "m"}}}}, nil, 0)
		perms := newPermitsOver(f, func() time.Time { return want.now })
		from := newTestStream()
		var granted []uint64
		for id := range uint64(rapid.IntRange(1, 45).Draw(t, "events")) {
			want.now = want.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if len(want.reading) == 0 || rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				r := orderedRequest{id: id, rank: int32(rapid.IntRange(0, 3).Draw(t, "rank")), prompt: uint32(rapid.IntRange(500, 4000).Draw(t, "prompt")),
					asked: want.now, inTime: time.Duration(rapid.IntRange(200, 2000).Draw(t, "in time")) * time.Millisecond}
				want.ask(r)
				e := newRequestEvent(id, r.rank)
				e.Prompt, e.Reading, e.InTimeMs = r.prompt, readingLimit, uint32(r.inTime.Milliseconds())
				perms.Handle(from, e)
			} else {
				all := slices.Sorted(maps.Keys(want.reading))
				end := rapid.SampledFrom(all).Draw(t, "read")
				want.read(end)
				perms.Handle(from, &coordpb.TurnEvent{Id: end, Kind: coordpb.TurnEvent_FIRST})
			}
			granted = append(granted, grantsOf(from)...)
			assert.Equal(t, fmt.Sprint(granted), fmt.Sprint(want.granted))
			assert.Equal(t, perms.waiting.Len(), len(want.waiting))
		}
	})
}

// grantsOf returns the requests that were granted to a host since the last call, in order.
func grantsOf(s *Stream) (out []uint64) {
	for {
		select {
		case a := <-s.out:
			if a.Kind == coordpb.TurnAnswer_GRANTED {
				out = append(out, a.Id)
			}
		default:
			return out
		}
	}
}

// Guards against a permit that is granted twice, or to a host that is gone, and against
// upstreams that stay unused, when a host is lost with requests granted and hundreds waiting.
func TestWhatALostHostWaitedForIsDropped(t *testing.T) {
	perms, _ := newTestPermits("u", "v")
	lost, other := newTestStream(), newTestStream()
	for id := range uint64(400) {
		e := newRequestEvent(id, int32(id%3))
		e.Account = fmt.Sprint("team-", id%5)
		perms.Handle([]*Stream{lost, other}[id%2], e)
	}
	var open []uint64
	open = append(open, grantsOf(other)...)
	grantsOf(lost)
	perms.RemoveStream(lost)
	perms.Maintain()
	seen := map[uint64]bool{}
	for {
		open = append(open, grantsOf(other)...)
		if len(open) == 0 {
			break
		}
		for _, id := range open {
			assert.Assert(t, !seen[id] && id%2 == 1, "%d", id)
			seen[id] = true
			perms.Handle(other, &coordpb.TurnEvent{Id: id, Kind: coordpb.TurnEvent_END})
		}
		open = nil
	}
	assert.Equal(t, len(seen), 200)
	assert.Equal(t, len(grantsOf(lost)), 0)
	assert.Equal(t, perms.waiting.Len(), 0)
	assert.Equal(t, len(perms.waiting.byStream), 0)
}

// Guards against requests that are granted out of a queue that the hosts have left: the
// coordinator loses its hosts while hundreds wait, they decide by themselves, and it acts
// again a moment later.
func TestNothingIsGrantedOutOfAnEarlierTerm(t *testing.T) {
	perms, _ := newTestPermits("u")
	before := []*Stream{newTestStream(), newTestStream()}
	for id := range uint64(300) {
		perms.Handle(before[id%2], newRequestEvent(id, 1))
	}
	for _, s := range before {
		grantsOf(s)
		perms.RemoveStream(s)
	}
	perms.Reset()
	again := newTestStream()
	perms.Handle(again, newRequestEvent(7, 1))
	assert.DeepEqual(t, grantsOf(again), []uint64{7})
	perms.Maintain()
	for _, s := range before {
		assert.Equal(t, len(grantsOf(s)), 0)
	}
}

// Guards against a request that is tried for an event at an upstream that lacks its model,
// so that hundreds of such requests use up the tries of the event.
func TestRequestsForOtherModelsDoNotKeepAnUpstreamIdle(t *testing.T) {
	perms, f := newTestPermits("u")
	f.Apply([]deploy.Upstream{{ID: "w", Service: "s", Address: "w", Slots: 4, Residents: []deploy.Resident{{Model: "other"}}}}, nil, 0)
	s := newTestStream()
	for id := range uint64(300) {
		e := newRequestEvent(id, 0)
		e.Model = "other"
		perms.Handle(s, e)
	}
	perms.Handle(s, newRequestEvent(1000, 1))
	perms.Handle(s, newRequestEvent(1001, 1))
	grantsOf(s)
	perms.Handle(s, &coordpb.TurnEvent{Id: 1000, Kind: coordpb.TurnEvent_FIRST})
	assert.DeepEqual(t, grantsOf(s), []uint64{1001})
}

// Guards against callers that wait in vain for as long as they can, and then return all at
// once: what is hopeless is refused when it arrives, and those who are told return one after
// the other, in the order in which they were told.
func TestHopelessRequestsAreToldWhenToReturn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }})
	f.Apply([]deploy.Upstream{{ID: "u", Service: "s", Address: "u", Slots: 64, Residents: []deploy.Resident{{Model: "m"}}}}, nil, 0)
	perms := newPermitsOver(f, func() time.Time { return now })
	s := newTestStream()
	id := uint64(0)
	ask := func(rank int32) *coordpb.TurnAnswer {
		e := newRequestEvent(id, rank)
		e.PatienceMs = 800
		perms.Handle(s, e)
		got := drainAnswers(s)[id]
		id++
		return got
	}
	reading := uint64(0)
	assert.Equal(t, ask(1).Kind, coordpb.TurnAnswer_GRANTED)
	for range 30 { // 3 s of work: hopeless, but nothing was observed
		assert.Equal(t, ask(1).Kind, coordpb.TurnAnswer_QUEUED)
	}
	for range 15 { // one prompt in 100 ms
		now = now.Add(100 * time.Millisecond)
		perms.Handle(s, &coordpb.TurnEvent{Id: reading, Kind: coordpb.TurnEvent_FIRST})
		reading = grantsOf(s)[0]
	}
	for range 2 {
		assert.Equal(t, ask(1).Kind, coordpb.TurnAnswer_QUEUED, "1.6 s may become 0.8")
	}
	last := uint32(0)
	for range 10 {
		a := ask(1)
		assert.Equal(t, a.Kind, coordpb.TurnAnswer_NONE)
		assert.Assert(t, a.WaitMs >= last+90 && (last == 0 || a.WaitMs <= last+110), "%d ms after %d", a.WaitMs, last)
		last = a.WaitMs
	}
	assert.Equal(t, ask(0).Kind, coordpb.TurnAnswer_QUEUED, "nothing is ahead of it")
}
