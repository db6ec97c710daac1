package coordinator

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

const (
	// reportFresh is how long a host's report counts: a few of its periods, so
	// that one lost report does not hide its load.
	reportFresh = 1500 * time.Millisecond
	// hostFresh is how long a host counts as one that shares the allowance of
	// repeats. Long, since a host that is cut off goes on spending its share.
	hostFresh = 20 * time.Second
)

// sums adds up the hosts' loads.
type sums struct {
	mu    sync.Mutex
	hosts map[string]*hostLoads
}

type hostLoads struct {
	at     time.Time
	report *coordpb.HostReport
	loads  map[string]fleet.Load
}

func newSums() *sums { return &sums{hosts: map[string]*hostLoads{}} }

// take replaces one host's loads.
func (s *sums) take(r *coordpb.HostReport, now time.Time) {
	h := &hostLoads{at: now, report: r, loads: make(map[string]fleet.Load, len(r.Loads))}
	for _, l := range r.Loads {
		h.loads[l.Upstream] = fleet.Load{Requests: int(l.Requests), Waiting: int(l.Waiting), Tokens: int(l.Tokens)}
	}
	s.mu.Lock()
	s.hosts[r.Host] = h
	s.mu.Unlock()
}

// others adds up the loads of all hosts but one, and counts the hosts.
func (s *sums) others(host string, now time.Time) (map[string]fleet.Load, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, hosts := map[string]fleet.Load{}, 0
	for name, h := range s.hosts {
		age := now.Sub(h.at)
		if age > hostFresh {
			delete(s.hosts, name)
			continue
		}
		hosts++
		if name == host || age > reportFresh {
			continue
		}
		for id, l := range h.loads {
			t := total[id]
			total[id] = fleet.Load{Requests: t.Requests + l.Requests, Waiting: t.Waiting + l.Waiting, Tokens: t.Tokens + l.Tokens}
		}
	}
	return total, hosts
}

// suspectHosts is how many hosts must leave an upstream alone for all to do so.
// One may only have lost its own way to it.
const suspectHosts = 2

// suspects are the upstreams that several hosts leave alone. A host that has
// just found one dark tells within a report's period, and spares the others
// what they would send there until they notice themselves.
func (s *sums) suspects(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	words := map[string]int{}
	out := map[string]bool{}
	for _, h := range s.hosts {
		if now.Sub(h.at) > suspectFresh {
			continue
		}
		for _, id := range h.report.Silent {
			words[id]++
			out[id] = words[id] >= suspectHosts
		}
	}
	return out
}

// suspectFresh is how long one word counts: two reports.
const suspectFresh = 500 * time.Millisecond

// deputiesMost is how many hosts may run for the lease at once when it falls
// free: enough that some are left after a data centre is lost.
const deputiesMost = 5

// deputies names the hosts that should take the lease next: those with most to
// spare, the same for all that ask.
func (s *sums) deputies(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ample, other []string
	for _, h := range s.hosts {
		if now.Sub(h.at) > reportFresh || h.report.Address == "" {
			continue
		}
		if h.report.Ample {
			ample = append(ample, h.report.Address)
		} else {
			other = append(other, h.report.Address)
		}
	}
	sort.Slice(ample, func(i, j int) bool { return xxhash.Sum64String(ample[i]) < xxhash.Sum64String(ample[j]) })
	sort.Strings(other)
	all := append(ample, other...)
	return all[:min(len(all), deputiesMost)]
}
