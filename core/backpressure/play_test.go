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
	// window is the span in which arrivals at an upstream are counted, in seconds.
	window = 4.0
	// over and slack are by how much the rules let a limit be exceeded in it.
	over, slack = 1.5, 5.0
	// used is the share of its limit that an upstream gets at least while callers wait.
	used = 0.85
	// patience is how long callers of a play wait, in seconds.
	patience = 1.0
	// longestWay is the longest that a request of a play takes from its turn to the
	// upstream, in seconds.
	longestWay = 0.3
)

// site is hosts before one upstream with a limit, whose callers all want it.
type site struct {
	limit  float64
	hosts  []*playHost
	holder *backpressure.Pacer // of the host that counts for all; nil: nobody does
	heard  int                 // hosts that it hears
	rnd    *rand.Rand

	arrived []float64 // seconds from the start
	served  int
	wanted  int
}

// named is the limit that the upstream names just now: it is not quite steady.
func (s *site) named() float64 { return s.limit * (1 - unsteady*s.rnd.Float64()) }

// unsteady is the share by which a limit changes from one answer to the next.
const unsteady = 0.05

type playHost struct {
	alone   *backpressure.Pacer // while it hears nobody; nil: it asks
	origin  time.Time
	waiting []float64 // until when its callers wait
}

func newSite(limit float64, hosts int, seed uint64) *site {
	s := &site{limit: limit, heard: hosts, rnd: rand.New(rand.NewPCG(seed, 1))}
	for range hosts {
		// Clocks of hosts are off by a fraction of a second.
		s.hosts = append(s.hosts, &playHost{origin: at(s.rnd.Float64() * 0.2)})
	}
	s.holder = backpressure.NewPacer(at(0), at(0))
	return s
}

// cut has some hosts hear nobody, and go by their shares.
func (s *site) cut(hosts []*playHost, now time.Time) {
	for _, h := range hosts {
		h.alone = backpressure.NewPacer(h.origin, now)
	}
	s.heard = 0
	for _, h := range s.hosts {
		if h.alone == nil {
			s.heard++
		}
	}
}

// heal has all hosts hear one that counts for all, and knows of nothing before.
func (s *site) heal(now time.Time) {
	s.holder, s.heard = backpressure.NewPacer(at(0), now), len(s.hosts)
	for _, h := range s.hosts {
		h.alone = nil
	}
}

// step lets a part of a second pass, in which so many callers come.
func (s *site) step(now, step float64, demand float64) {
	for callers := demand * s.limit * step; s.rnd.Float64() < callers; callers-- {
		h := s.hosts[s.rnd.IntN(len(s.hosts))]
		h.waiting = append(h.waiting, now+patience)
		s.wanted++
	}
	first := s.rnd.IntN(len(s.hosts))
	for i := range s.hosts {
		s.pass(s.hosts[(first+i)%len(s.hosts)], (first+i)%len(s.hosts), now)
	}
}

// pass lets one host's callers go that have a turn.
func (s *site) pass(h *playHost, place int, now float64) {
	h.waiting = slices.DeleteFunc(h.waiting, func(until float64) bool { return until < now })
	for len(h.waiting) > 0 {
		switch {
		case h.alone != nil:
			if !h.alone.Take(s.named(), backpressure.Share{Index: place, Count: len(s.hosts)}, at(now)) {
				return
			}
		case s.holder == nil || !s.holder.Take(s.named()*float64(s.heard)/float64(len(s.hosts)), backpressure.FullShare, at(now)):
			return
		}
		h.waiting = h.waiting[1:]
		s.arrived = append(s.arrived, now+s.rnd.Float64()*longestWay)
		s.served++
	}
}

// most is the most that arrived in any window.
func (s *site) most() int {
	slices.Sort(s.arrived)
	most, from := 0, 0
	for i := range s.arrived {
		for s.arrived[i]-s.arrived[from] >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func (s *site) assertHeld(t rapid.TB) {
	allowed := over*window*s.limit + slack
	assert.Assert(t, float64(s.most()) <= allowed, "%d in %v s, allowed %f of a limit of %f", s.most(), window, allowed, s.limit)
}

// Guards against more than a limit allows while hosts lose the one that counts, are
// cut off in part, find another, and come back, at any moment.
func TestALimitHoldsWhoeverCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := math.Exp(rapid.Float64Range(math.Log(0.1), math.Log(50)).Draw(t, "limit"))
		s := newSite(limit, rapid.SampledFrom([]int{1, 7, 60}).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		demand := rapid.Float64Range(0.3, 20).Draw(t, "demand")
		const step = 0.02
		next := rapid.Float64Range(0, 5).Draw(t, "first")
		for now := 0.0; now < 25; now += step {
			if now >= next {
				switch rapid.IntRange(0, 2).Draw(t, "event") {
				case 0:
					s.cut(s.hosts, at(now))
				case 1:
					s.cut(s.hosts[:len(s.hosts)/3], at(now))
				case 2:
					s.heal(at(now))
				}
				next = now + rapid.Float64Range(1, 8).Draw(t, "lasts")
			}
			s.step(now, step, demand)
		}
		s.assertHeld(t)
	})
}

// Guards against a limit that is kept by serving less than it allows.
func TestALimitIsUsedWhileCallersWait(t *testing.T) {
	for _, c := range []struct {
		limit  float64
		hosts  int
		demand float64
		alone  bool
		used   float64
	}{
		{0.1, 7, 3, false, used}, {1, 7, 3, false, used}, {50, 7, 3, false, used}, {1, 300, 3, false, used}, {50, 300, 3, false, used},
		{10, 7, 3, true, used}, {50, 7, 3, true, used}, {1, 7, 20, true, used},
	} {
		t.Run(fmt.Sprintf("limit %v, %d hosts, demand %v, alone %t", c.limit, c.hosts, c.demand, c.alone), func(t *testing.T) {
			s := newSite(c.limit, c.hosts, 1)
			if c.alone {
				s.cut(s.hosts, at(0))
			}
			const step, lasts = 0.01, 120.0
			for now := 0.0; now < lasts; now += step {
				s.step(now, step, c.demand)
			}
			s.assertHeld(t)
			share := float64(s.served) / (c.limit * lasts)
			t.Logf("%.3f of the limit is used", share)
			assert.Assert(t, share >= c.used)
		})
	}
}

// Guards against a host that is held up, or starts, by a step of its clock.
func TestAPacerOfAHostWithAnotherClock(t *testing.T) {
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

// Guards against all the turns of a quiet time taken at once.
func TestTurnsThatNobodyTookAreKeptForAMomentOnly(t *testing.T) {
	for _, share := range []backpressure.Share{backpressure.FullShare, {Index: 1, Count: 3}} {
		p := backpressure.NewPacer(at(0), at(0))
		taken := 0
		for p.Take(4, share, at(60)) {
			taken++
		}
		assert.Assert(t, taken >= 1 && float64(taken) <= slack, "%d", taken)
	}
}
