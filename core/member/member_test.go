package member_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/member"
)

func hostRecord(t *rapid.T) member.Host {
	inc := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	return member.Host{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"), Incarnation: inc, Process: fmt.Sprint(inc),
		Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence"), State: member.State(rapid.IntRange(0, 3).Draw(t, "state"))}
}

// upstreamRecord draws records as upstreams cause them: one report of one process
// means the same to every host that reads it.
func upstreamRecord(t *rapid.T) member.Upstream {
	process := rapid.IntRange(1, 3).Draw(t, "process")
	seq := rapid.Uint64Range(1, 4).Draw(t, "sequence")
	return member.Upstream{Name: rapid.SampledFrom([]string{"u", "v"}).Draw(t, "upstream"), Incarnation: fmt.Sprint(process),
		FirstSeenMs: uint64(1000*process) + rapid.Uint64Range(0, 20).Draw(t, "lag"), Sequence: seq, Draining: seq >= 3,
		Residents: []string{fmt.Sprintf("m%d-%d", process, seq)}}
}

// Guards against hosts that received the same records but act differently, and
// against a host that comes back after it left. Records arrive late, repeated and
// in any order; the newest must win, not the one that arrived last.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfN(rapid.Custom(hostRecord), 0, 20).Draw(t, "hosts")
		upstreams := rapid.SliceOfN(rapid.Custom(upstreamRecord), 0, 20).Draw(t, "upstreams")
		h1, u1 := member.NewHosts(), member.NewUpstreams()
		for _, w := range hosts {
			h1.Merge(w)
		}
		for _, w := range upstreams {
			u1.Merge(w)
		}
		h2, u2 := member.NewHosts(), member.NewUpstreams()
		for _, w := range append(rapid.Permutation(hosts).Draw(t, "other order"), hosts...) {
			h2.Merge(w)
		}
		for _, w := range append(rapid.Permutation(upstreams).Draw(t, "other order"), upstreams...) {
			u2.Merge(w)
		}
		assert.DeepEqual(t, h1.All(), h2.All())
		assert.DeepEqual(t, u1.All(), u2.All())
		assert.Equal(t, h1.Digest(), h2.Digest())
		assert.Equal(t, u1.Digest(), u2.Digest())
	})
}

func TestADrainingHostOfTheSameProcessNeverComesBack(t *testing.T) {
	s := member.NewHosts()
	assert.Assert(t, s.Merge(member.Host{Name: "a", Incarnation: 1, Sequence: 2, State: member.Draining}))
	assert.Assert(t, !s.Merge(member.Host{Name: "a", Incarnation: 1, Sequence: 1, State: member.Alive}))
	assert.Assert(t, s.Merge(member.Host{Name: "a", Incarnation: 2, State: member.Alive}))
}

func fleet(n int) []member.Host {
	out := make([]member.Host, n)
	for i := range out {
		out[i] = member.Host{Name: fmt.Sprintf("h%03d", i), DataCentre: fmt.Sprintf("dc%d", i%7)}
	}
	return out
}

// Guards against changes that never reach some hosts after every tenth host has
// failed at once, because the links of the remaining hosts do not connect them.
func TestLinksConnectWhatIsLeftOfAFleet(t *testing.T) {
	hosts := slices.DeleteFunc(fleet(420), func(h member.Host) bool { return h.Name[3] == '5' })
	next := map[string][]string{}
	for _, h := range hosts {
		links := member.ChooseLinks(h, hosts, 3, 3)
		assert.Equal(t, len(links), 6)
		for _, l := range links {
			next[h.Name] = append(next[h.Name], l.Name)
			next[l.Name] = append(next[l.Name], h.Name)
		}
	}
	reached, frontier, hops := map[string]bool{hosts[0].Name: true}, []string{hosts[0].Name}, 0
	for ; len(frontier) > 0; hops++ {
		var far []string
		for _, h := range frontier {
			for _, n := range next[h] {
				if !reached[n] {
					reached[n] = true
					far = append(far, n)
				}
			}
		}
		frontier = far
	}
	assert.Equal(t, len(reached), len(hosts))
	assert.Assert(t, hops <= 6, "%d hops", hops)
}

func TestEveryUpstreamHasItsWatchers(t *testing.T) {
	hosts := fleet(42)
	watchers := map[string]*member.Assignment{}
	for _, h := range hosts {
		watchers[h.Name] = member.NewAssignment(h.Name, hosts)
	}
	for u := range 100 {
		name, dc := fmt.Sprint("u", u), fmt.Sprintf("dc%d", u%8) // dc7 has no host
		near, far := 0, 0
		for _, h := range hosts {
			if watchers[h.Name].Watches(name, dc) {
				if h.DataCentre == dc {
					near++
				} else {
					far++
				}
			}
		}
		assert.Equal(t, far, 1)
		if dc != "dc7" {
			assert.Equal(t, near, 2)
		}
	}
}

func TestIsAmongFirstAgreesWithRendezvous(t *testing.T) {
	hosts := fleet(42)
	for k := range 50 {
		key := fmt.Sprint("planner/", k)
		var ranked []member.Host
		for left := slices.Clone(hosts); len(left) > 0; {
			first := member.Rendezvous(key, left)
			ranked = append(ranked, first)
			left = slices.DeleteFunc(left, func(h member.Host) bool { return h.Name == first.Name })
		}
		for i, h := range ranked {
			assert.Equal(t, member.NewAssignment(h.Name, hosts).IsAmongFirst(key, 2), i < 2, "%s place %d", key, i)
		}
	}
}

// BenchmarkWatches measures one host's choice of the upstreams that it watches,
// at the design size.
func BenchmarkWatches(b *testing.B) {
	hosts := fleet(420)
	names := make([]string, 2500)
	for i := range names {
		names[i] = fmt.Sprint("up-", i)
	}
	for b.Loop() {
		w := member.NewAssignment(hosts[0].Name, hosts)
		for i, n := range names {
			w.Watches(n, fmt.Sprintf("dc%d", i%7))
		}
	}
}
