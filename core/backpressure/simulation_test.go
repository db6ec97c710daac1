package backpressure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/backpressure"
)

const (
	// window, in seconds, is the span in which arrivals at an upstream are counted.
	window = 4.0
	// maxOverRatio and slack bound by how much arrivals in a window may exceed the limit.
	maxOverRatio, slack = 1.5, 5.0
	// minUsedShare is the share of its limit that an upstream receives at least while callers wait.
	minUsedShare = 0.85
	// callerWait, in seconds, is how long callers of a simulation wait.
	callerWait = 1.0
	// maxSendDelay, in seconds, is the longest time from taking a permit to the arrival of
	// the request at the upstream.
	maxSendDelay = 0.3
)

// simulation simulates hosts that all send to one upstream with a limit.
type simulation struct {
	limit     float64
	hosts     []*simulatedHost
	issuer    *backpressure.Pacer // of the host that issues the permits; nil if there is none
	connected int                 // hosts connected to it
	rnd       *rand.Rand

	arrived []float64 // seconds from the start
	served  int
	wanted  int
}

// statedLimit returns the limit that the upstream states at the moment; it varies slightly.
func (s *simulation) statedLimit() float64 { return s.limit * (1 - limitVariation*s.rnd.Float64()) }

// limitVariation is the share by which a stated limit may differ from one answer to the next.
const limitVariation = 0.05

type simulatedHost struct {
	ownPacer *backpressure.Pacer // while the host is disconnected; nil if it requests permits
	origin   time.Time
	waiting  []float64 // the times until which its callers wait
}

func newSimulation(limit float64, hosts int, seed uint64) *simulation {
	s := &simulation{limit: limit, connected: hosts, rnd: rand.New(rand.NewPCG(seed, 1))}
	for range hosts {
		// Clocks of hosts are off by a fraction of a second.
		s.hosts = append(s.hosts, &simulatedHost{origin: at(s.rnd.Float64() * 0.2)})
	}
	s.issuer = backpressure.NewPacer(at(0), at(0))
	return s
}

// disconnect disconnects some hosts, which then send by their own shares.
func (s *simulation) disconnect(hosts []*simulatedHost, now time.Time) {
	for _, h := range hosts {
		h.ownPacer = backpressure.NewPacer(h.origin, now)
	}
	s.connected = 0
	for _, h := range s.hosts {
		if h.ownPacer == nil {
			s.connected++
		}
	}
}

// reconnect connects all hosts to a new issuer of permits, which has no record of earlier permits.
func (s *simulation) reconnect(now time.Time) {
	s.issuer, s.connected = backpressure.NewPacer(at(0), now), len(s.hosts)
	for _, h := range s.hosts {
		h.ownPacer = nil
	}
}

// step advances the simulation by a fraction of a second, in which callers arrive at
// demand times the limit.
func (s *simulation) step(now, step float64, demand float64) {
	for callers := demand * s.limit * step; s.rnd.Float64() < callers; callers-- {
		h := s.hosts[s.rnd.IntN(len(s.hosts))]
		h.waiting = append(h.waiting, now+callerWait)
		s.wanted++
	}
	first := s.rnd.IntN(len(s.hosts))
	for i := range s.hosts {
		s.dispatch(s.hosts[(first+i)%len(s.hosts)], (first+i)%len(s.hosts), now)
	}
}

// dispatch sends the requests of one host's callers for which it gets permits.
func (s *simulation) dispatch(h *simulatedHost, index int, now float64) {
	h.waiting = slices.DeleteFunc(h.waiting, func(until float64) bool { return until < now })
	for len(h.waiting) > 0 {
		switch {
		case h.ownPacer != nil:
			if !h.ownPacer.Take(s.statedLimit(), backpressure.Share{Index: index, Count: len(s.hosts)}, at(now)) {
				return
			}
		case s.issuer == nil || !s.issuer.Take(s.statedLimit()*float64(s.connected)/float64(len(s.hosts)), backpressure.FullShare, at(now)):
			return
		}
		h.waiting = h.waiting[1:]
		s.arrived = append(s.arrived, now+s.rnd.Float64()*maxSendDelay)
		s.served++
	}
}

