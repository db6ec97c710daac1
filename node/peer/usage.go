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
	// baseUsageInterval is the interval at which a host of a very small fleet
	// reports its usage.
	baseUsageInterval = time.Second
	// hostsPerExtraSecond is the number of hosts for which the interval grows by
	// one second, so that the rate of reports to one aggregator stays bounded.
	hostsPerExtraSecond = 100
	// usageBuckets is the number of buckets into which keys are hashed. One host
	// aggregates each bucket, so that the number of a host's calls does not grow
	// with the number of teams or models.
	usageBuckets = 4
	// usageTTLIntervals is the number of intervals for which a host's report
	// counts.
	usageTTLIntervals = 3
)

// UsageEntry is one host's usage under a key, or the total of the other hosts, as
// two quantities: a team's requests per second and concurrent requests, or a model's
// demand over a short and a long time.
type UsageEntry struct {
	Key  string
	A, B float64
}

// UsageExchange gives hosts totals over all hosts: each team's use of its limits,
// and the demand for each model. Each host reports its own usage to the host that
// aggregates the key's bucket, chosen by rendezvous hashing, and gets the total of
// the other hosts in return.
type UsageExchange struct {
	// Own returns this host's usage for every key of which it wants the total.
	Own func() []UsageEntry
	// OnTotals receives the totals over the other hosts for some of these keys.
	// hosts is the number of live hosts, this one included.
	OnTotals func(hosts int, totals []UsageEntry)

	mu       sync.Mutex
	reported map[string]map[string]reportedUsage // by key, then host
}

type reportedUsage struct {
	a, b        float64
	incarnation uint64
	at          time.Time
}

// bucketOf returns the bucket of a key.
func bucketOf(key string) string {
	return fmt.Sprintf("usage/%d", xxhash.Sum64String(key)%usageBuckets)
}

// usageInterval returns the interval at which a host reports its usage in a fleet of
// n hosts.
func usageInterval(n int) time.Duration {
	return baseUsageInterval + time.Duration(n)*time.Second/hostsPerExtraSecond
}

// handleReport records a host's usage and returns the totals of the other hosts.
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

// totalOfOthersLocked returns the total under a key of all hosts but one. It deletes
// expired reports.
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

// shareUsage reports this host's usage and fetches the totals of the others, at
// intervals until ctx ends.
func (m *Mesh) shareUsage(ctx context.Context) {
	for {
		live := m.LiveHosts()
		if !pace.Sleep(ctx, usageInterval(len(live))) {
			return
		}
		if len(live) == 0 {
			continue // this host is draining and knows no other
		}
		byBucket := map[string][]UsageEntry{}
		for _, s := range m.deps.Usage.Own() {
			byBucket[bucketOf(s.Key)] = append(byBucket[bucketOf(s.Key)], s)
		}
		for b, entries := range byBucket {
			m.shareBucket(ctx, member.Rendezvous(b, live), entries, len(live))
		}
	}
}

// shareBucket exchanges the entries of one bucket with its aggregator, which may be
// this host.
func (m *Mesh) shareBucket(ctx context.Context, aggregator member.Host, entries []UsageEntry, hosts int) {
	self := m.Self()
	r := &peerpb.UsageReport{Host: self.Name, Incarnation: self.Incarnation}
	for _, s := range entries {
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
