package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"peridotpier.example/core/member"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/peer/peerpb"
)

const (
	// baseUsageInterval is how often a host of a small fleet tells its parts.
	baseUsageInterval = time.Second
	// hostsPerExtraSecond stretches that with the fleet: by as many seconds for each
	// of these hosts, so that what a host adding up hears stays bounded.
	hostsPerExtraSecond = 100
	// usageBuckets are the groups of keys, each added up by one host: the
	// calls of one host do not grow with the number of teams or models.
	usageBuckets = 4
	// usageTTLIntervals is how many intervals a host's word counts.
	usageTTLIntervals = 3
)

// UsageEntry is one host's part, or the others' sum, of two quantities under a key.
type UsageEntry struct {
	Key  string
	A, B float64
}

// UsageExchange is how hosts learn sums over all hosts: a team's use of its limits, a
// model's demand. Each host tells its part to the one that adds up the key's
// bucket, chosen by rendezvous hash, and gets the others' sum back.
type UsageExchange struct {
	// Own returns this host's part of every key that it wants the sum of.
	Own func() []UsageEntry
	// Others takes the sums over the other hosts, for the keys asked about.
	OnTotals func(hosts int, sums []UsageEntry)

	mu       sync.Mutex
	reported map[string]map[string]reportedUsage // by key, then host
}

type reportedUsage struct {
	a, b        float64
	incarnation uint64
	at          time.Time
}

// bucketOf is the group of a key.
func bucketOf(key string) string {
	return fmt.Sprintf("usage/%d", xxhash.Sum64String(key)%usageBuckets)
}

// usageInterval is how often a host of a fleet of n tells its use.
func usageInterval(n int) time.Duration {
	return baseUsageInterval + time.Duration(n)*time.Second/hostsPerExtraSecond
}

// handleReport notes a host's use and answers the other hosts' sum.
func (u *UsageExchange) handleReport(r *peerpb.UsageReport, now time.Time) *peerpb.UsageTotals {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reported == nil {
		u.reported = map[string]map[string]reportedUsage{}
	}
	out := &peerpb.UsageTotals{}
	for _, s := range r.Sums {
		hosts := u.reported[s.Key]
		if hosts == nil {
			hosts = map[string]reportedUsage{}
			u.reported[s.Key] = hosts
		}
		if old := hosts[r.Host]; old.incarnation <= r.Incarnation {
			hosts[r.Host] = reportedUsage{s.A, s.B, r.Incarnation, now}
		}
		out.Sums = append(out.Sums, u.totalOfOthersLocked(s.Key, r.Host, now))
	}
	return out
}

func (u *UsageExchange) totalOfOthersLocked(key, host string, now time.Time) *peerpb.Sum {
	sum := &peerpb.Sum{Key: key}
	hosts := u.reported[key]
	ttl := usageTTLIntervals * usageInterval(len(hosts))
	for name, h := range hosts {
		switch {
		case now.Sub(h.at) > ttl:
			delete(hosts, name)
		case name != host:
			sum.A += h.a
			sum.B += h.b
		}
	}
	return sum
}

// shareUsage tells this host's parts and learns the others', until ctx ends.
func (m *Mesh) shareUsage(ctx context.Context) {
	for {
		live := m.LiveHosts()
		if !pace.Sleep(ctx, usageInterval(len(live))) {
			return
		}
		if len(live) == 0 {
			continue // this host leaves and knows no other
		}
		byBucket := map[string][]UsageEntry{}
		for _, s := range m.deps.Usage.Own() {
			byBucket[bucketOf(s.Key)] = append(byBucket[bucketOf(s.Key)], s)
		}
		for b, sums := range byBucket {
			m.shareBucket(ctx, member.Rendezvous(b, live), sums, len(live))
		}
	}
}

func (m *Mesh) shareBucket(ctx context.Context, aggregator member.Host, sums []UsageEntry, hosts int) {
	self := m.Self()
	r := &peerpb.UsageReport{Host: self.Name, Incarnation: self.Incarnation}
	for _, s := range sums {
		r.Sums = append(r.Sums, &peerpb.Sum{Key: s.Key, A: s.A, B: s.B})
	}
	if aggregator.Name == self.Name {
		m.deliverTotals(hosts, m.deps.Usage.handleReport(r, m.now()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.conns.call(ctx, aggregator.Address, func(c peerpb.DRPCPeerClient) error {
		totals, err := c.Usage(ctx, r)
		if err == nil {
			m.deliverTotals(hosts, totals)
		}
		return err
	})
	if err != nil && m.timestamps.allow("usage", m.now(), time.Minute) {
		m.deps.Log.Emit(event.PeerCallFailed, zap.String(event.FieldPeer, aggregator.Name), zap.String("call", "usage"), zap.Error(err))
	}
}

func (m *Mesh) deliverTotals(hosts int, totals *peerpb.UsageTotals) {
	out := make([]UsageEntry, len(totals.Sums))
	for i, s := range totals.Sums {
		out[i] = UsageEntry{s.Key, s.A, s.B}
	}
	m.deps.Usage.OnTotals(hosts, out)
}
