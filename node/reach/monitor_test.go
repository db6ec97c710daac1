package reach_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/reach"
)

// site is a host with upstreams, whose network path a test breaks.
type site struct {
	fleet   *fleet.Fleet
	monitor *reach.Monitor
	lost    atomic.Pointer[string] // prefix of the addresses to which no connection opens; nil: none
	hangs   atomic.Bool            // lost connections time out, else they are refused
	mute    atomic.Bool            // connections open and carry no byte
	asked   atomic.Int64           // trials that had to be answered
	slow    atomic.Int64           // time until such a trial is answered, ns
	dials   atomic.Int64
	changes atomic.Int64
}

// newSite returns a host whose monitor runs until the test ends.
func newSite(t *testing.T, upstreams ...string) *site {
	s := &site{fleet: fleet.New(fleet.Config{}, fleet.Deps{})}
	var all []deploy.Upstream
	for _, id := range upstreams {
		service, _, _ := strings.Cut(id, "-")
		all = append(all, deploy.Upstream{ID: id, Service: service, Address: id, Slots: 4})
	}
	s.fleet.Replace(all, 1)
	s.monitor = reach.NewMonitor(reach.Deps{Fleet: s.fleet, Accepts: s.accepts, Answers: s.answers, OnChange: func(bool) { s.changes.Add(1) }})
	return s
}

func (s *site) accepts(ctx context.Context, address string) bool {
	s.dials.Add(1)
	if lost := s.lost.Load(); lost == nil || !strings.HasPrefix(address, *lost) {
		return true
	}
	if s.hangs.Load() {
		<-ctx.Done()
	}
	return false
}

func (s *site) answers(ctx context.Context, address string) bool {
	s.asked.Add(1)
	if !s.accepts(ctx, address) {
		return false
	}
	if s.mute.Load() {
		<-ctx.Done()
	}
	if slow := time.Duration(s.slow.Load()); slow > 0 && !pace.Sleep(ctx, slow) {
		return false
	}
	return !s.mute.Load()
}

// lose lets no connection open to addresses with a prefix.
func (s *site) lose(prefix string) { s.lost.Store(&prefix) }

// run runs the monitor and the fleet's checks until the returned function is called.
func (s *site) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { _ = s.monitor.Run(ctx); done <- struct{}{} }()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			s.fleet.RunChecks()
		}
		done <- struct{}{}
	}()
	return func() { cancel(); <-done; <-done }
}

func (s *site) begin(id string) *fleet.Attempt {
	e, _ := s.fleet.Entry(id)
	return e.Begin(&fleet.Request{}, fleet.Cost{})
}

func names(service string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint(service, "-", i))
	}
	return out
}

// takes returns how long it takes until ok, up to a limit.
func takes(limit time.Duration, ok func() bool) time.Duration {
	began := time.Now()
	for !ok() && time.Since(began) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a host that goes on sending its callers' requests into a partition:
// connections hang, or are reset and refused. Each is noticed within a second and its end
// within half a second, once, and without traffic nothing is dialled.
func TestAPartitionIsNoticedAndItsEndToo(t *testing.T) {
	for _, hangs := range []bool{true, false} {
		for _, n := range []int{1, 2, 3, 12} {
			synctest.Test(t, func(t *testing.T) {
				ids := names("s", n)
				s := newSite(t, ids...)
				s.hangs.Store(hangs)
				defer s.run(t)()
				var open []*fleet.Attempt
				for _, id := range ids {
					open = append(open, s.begin(id))
				}
				for range 30 {
					for _, x := range open {
						x.ReceivedBytes()
					}
					time.Sleep(100 * time.Millisecond)
				}
				assert.Equal(t, s.dials.Load(), int64(0), "nothing is suspected")
				s.lose("s")
				if !hangs {
					for _, x := range open {
						x.Interrupted("broken")
					}
				}
				limit := time.Second
				if n == 1 && hangs {
					limit = 2 * time.Second // one upstream may be silent for a second
				}
				assert.Assert(t, takes(5*time.Second, s.monitor.Partitioned) <= limit, "%d upstreams, hangs %t", n, hangs)
				assert.Equal(t, len(s.fleet.DownIDs()), 0)
				before := s.dials.Load()
				time.Sleep(10 * time.Second)
				assert.Assert(t, s.monitor.Partitioned())
				assert.Assert(t, s.dials.Load()-before <= 110, "%d trial connections", s.dials.Load()-before)
				s.lost.Store(nil)
				reached := func() bool { return !s.monitor.Partitioned() }
				assert.Assert(t, takes(5*time.Second, reached) <= 500*time.Millisecond)
				for _, x := range open {
					x.Cancelled()
				}
				before = s.dials.Load()
				time.Sleep(10 * time.Second)
				assert.Equal(t, s.dials.Load(), before, "no trials after the end")
				assert.Equal(t, s.changes.Load(), int64(2), "it began once and ended once")
			})
		}
	}
}

// Guards against a host that sends its callers' requests into a path on which connections
// open and no byte passes: noticed within a second, its end within half a second.
func TestAPathThatOpensConnectionsAndCarriesNothingIsAPartition(t *testing.T) {
	for _, n := range []int{2, 3, 12} {
		synctest.Test(t, func(t *testing.T) {
			ids := names("s", n)
			s := newSite(t, ids...)
			defer s.run(t)()
			s.mute.Store(true)
			var open []*fleet.Attempt
			for _, id := range ids {
				open = append(open, s.begin(id))
			}
			assert.Assert(t, takes(5*time.Second, s.monitor.Partitioned) <= time.Second, "%d upstreams", n)
			time.Sleep(10 * time.Second)
			assert.Assert(t, s.monitor.Partitioned(), "connections that open end nothing")
			s.mute.Store(false)
			assert.Assert(t, takes(5*time.Second, func() bool { return !s.monitor.Partitioned() }) <= 500*time.Millisecond)
			for _, x := range open {
				x.Cancelled()
			}
			assert.Equal(t, s.changes.Load(), int64(2), "it began once and ended once")
		})
	}
}

// Guards against a host that takes itself for cut off for ever: its upstreams are busy and
// answer late, soon enough to refute a suspicion but not to end a partition.
func TestUpstreamsThatAnswerLateEndAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, names("s", 5)...)
		defer s.run(t)()
		s.mute.Store(true)
		open := []*fleet.Attempt{s.begin("s-0"), s.begin("s-1")}
		takes(5*time.Second, s.monitor.Partitioned)
		s.slow.Store(int64(250 * time.Millisecond))
		s.mute.Store(false)
		assert.Assert(t, takes(5*time.Second, func() bool { return !s.monitor.Partitioned() }) <= time.Second)
		for _, x := range open {
			x.Cancelled()
		}
	})
}