// maxInWindow returns the largest number of arrivals in any window.
func (s *simulation) maxInWindow() int {
	slices.Sort(s.arrived)
	highest, from := 0, 0
	for i := range s.arrived {
		for s.arrived[i]-s.arrived[from] >= window {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

func (s *simulation) assertLimitHolds(t rapid.TB) {
	allowed := maxOverRatio*window*s.limit + slack
	assert.Assert(t, float64(s.maxInWindow()) <= allowed, "%d in %v s, allowed %f of a limit of %f", s.maxInWindow(), window, allowed, s.limit)
}

// Guards against exceeding a limit while hosts lose the issuer of permits, are partly
// disconnected, find another issuer, and reconnect, at any time.
func TestALimitHoldsWhoeverCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := math.Exp(rapid.Float64Range(math.Log(0.1), math.Log(50)).Draw(t, "limit"))
		s := newSimulation(limit, rapid.SampledFrom([]int{1, 7, 60}).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		demand := rapid.Float64Range(0.3, 20).Draw(t, "demand")
		const step = 0.02
		next := rapid.Float64Range(0, 5).Draw(t, "first")
		for now := 0.0; now < 25; now += step {
			if now >= next {
				switch rapid.IntRange(0, 2).Draw(t, "event") {
				case 0:
					s.disconnect(s.hosts, at(now))
				case 1:
					s.disconnect(s.hosts[:len(s.hosts)/3], at(now))
				case 2:
					s.reconnect(at(now))
				}
				next = now + rapid.Float64Range(1, 8).Draw(t, "lasts")
			}
			s.step(now, step, demand)
		}
		s.assertLimitHolds(t)
	})
}

// Guards against a limit that is kept by sending less than it allows.
func TestALimitIsUsedWhileCallersWait(t *testing.T) {
	for _, c := range []struct {
		limit  float64
		hosts  int
		demand float64
		alone  bool
		used   float64
	}{
		{0.1, 7, 3, false, minUsedShare}, {1, 7, 3, false, minUsedShare}, {50, 7, 3, false, minUsedShare}, {1, 300, 3, false, minUsedShare}, {50, 300, 3, false, minUsedShare},
		{10, 7, 3, true, minUsedShare}, {50, 7, 3, true, minUsedShare}, {1, 7, 20, true, minUsedShare},
	} {
		t.Run(fmt.Sprintf("limit %v, %d hosts, demand %v, alone %t", c.limit, c.hosts, c.demand, c.alone), func(t *testing.T) {
			s := newSimulation(c.limit, c.hosts, 1)
			if c.alone {
				s.disconnect(s.hosts, at(0))
			}
			const step, lasts = 0.01, 120.0
			for now := 0.0; now < lasts; now += step {
				s.step(now, step, c.demand)
			}
			s.assertLimitHolds(t)
			share := float64(s.served) / (c.limit * lasts)
			t.Logf("%.3f of the limit is used", share)
			assert.Assert(t, share >= c.used)
		})
	}
}

// Guards against a host that gets no permits, or too many, because its clock is wrong.
func TestAPacerIsNotDisturbedByAWrongClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, time.Hour} {
		p := backpressure.NewPacer(at(0).Add(off), at(0).Add(off))
		taken := 0
		for i := range 400 {
			if p.Take(1, backpressure.Share{Index: 3, Count: 4}, at(0).Add(off).Add(time.Duration(i)*100*time.Millisecond)) {
				taken++
			}
		}
		assert.Assert(t, taken >= 9 && taken <= 11, "%d", taken)
	}
}

// Guards against a burst that uses all the permits of an idle time at once.
func TestUnusedPermitsExpireSoon(t *testing.T) {
	for _, share := range []backpressure.Share{backpressure.FullShare, {Index: 1, Count: 3}} {
		p := backpressure.NewPacer(at(0), at(0))
		taken := 0
		for p.Take(4, share, at(60)) {
			taken++
		}
		assert.Assert(t, taken >= 1 && float64(taken) <= slack, "%d", taken)
	}
}
