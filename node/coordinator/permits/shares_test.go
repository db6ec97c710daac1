package permits

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// Figures of the play: upstreams that read one prompt at a time, and callers that wait for a
// permit as long as a response could begin in time.
const (
	playUpstreams   = 4
	playMsPerToken  = 1 / 20.4
	playMaxWait     = 800 * time.Millisecond
	playWarmup      = 3 * time.Second // until queues and speeds are as they stay
	playTime        = 30 * time.Second
	playUsualTeams  = 15
	playFlood       = 7.0 // times its usual
	playCapacity    = 0.6 // of what all ask for
	playRequestSize = 2000
)

// playTeam is a team of the play.
type playTeam struct {
	name      string
	perSecond float64
	served    int
	next      time.Time
}

// sharePlay is a run of permits without a network.
type sharePlay struct {
	now       time.Time
	perms     *Permits
	from      *Stream
	random    *rand.Rand
	teams     []*playTeam
	byTeam    bool // whether requests name their teams
	requests  []*playRequest
	waiting   map[uint64]*playRequest
	reading   map[string][]*playRequest
	busySteps int
	steps     int
}

type playRequest struct {
	id     uint64
	team   *playTeam
	tokens int
	until  time.Time // until its caller waits, then until it is read
}

func newPlay(byTeam bool, teams []*playTeam) *sharePlay {
	p := &sharePlay{now: time.Unix(1_700_000_000, 0), from: newTestStream(), random: rand.New(rand.NewPCG(1, 2)), teams: teams, byTeam: byTeam,
		waiting: map[uint64]*playRequest{}, reading: map[string][]*playRequest{}}
	clock := func() time.Time { return p.now }
	f := fleet.New(fleet.Config{}, fleet.Deps{Now: clock})
	var all []deploy.Upstream
	for i := range playUpstreams {
		id := fmt.Sprint("u", i)
		all = append(all, deploy.Upstream{ID: id, Service: "s", Address: id, Slots: 64, Residents: []deploy.Resident{{Model: "m"}}})
	}
	f.Apply(all, nil, 0)
	p.perms = newPermitsOver(f, clock)
	for _, t := range teams {
		t.next = p.now.Add(time.Duration(p.random.ExpFloat64() / t.perSecond * float64(time.Second)))
	}
	return p
}

func (p *sharePlay) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(time.Millisecond) {
		p.arrive()
		p.answers()
		p.read()
		for id, r := range p.waiting {
			if !p.now.Before(r.until) {
				delete(p.waiting, id)
				p.perms.Handle(p.from, &coordpb.TurnEvent{Id: id, Kind: coordpb.TurnEvent_END})
			}
		}
		p.answers()
	}
}

func (p *sharePlay) arrive() {
	for _, t := range p.teams {
		for !t.next.After(p.now) {
			t.next = t.next.Add(time.Duration(p.random.ExpFloat64() / t.perSecond * float64(time.Second)))
			r := &playRequest{id: uint64(len(p.requests)), team: t, tokens: playRequestSize, until: p.now.Add(playMaxWait)}
			p.requests = append(p.requests, r)
			p.waiting[r.id] = r
			e := newRequestEvent(r.id, 1)
			e.Prompt, e.Reading, e.InTimeMs = uint32(r.tokens), playRequestSize, 1000
			if p.byTeam {
				e.Account = t.name
			}
			p.perms.Handle(p.from, e)
		}
	}
}

func (p *sharePlay) answers() {
	for id, a := range drainAnswers(p.from) {
		r := p.requests[id]
		if p.waiting[id] == nil || a.Kind == coordpb.TurnAnswer_QUEUED {
			continue
		}
		delete(p.waiting, id)
		if a.Kind == coordpb.TurnAnswer_GRANTED {
			p.reading[a.Upstream] = append(p.reading[a.Upstream], r)
			r.until = p.now.Add(time.Duration(float64(r.tokens) * playMsPerToken * float64(time.Millisecond)))
		}
	}
}

func (p *sharePlay) read() {
	for _, id := range []string{"u0", "u1", "u2", "u3"} {
		p.steps++
		if len(p.reading[id]) == 0 {
			continue
		}
		p.busySteps++
		if r := p.reading[id][0]; !p.now.Before(r.until) {
			p.reading[id] = p.reading[id][1:]
			r.team.served++
			p.perms.Handle(p.from, &coordpb.TurnEvent{Id: r.id, Kind: coordpb.TurnEvent_FIRST})
			p.perms.Handle(p.from, &coordpb.TurnEvent{Id: r.id, Kind: coordpb.TurnEvent_END})
		}
	}
}

// floodedTeams returns 15 usual teams of several sizes and one that sends seven times its
// usual, so that there is room for 0.6 of what all ask for.
func floodedTeams() []*playTeam {
	capacity := playUpstreams / (playRequestSize * playMsPerToken) * 1000
	var teams []*playTeam
	sum := 0.0
	for i := range playUsualTeams {
		teams = append(teams, &playTeam{name: fmt.Sprint("usual-", i), perSecond: 0.4 + 0.04*float64(i)})
		sum += teams[i].perSecond
	}
	teams = append(teams, &playTeam{name: "flood", perSecond: playFlood})
	sum += playFlood
	for _, t := range teams {
		t.perSecond *= capacity / playCapacity / sum
	}
	return teams
}