// Guards against sound upstreams that say nothing for a time and are taken for a partition,
// and against requests to upstreams for a trial where a connection tells enough.
func TestUpstreamsThatSayNothingForATimeAreNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, names("s", 5)...)
		defer s.run(t)()
		silent := []*fleet.Attempt{s.begin("s-0"), s.begin("s-1")}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !s.monitor.Partitioned())
		}
		assert.Assert(t, s.asked.Load() > 0, "nothing has arrived for long")
		for _, x := range silent {
			x.ReceivedBytes()
			x.Cancelled()
		}
		time.Sleep(5 * time.Second)
		before := s.asked.Load()
		s.begin("s-0").Interrupted("broken")
		s.begin("s-1").Interrupted("broken")
		time.Sleep(time.Second)
		assert.Equal(t, s.asked.Load(), before, "connections were reset: one that opens refutes it")
	})
}

// Guards against a host without traffic that notices a partition by none of its first
// requests that fail.
func TestTheFirstFailedRequestsShowAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, names("s", 5)...)
		s.lose("s")
		defer s.run(t)()
		time.Sleep(time.Minute)
		assert.Equal(t, s.dials.Load(), int64(0))
		s.begin("s-0").NotListening()
		s.begin("s-1").Interrupted(fleet.WhyUnconnected)
		assert.Assert(t, takes(5*time.Second, s.monitor.Partitioned) <= time.Second)
	})
}

// Guards against a partition that is not noticed since connections of before it still
// deliver bytes, while each request that needs a new one fails.
func TestRefusedConnectionsCountBesideOnesThatWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, names("s", 5)...)
		s.lose("s")
		defer s.run(t)()
		x := s.begin("s-0")
		noticed := takes(5*time.Second, func() bool {
			for i := 1; i < 5; i++ {
				s.begin(fmt.Sprint("s-", i)).NotListening()
			}
			x.ReceivedBytes()
			return s.monitor.Partitioned()
		})
		assert.Assert(t, noticed <= time.Second)
		x.ReceivedBytes()
		time.Sleep(time.Second)
		assert.Assert(t, s.monitor.Partitioned(), "bytes on an old connection end nothing")
		x.Cancelled()
	})
}

// Guards against a host that takes one dead service, or a silent upstream, for a
// partition, and against trial connections for the latter.
func TestOneServiceOrOneUpstreamIsNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, append(names("dead", 4), names("alive", 2)...)...)
		s.lose("dead")
		defer s.run(t)()
		silent, sound := s.begin("alive-0"), s.begin("alive-1")
		for range 20 {
			sound.ReceivedBytes()
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, s.dials.Load(), int64(0), "one upstream is silent")
		silent.Cancelled()
		sound.Cancelled()
		for range 100 {
			for _, id := range names("dead", 4) {
				s.begin(id).NotListening()
			}
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !s.monitor.Partitioned())
		}
		assert.Assert(t, s.dials.Load() <= 60, "%d trial connections in 10 s", s.dials.Load())
		assert.Assert(t, len(s.fleet.DownIDs()) > 0, "what this host observes counts again")
	})
}

