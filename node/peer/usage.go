package peer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/member"
	"peridotpier.example/node/event"
	"peridotpier.example/node/peer/peerpb"
)

const (
	// usageEach is how often a host of a small fleet tells its teams' use.
	usageEach = time.Second
	// usageSlower stretches that with the fleet: by as many seconds for each
	// of these hosts, so that what a host adding up hears stays bounded.
	usageSlower = 100
	// usageBuckets are the groups of teams, each added up by one host: the
	// calls of one host do not grow with the number of teams.
	usageBuckets = 4
	// usageLapse is how many intervals a host's word counts.
	usageLapse = 3
)

// TeamUse is what one host or all others are asked for by a team.
type TeamUse struct {
	Team       string
	PerSecond  float64
	Concurrent float64
}

// Usage is how hosts learn what the others use of a team's limits: each tells
// its own use to the host that adds up the team's bucket, chosen by rendezvous
// hash, and gets the others' sum back.
type Usage struct {
	// Own returns this host's use of every team that is used at all.
	Own func() []TeamUse
	// Others takes what the other hosts use, for the teams asked about.
	Others func(hosts int, teams []TeamUse)

	mu    sync.Mutex
	heard map[string]map[string]heardUse // by team, then host
}

type heardUse struct {
	use         TeamUse
	incarnation uint64
	at          time.Time
}

// bucket is the group of a team.
func bucket(team string) string {
	sum := 0
	for _, c := range []byte(team) {
		sum = (sum*31 + int(c)) % 9973
	}
	return fmt.Sprintf("usage/%d", sum%usageBuckets)
}

// interval is how often a host of a fleet of n tells its use.
func interval(n int) time.Duration {
	return usageEach + time.Duration(n)*time.Second/usageSlower
}

// take notes a host's use and answers the other hosts' sum.
func (u *Usage) take(r *peerpb.UsageReport, now time.Time) *peerpb.UsageTotals {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.heard == nil {
		u.heard = map[string]map[string]heardUse{}
	}
	out := &peerpb.UsageTotals{}
	for _, t := range r.Teams {
		hosts := u.heard[t.Team]
		if hosts == nil {
			hosts = map[string]heardUse{}
			u.heard[t.Team] = hosts
		}
		if old := hosts[r.Host]; old.incarnation <= r.Incarnation {
			hosts[r.Host] = heardUse{TeamUse{t.Team, t.RequestsPerSecond, t.Concurrent}, r.Incarnation, now}
		}
		out.Teams = append(out.Teams, u.othersLocked(t.Team, r.Host, now))
	}
	return out
}

func (u *Usage) othersLocked(team, host string, now time.Time) *peerpb.TeamUsage {
	sum := &peerpb.TeamUsage{Team: team}
	hosts := u.heard[team]
	lapse := usageLapse * interval(len(hosts))
	for name, h := range hosts {
		switch {
		case now.Sub(h.at) > lapse:
			delete(hosts, name)
		case name != host:
			sum.RequestsPerSecond += h.use.PerSecond
			sum.Concurrent += h.use.Concurrent
		}
	}
	return sum
}

// shareUsage tells this host's use and learns the others', until ctx ends.
func (m *Mesh) shareUsage(ctx context.Context) {
	for {
		live := m.Live()
		if !sleep(ctx, interval(len(live))) {
			return
		}
		if len(live) < 2 {
			continue
		}
		byBucket := map[string][]TeamUse{}
		for _, t := range m.deps.Usage.Own() {
			byBucket[bucket(t.Team)] = append(byBucket[bucket(t.Team)], t)
		}
		for b, teams := range byBucket {
			m.shareBucket(ctx, member.Rank(b, live)[0], teams, len(live))
		}
	}
}

func (m *Mesh) shareBucket(ctx context.Context, adder member.Host, teams []TeamUse, hosts int) {
	self := m.Self()
	r := &peerpb.UsageReport{Host: self.Name, Incarnation: self.Incarnation}
	slices.SortFunc(teams, func(a, b TeamUse) int { return strings.Compare(a.Team, b.Team) })
	for _, t := range teams {
		r.Teams = append(r.Teams, &peerpb.TeamUsage{Team: t.Team, RequestsPerSecond: t.PerSecond, Concurrent: t.Concurrent})
	}
	if adder.Name == self.Name {
		m.tellOthers(hosts, m.deps.Usage.take(r, m.now()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.pool.call(ctx, adder.Address, func(c peerpb.DRPCPeerClient) error {
		totals, err := c.Usage(ctx, r)
		if err == nil {
			m.tellOthers(hosts, totals)
		}
		return err
	})
	if err != nil && ctx.Err() == nil && m.traces.once("usage", m.now(), time.Minute) {
		m.deps.Log.Emit(event.PeerCallFailed, zap.String(event.FieldPeer, adder.Name), zap.String("call", "usage"), zap.Error(err))
	}
}

func (m *Mesh) tellOthers(hosts int, totals *peerpb.UsageTotals) {
	out := make([]TeamUse, len(totals.Teams))
	for i, t := range totals.Teams {
		out[i] = TeamUse{t.Team, t.RequestsPerSecond, t.Concurrent}
	}
	m.deps.Usage.Others(hosts, out)
}
