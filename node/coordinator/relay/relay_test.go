package relay

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/coordtest"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// clock is the time of a test's relay.
type clock struct{ now time.Time }

func newFleet(k *clock) *fleet.Fleet {
	return fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return k.now }})
}

// newEmptyRelay returns a relay of an empty list, which was not read yet.
func newEmptyRelay(k *clock) *Relay {
	f, config := newFleet(k), follow.NewActiveConfig(event.NewLog(nil))
	return New(Deps{Fleet: f, Config: config, Feed: follow.New(follow.Deps{Config: config, Upstreams: f}), Now: func() time.Time { return k.now }})
}

// newTestRelay returns a relay of a list of upstreams that have three models
// each resident, and of a configuration with so many models.
func newTestRelay(k *clock, upstreams, models int) *Relay {
	y := newEmptyRelay(k)
	y.deps.Config.ApplyIfNewer(coordtest.Config(models), "test")
	y.deps.Fleet.Apply(coordtest.Upstreams(upstreams, models), nil, 1)
	y.deps.Feed.ApplyRelay(follow.Relay{UpstreamsVersion: 1})
	return y
}

// Guards against hosts that get no permits for half a second after each new version of
// the configuration and decide by themselves: 195 hosts ask for a version with 340
// models within one period of their reports, and it is sent uncompressed, 44 kB to each
// of them, over the link that permits use.
func TestAConfigurationIsSentPacked(t *testing.T) {
	y := newTestRelay(&clock{}, 12, 340)
	table := y.deps.Config.Current()
	plain, packed := &coordpb.SiteState{}, &coordpb.SiteState{}
	assert.NilError(t, y.relayConfig(&coordpb.HostReport{}, plain), "a host of an earlier release")
	assert.NilError(t, y.relayConfig(&coordpb.HostReport{Packed: true}, packed))
	assert.Assert(t, 5*proto.Size(packed) < proto.Size(plain), "%d of %d", proto.Size(packed), proto.Size(plain))
	for _, s := range []*coordpb.SiteState{plain, packed} {
		got, err := DecodeConfig(s)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, table.Config)
	}
	none := &coordpb.SiteState{}
	assert.NilError(t, y.relayConfig(&coordpb.HostReport{Packed: true, Config: 1}, none))
	got, err := DecodeConfig(none)
	assert.Assert(t, err == nil && got == nil, "the host has it")
	_, err = DecodeConfig(&coordpb.SiteState{PackedConfig: []byte("no document")})
	assert.Assert(t, err != nil)
}

// An encoding belongs to one upstream at one state of the list.
func TestAnUpstreamIsEncodedAnewWhenItHasChanged(t *testing.T) {
	var e encodings
	encode := func(slots int, since uint64) string {
		out, err := e.upstreams([]fleet.Listed{{Upstream: deploy.Upstream{ID: "u", Slots: slots}, Revision: since}})
		assert.NilError(t, err)
		back, err := DecodeUpstreams(out)
		assert.NilError(t, err)
		return fmt.Sprint(back[0].Slots)
	}
	assert.Equal(t, encode(4, 1), "4")
	assert.Equal(t, encode(8, 2), "8")
	assert.Equal(t, encode(8, 2), "8")
}

// Guards against 0.3 GB over the coordinator's link when 299 hosts start together: the
// list of 3,000 upstreams was sent to each of them as text.
func TestACompleteListIsSentPacked(t *testing.T) {
	y := newTestRelay(&clock{}, 900, 720)
	plain, packed, again := &coordpb.SiteState{}, &coordpb.SiteState{}, &coordpb.SiteState{}
	assert.NilError(t, y.AddTo(&coordpb.HostReport{}, plain), "a host of an earlier release")
	assert.NilError(t, y.AddTo(&coordpb.HostReport{PackedList: true}, packed))
	assert.NilError(t, y.AddTo(&coordpb.HostReport{PackedList: true}, again))
	const slowLink = 10_000_000 / 8 // bytes a second
	maxBytes := int(wire.ReportTimeout.Seconds() * slowLink * 900 / 3000)
	assert.Assert(t, proto.Size(packed) < maxBytes, "%d bytes: a list of 3,000 must arrive in the time of a report", proto.Size(packed))
	assert.Assert(t, proto.Size(plain) > maxBytes)
	assert.Assert(t, &packed.PackedList[0] == &again.PackedList[0], "it is packed once for all hosts that ask at the same time")
	assert.Assert(t, packed.ListFull && packed.List > 0)
	of := func(s *coordpb.SiteState) map[string]string {
		all, err := decodeUpstreams(s)
		assert.NilError(t, err)
		out := map[string]string{}
		for _, u := range all {
			out[u.ID] = u.Address
		}
		return out
	}
	assert.DeepEqual(t, of(plain), of(packed))
	_, err := decodeUpstreams(&coordpb.SiteState{PackedList: []byte("no list")})
	assert.Assert(t, err != nil)
}