// Guards against requests that count as crashing upstreams because this host's path to all
// of them was lost, and against a crash that does not count since few upstreams are known.
func TestARefusalIsACrashOnlyIfOthersAccept(t *testing.T) {
	for _, c := range []struct {
		upstreams int
		lost      string
		want      bool
	}{{4, "s", true}, {4, "s-0", false}, {3, "s", false}, {1, "s", false}} {
		s := newSite(t, names("s", c.upstreams)...)
		s.lose(c.lost)
		assert.Equal(t, s.monitor.MayBeOwnPath(t.Context(), "s-0"), c.want, "%+v", c)
	}
}

// Guards against a host without others to turn to that refuses what its open connections
// would serve, and against requests that stay with it once another host is known.
func TestADetourIsNeededOnlyWhereOpenConnectionsDoNotServe(t *testing.T) {
	for _, c := range []struct {
		byDials bool
		known   []string
		want    bool
	}{{true, nil, false}, {true, []string{"a"}, true}, {false, nil, true}, {false, []string{"a"}, true}} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, names("s", 5)...)
			s.lose("s")
			var known atomic.Pointer[[]string]
			known.Store(&c.known)
			d := reach.Detour{Monitor: s.monitor, Addresses: func() []string { return *known.Load() }}
			var needed atomic.Int64
			d.OnNeeded(func() { needed.Add(1) })
			defer s.run(t)()
			x := s.begin("s-0")
			takes(5*time.Second, func() bool {
				if c.byDials {
					x.ReceivedBytes()
				}
				for i := 1; i < 5; i++ {
					s.begin(fmt.Sprint("s-", i)).NotListening()
				}
				return s.monitor.Partitioned()
			})
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, d.Needed(), c.want, "%+v", c)
			assert.Equal(t, needed.Load() > 0, c.want, "%+v", c)
			assert.Assert(t, !c.byDials || len(s.fleet.DownIDs()) == 0, "open connections to all may work")
			known.Store(&[]string{"b"})
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, d.Needed() && needed.Load() > 0, "another host is known: %+v", c)
			x.Cancelled()
		})
	}
}

// Guards against a host that takes open connections for lost since none of them was in use
// when it noticed that no new one opens.
func TestBytesThatArriveLaterShowThatOpenConnectionsServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, names("s", 5)...)
		s.lose("s")
		d := reach.Detour{Monitor: s.monitor, Addresses: func() []string { return nil }}
		defer s.run(t)()
		x := s.begin("s-0")
		time.Sleep(100 * time.Millisecond)
		s.begin("s-1").NotListening()
		s.begin("s-2").NotListening()
		assert.Assert(t, takes(5*time.Second, s.monitor.Partitioned) <= time.Second)
		assert.Assert(t, d.Needed(), "nothing arrives")
		time.Sleep(20 * time.Millisecond)
		x.ReceivedBytes()
		assert.Assert(t, !d.Needed())
		x.Cancelled()
		time.Sleep(5 * time.Second)
		assert.Assert(t, !d.Needed() && s.monitor.Partitioned(), "until the end of the partition")
	})
}

// Guards against a host that has received nothing since it started and takes its open
// connections for good: upstreams failed at the very moment at which it began to watch them.
func TestNothingReceivedShowsNoOpenConnectionThatServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, names("s", 5)...)
		s.lose("s")
		d := reach.Detour{Monitor: s.monitor, Addresses: func() []string { return nil }}
		x := s.begin("s-0")
		defer x.Cancelled()
		for i := 1; i < 5; i++ {
			s.begin(fmt.Sprint("s-", i)).NotListening()
		}
		defer s.run(t)()
		assert.Assert(t, takes(5*time.Second, d.Needed) <= time.Second)
	})
}

// Guards against a host that gives up, as it notices that no new connection opens, the attempts
// which it has just sent over open ones, and with them these connections.
func TestAttemptsOnOpenConnectionsAreKeptWhenNoNewOneOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, names("s", 3)...)
		var sent *fleet.Attempt
		aborted := 0
		s.monitor.OnBegin(func() {
			if sent == nil {
				sent = s.begin("s-0")
				sent.OnUnresponsive(func(time.Time) { aborted++ })
			}
		})
		open := s.begin("s-1")
		defer s.run(t)()
		s.lose("s")
		for range 10 {
			open.ReceivedBytes()
			for _, id := range names("s", 3) {
				s.begin(id).NotListening()
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, s.monitor.Partitioned())
		assert.Assert(t, sent != nil)
		assert.Equal(t, aborted, 0)
	})
}
