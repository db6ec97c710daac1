package route

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/class"
)

var testKey = ModelKey{Model: "m"}

// snapshotOf returns a snapshot of endpoints that all have testKey.
func snapshotOf(endpoints ...Endpoint) *Snapshot {
	s := &Snapshot{Endpoints: endpoints, ByModel: map[ModelKey][]int32{}, ByPool: map[string][]int32{}}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Upstream == "" {
			e.Upstream = "u" + strconv.Itoa(i)
		}
		if e.Ready == nil {
			e.Ready = map[ModelKey]bool{testKey: true}
		}
		if e.MaxBatch == 0 {
			e.MaxBatch = 8
		}
		e.IdleStepMs, e.PrefillMs = 20, 100
		s.ByModel[testKey] = append(s.ByModel[testKey], int32(i))
		s.ByPool["p"] = append(s.ByPool["p"], int32(i))
	}
	return s
}

func TestPickAppliesTheFilters(t *testing.T) {
	other := map[ModelKey]bool{{Model: "x"}: true}
	cases := []struct {
		name      string
		endpoints []Endpoint
		request   Request
		index     int
		reason    Reason
	}{
		{"no endpoint has the model", nil, Request{Key: testKey}, -1, NoReplica},
		{"leaving", []Endpoint{{Draining: true}, {}}, Request{Key: testKey}, 1, Found},
		{"down", []Endpoint{{Down: true}, {}}, Request{Key: testKey}, 1, Found},
		{"index ahead of the report", []Endpoint{{Ready: other}, {}}, Request{Key: testKey}, 1, Found},
		{"refused before", []Endpoint{{}, {}}, Request{Key: testKey, Excluded: [4]string{"u0"}}, 1, Found},
		{"all tried or draining", []Endpoint{{}, {Draining: true}}, Request{Key: testKey, Excluded: [4]string{"u0"}}, -1, AllExcluded},
		{"one busy, one draining", []Endpoint{{Running: 8, Waiting: 8}, {Draining: true}},
			Request{Key: testKey, Class: class.Standard}, -1, AllBusy},
		{"urgent passes the bound of others", []Endpoint{{Running: 8, Waiting: 8}},
			Request{Key: testKey, Class: class.Urgent}, 0, Found},
		{"bulk joins no queue", []Endpoint{{Running: 8}}, Request{Key: testKey, Class: class.Bulk}, -1, AllBusy},
		{"a service needs no model", []Endpoint{{Ready: other}}, Request{Pool: "p", PlainService: true}, 0, Found},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				d := New(Config{}).Pick(snapshotOf(c.endpoints...), &c.request, rand.New(rand.NewPCG(seed, 1)))
				assert.Equal(t, d.Index, c.index)
				assert.Equal(t, d.Reason, c.reason)
			}
		})
	}
}

// Guards against ignoring a figure of an endpoint. The two endpoints of each case differ
// only in it, and the first one is worse.
func TestTheWorseEndpointIsNotPicked(t *testing.T) {
	for _, c := range []struct {
		name          string
		worse, better Endpoint
	}{
		{"own dispatches since the report", Endpoint{Running: 2, DispatchedSinceReport: 3}, Endpoint{Running: 4}},
		{"peers' dispatches since the report", Endpoint{Running: 2, PeerDispatchedSinceReport: 3}, Endpoint{Running: 4}},
		{"own attempts that ended since the report", Endpoint{Running: 4}, Endpoint{Running: 5, CompletedSinceReport: 3}},
		{"own attempts in flight, whatever the report", Endpoint{InFlight: 5}, Endpoint{Running: 4}},
		{"a queue for slots", Endpoint{Running: 8, Waiting: 4}, Endpoint{Running: 8}},
		{"distance", Endpoint{DistanceMs: 30}, Endpoint{DistanceMs: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := snapshotOf(c.worse, c.better)
			for seed := range uint64(20) {
				d := New(Config{}).Pick(s, &Request{Key: testKey, Class: class.Standard}, rand.New(rand.NewPCG(seed, 6)))
				assert.Equal(t, d.Index, 1)
			}
		})
	}
}

// Guards against refusing requests although one of 350 replicas is usable. If all random
// probes hit draining endpoints, only a full scan finds it.
func TestPickFindsTheOnlyUsableEndpoint(t *testing.T) {
	endpoints := make([]Endpoint, 350)
	for i := range endpoints {
		endpoints[i].Draining = i != 123
	}
	s := snapshotOf(endpoints...)
	for seed := range uint64(100) {
		d := New(Config{}).Pick(s, &Request{Key: testKey}, rand.New(rand.NewPCG(seed, 2)))
		assert.Equal(t, d.Index, 123)
	}
}