// Guards against complete lists that all arrive too late: where all hosts ask at the
// same time, as many get one at a time as the coordinator's link carries.
func TestCompleteListsAreSentWithinTheLinksCapacity(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	y := newTestRelay(k, 2000, 698)
	y.deps.LinkMbps = 100
	sent := 0
	const second = 100
	for range second {
		for range 50 {
			out := &coordpb.SiteState{}
			assert.NilError(t, y.AddTo(&coordpb.HostReport{PackedList: true}, out))
			assert.Equal(t, out.ListAt > 0, len(out.PackedList) > 0, "a host that gets no list must ask again")
			sent += len(out.PackedList)
		}
		k.now = k.now.Add(time.Second / second)
	}
	const bytesOfLink = 100e6 / 8
	assert.Assert(t, float64(sent) > 0.3*bytesOfLink && float64(sent) < 0.7*bytesOfLink, "%d bytes in a second", sent)
}

// listFollower applies what it receives of a list, and nothing else.
type listFollower struct {
	of    *fleet.Fleet
	state uint64
}

// poll asks once, at any state, and reports whether it got the complete list.
func (f *listFollower) poll(t assert.TestingT, y *Relay) (complete bool) {
	r, out := &coordpb.HostReport{Host: "h", List: f.state, BriefList: true, PackedList: true}, &coordpb.SiteState{PeriodMs: 1000}
	assert.NilError(t, y.AddTo(r, out))
	assert.Assert(t, out.ListBrief && len(out.Put) == 0)
	put, removed, err := DecodeList(out)
	assert.NilError(t, err)
	if out.ListFull {
		f.of.Replace(put, out.ListAt)
	} else {
		f.of.Apply(put, removed, out.ListAt)
	}
	f.state = out.List
	return out.ListFull
}

// Property: whichever upstreams appear, drain, restart and are removed, and however
// seldom a host asks, it knows which exist and which are draining once it has asked.
func TestACompactListShowsWhichUpstreamsAppearDrainAndAreRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := &clock{time.Unix(1_700_000_000, 0)}
		y := newEmptyRelay(k)
		version := uint64(1)
		y.deps.Feed.ApplyRelay(follow.Relay{UpstreamsVersion: version})
		hosts := []*listFollower{{of: newFleet(k)}, {of: newFleet(k)}}
		born, left := map[string]int64{}, map[string]bool{} // left: drained or removed; a draining process does not become ready again
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			k.now = k.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause_ms")) * time.Millisecond)
			id := coordtest.Upstream(rapid.IntRange(0, 3).Draw(t, "upstream"))
			version++
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				y.deps.Fleet.Apply(nil, []string{id}, version)
				left[id] = true
			case 1:
				y.deps.Fleet.Apply([]deploy.Upstream{{ID: id, Service: "s", Born: born[id], State: deploy.Draining}}, nil, version)
				left[id] = true
			case 2:
				if left[id] || rapid.Bool().Draw(t, "starts again") {
					born[id]++
				}
				left[id] = false
				y.deps.Fleet.Apply([]deploy.Upstream{{ID: id, Service: "s", Born: born[id], State: deploy.Ready,
					Residents: []deploy.Resident{{Model: coordtest.Model(rapid.IntRange(0, 3).Draw(t, "model"))}}}}, nil, version)
			default:
				f := hosts[rapid.IntRange(0, 1).Draw(t, "host")]
				k.now = k.now.Add(publishInterval)
				f.poll(t, y)
				assert.DeepEqual(t, usableIncarnations(f.of), usableIncarnations(y.deps.Fleet))
			}
		}
	})
}

// usableIncarnations returns the incarnations of the upstreams that may get work.
func usableIncarnations(f *fleet.Fleet) map[string]int64 {
	out := map[string]int64{}
	for _, e := range f.All() {
		if e.Usable() {
			out[e.ID()] = e.StartedMs()
		}
	}
	return out
}

// fleetHosts is the number of hosts of the largest deployment that is served.
const fleetHosts = 986

// Guards against a thousand hosts that are each sent thousands of new upstreams as
// text, and against complete lists where changes would do.
func TestSimultaneousNewUpstreamsArePackedOnceForAllHosts(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	y := newTestRelay(k, 4000, 698)
	answer := func(from uint64) *coordpb.SiteState {
		out := &coordpb.SiteState{PeriodMs: 1000}
		assert.NilError(t, y.AddTo(&coordpb.HostReport{List: from, BriefList: true, PackedList: true}, out))
		return out
	}
	all := y.deps.Fleet.ChangesSince(0, false).Put
	from := answer(0).List
	for i := range all {
		all[i].ID, all[i].Address = "new-"+all[i].ID, "new-"+all[i].Address
	}
	for part := range 8 {
		k.now = k.now.Add(publishInterval)
		y.deps.Fleet.Apply(listedUpstreams(all[part*500:(part+1)*500], false), nil, uint64(part+2))
		answer(from)
	}
	a, b := answer(from), answer(from)
	assert.Assert(t, !a.ListFull && len(a.PackedChanges) == 8)
	assert.Assert(t, &a.PackedChanges[0][0] == &b.PackedChanges[0][0], "the changes are packed once for all hosts")
	const within, listBytes = 5, ListShare * 1e9 / 8 // seconds; bytes per second of a link of one gigabit
	assert.Assert(t, float64(proto.Size(a)*fleetHosts) < within*listBytes, "%d bytes for each host", proto.Size(a))
}