// fairShares returns what each team would be served a second if capacity were divided
// evenly among those that ask for more than their part.
func fairShares(teams []*playTeam, capacity float64) map[string]float64 {
	sorted := slices.Clone(teams)
	slices.SortFunc(sorted, func(a, b *playTeam) int { return int(1e6 * (a.perSecond - b.perSecond)) })
	out := map[string]float64{}
	for i, t := range sorted {
		out[t.name] = min(t.perSecond, capacity/float64(len(sorted)-i))
		capacity -= out[t.name]
	}
	return out
}

// Guards against usual teams that lose most of their requests while another one sends seven
// times its usual: places in the queue are by age, and it has most of them.
func TestAFloodTakesNothingFromTeamsBelowTheirShare(t *testing.T) {
	capacity := playUpstreams / (playRequestSize * playMsPerToken) * 1000
	worst := map[bool]float64{}
	for _, byTeam := range []bool{false, true} {
		teams := floodedTeams()
		p := newPlay(byTeam, teams)
		p.run(playWarmup)
		p.busySteps, p.steps = 0, 0
		arrived := map[*playTeam]int{}
		for _, team := range teams {
			team.served = 0
		}
		before := len(p.requests)
		p.run(playTime)
		for _, r := range p.requests[before:] {
			arrived[r.team]++
		}
		for _, team := range teams { // what arrived, not what was drawn from
			team.perSecond = float64(arrived[team]) / playTime.Seconds()
		}
		shares := fairShares(teams, capacity)
		worst[byTeam] = 1
		for _, team := range teams {
			due := shares[team.name] * playTime.Seconds()
			got := float64(team.served) / due
			t.Logf("by team %t: %-8s asked for %3d, was due %3.0f, served %3d: %.2f", byTeam, team.name, arrived[team], due, team.served, got)
			if team.name != "flood" {
				worst[byTeam] = min(worst[byTeam], got)
			}
		}
		used := float64(p.busySteps) / float64(p.steps)
		t.Logf("by team %t: room used %.3f, least share %.2f", byTeam, used, worst[byTeam])
		assert.Assert(t, used >= 0.98, "room used: %.3f", used)
	}
	assert.Assert(t, worst[true] >= 0.95, "a usual team got %.2f of what it was due", worst[true])
	assert.Assert(t, worst[false] < worst[true])
}

// apply puts a configuration with teams in force.
func (p *sharePlay) apply(version uint64, weights map[string]float64) {
	if p.perms.deps.Config == nil {
		p.perms.deps.Config = follow.NewActiveConfig(p.perms.deps.Log)
	}
	c := &deploy.Config{Version: version}
	for name, w := range weights {
		c.Teams = append(c.Teams, deploy.Team{Name: name, Weight: w})
	}
	p.perms.deps.Config.ApplyIfNewer(c, "test")
}

// Guards against a changed weight that is not in force until the coordinator changes, and
// against one that never is because a team's requests wait without a break.
func TestAChangedWeightIsInForceAtTheNextGrant(t *testing.T) {
	teams := []*playTeam{{name: "a", perSecond: 60}, {name: "b", perSecond: 60}}
	p := newPlay(true, teams)
	p.apply(1, map[string]float64{"a": 1, "b": 1})
	p.run(playWarmup)
	served := func(d time.Duration) float64 {
		for _, team := range teams {
			team.served = 0
		}
		p.run(d)
		return float64(teams[0].served) / float64(teams[1].served)
	}
	even := served(10 * time.Second)
	assert.Assert(t, even > 0.9 && even < 1.1, "%.2f", even)
	p.apply(2, map[string]float64{"a": 3, "b": 1})
	p.run(time.Second)
	tripled := served(10 * time.Second)
	assert.Assert(t, tripled > 2.7 && tripled < 3.3, "%.2f", tripled)
}

// Guards against a team that is granted much without waiting and then goes first as well,
// because only those who wait are counted.
func TestWhatIsGrantedWithoutWaitingCounts(t *testing.T) {
	perms, _ := newTestPermits("u")
	s := newTestStream()
	ask := func(id uint64, team string) {
		e := newRequestEvent(id, 1)
		e.Account = team
		perms.Handle(s, e)
	}
	for id := range uint64(20) {
		ask(id, "busy")
		perms.Handle(s, &coordpb.TurnEvent{Id: id, Kind: coordpb.TurnEvent_END})
	}
	ask(100, "busy")
	ask(101, "busy")
	ask(102, "other")
	grantsOf(s)
	perms.Handle(s, &coordpb.TurnEvent{Id: 100, Kind: coordpb.TurnEvent_END})
	assert.DeepEqual(t, grantsOf(s), []uint64{102})
}