func TestAffinityIsBoundedByLoad(t *testing.T) {
	const prefix = 77
	withPrefix := func(running int) *Snapshot {
		return snapshotOf(Endpoint{Running: running, Prefixes: map[uint64]bool{prefix: true}}, Endpoint{}, Endpoint{})
	}
	request := &Request{Key: testKey, Prefix: prefix, Class: class.Standard}
	for seed := range uint64(50) {
		src := rand.New(rand.NewPCG(seed, 3))
		assert.Equal(t, New(Config{}).Pick(withPrefix(3), request, src).Index, 0)
		assert.Assert(t, New(Config{}).Pick(withPrefix(8), request, src).Index != 0)
	}
}

// Guards against queues that jump from endpoint to endpoint with each report while other
// endpoints are idle. Seven hosts share one report, in which one endpoint has slightly less
// load, and each dispatches twenty requests before the next report. If each took the
// reported minimum, all would choose that endpoint, as none sees the others' dispatches.
func TestHostsSharingAStaleReportDoNotHerd(t *testing.T) {
	const hosts, each, replicas = 7, 20, 10
	largest := func(p Picker) int {
		total := make([]int, replicas)
		src := rand.New(rand.NewPCG(1, 4))
		for range hosts {
			endpoints := make([]Endpoint, replicas)
			for i := range endpoints {
				endpoints[i] = Endpoint{Running: 1, MaxBatch: 64}
			}
			endpoints[0].Running = 0
			s := snapshotOf(endpoints...)
			for range each {
				d := p.Pick(s, &Request{Key: testKey, Class: class.Standard}, src)
				s.Endpoints[d.Index].DispatchedSinceReport++
				s.Endpoints[d.Index].InFlight++
				total[d.Index]++
			}
		}
		highest := 0
		for _, n := range total {
			highest = max(highest, n)
		}
		return highest
	}
	fair := hosts * each / replicas
	assert.Assert(t, largest(New(Config{})) <= 2*fair)
	assert.Equal(t, largest(NewLeastReported()), hosts*each)
}

func benchmarkSnapshot(n int) *Snapshot {
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{Running: i % 8, DispatchedSinceReport: i % 3, Prefixes: map[uint64]bool{uint64(i): true}}
	}
	return snapshotOf(endpoints...)
}

func BenchmarkPick(b *testing.B) {
	s := benchmarkSnapshot(350)
	for _, c := range []struct {
		name   string
		picker Picker
		prefix uint64
	}{
		{"staged", New(Config{}), 0}, {"staged-prefix", New(Config{}), 999},
		{"round-robin", NewRoundRobin(), 0}, {"least-reported", NewLeastReported(), 0},
	} {
		b.Run(c.name, func(b *testing.B) {
			src, r := rand.New(rand.NewPCG(1, 5)), &Request{Key: testKey, Class: class.Standard, Prefix: c.prefix}
			b.ReportAllocs()
			for range b.N {
				c.picker.Pick(s, r, src)
			}
		})
	}
}

// BenchmarkPickAllBusy measures the worst case, in which every endpoint is checked.
func BenchmarkPickAllBusy(b *testing.B) {
	s := benchmarkSnapshot(350)
	for i := range s.Endpoints {
		s.Endpoints[i].Running = 99
	}
	p, src, r := New(Config{}), rand.New(rand.NewPCG(1, 5)), &Request{Key: testKey}
	b.ReportAllocs()
	for range b.N {
		p.Pick(s, r, src)
	}
}

// Guards against an engine that is always busy and answers hardly any request in time.
// Requests arrive whose answers take longer than their deadlines even on an idle engine;
// if they were started, each would be aborted at its deadline.
func TestRequestsWithUnreachableDeadlinesAreNotStarted(t *testing.T) {
	s := snapshotOf(Endpoint{})
	r := Request{Key: testKey, AnswerTokens: 100, IdleStepMs: 10, RemainingMs: 999}
	assert.Equal(t, New(Config{}).Pick(s, &r, rand.New(rand.NewPCG(1, 1))).Reason, DeadlineUnreachable)
	r.RemainingMs = 1001
	assert.Equal(t, New(Config{}).Pick(s, &r, rand.New(rand.NewPCG(1, 1))).Reason, Found)
	r.RemainingMs = 0
	assert.Equal(t, New(Config{}).Pick(s, &r, rand.New(rand.NewPCG(1, 1))).Reason, Found)
}

func TestTheFasterEndpointIsPreferred(t *testing.T) {
	s := snapshotOf(Endpoint{RecentStepMs: 60}, Endpoint{RecentStepMs: 20, DistanceMs: 1})
	for seed := range uint64(20) {
		r := Request{Key: testKey, AnswerTokens: 50, IdleStepMs: 10}
		assert.Equal(t, New(Config{}).Pick(s, &r, rand.New(rand.NewPCG(seed, 1))).Index, 1)
	}
}
