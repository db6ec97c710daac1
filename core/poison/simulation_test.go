package poison

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulation simulates a site with one clock: hosts, upstreams that run batches, callers with
// harmless requests, and poison requests that crash each upstream that runs them.
type simulation struct {
	hosts, upstreams, batch int
	perSecond               float64 // requests of all callers
	poisons                 int     // different poison requests
	rate                    float64 // share of all requests that are poison
	copies                  int     // arrivals of a poison request at a time, at several hosts
	duration                time.Duration
	lateHosts               int  // hosts whose reports arrive later than those of all others
	ignoreBars              bool // bars are ignored, to measure what is lost without them

	now        time.Time
	rnd        *rand.Rand
	queue      events
	ups        []*upstream
	announced  uint64 // ledger revision announced to the hosts
	ledger     *Ledger
	known      []map[Digest]time.Time // by host: the bars announced to it, and when they arrive there
	outcome    simulationOutcome
	thirdCrash map[Digest]time.Time
	crashes    map[Digest]int
	lateSends  map[Digest]int
	lastID     uint64
	barred     map[Digest]time.Time // harmless requests that are barred, and since when
	failed     map[Digest]bool
}

type simulationOutcome struct {
	arrivals        int           // arrivals of harmless requests
	innocents       int           // different harmless requests
	failed          int           // harmless requests that were never answered
	barred          int           // harmless requests that were refused as barred
	longestBar      time.Duration // longest time that one of these was barred
	maxCrashedByOne int           // maximum number of upstreams crashed by one poison request
	maxLateSends    int           // most sends of one poison request later than knownWithin after its third crash
	crashed         int           // upstreams crashed in all
}

type upstream struct {
	id      string
	up      bool
	running map[uint64]*run
}

type run struct {
	digest Digest
	host   int
	began  time.Time
	poison bool
	tries  int
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	knownWithin     = 3 * time.Second         // time in which a third crash is announced to all hosts
	timeToCrash     = 150 * time.Millisecond  // time for which a poison request runs before its upstream crashes
	restartTime     = 5 * time.Second         // restart time of an upstream
	meanRunTime     = 700 * time.Millisecond  // mean run time of a request
	maxReportDelay  = 400 * time.Millisecond  // longest delay of a crash report to the ledger, and of a bar on the way back
	lateReportDelay = 1500 * time.Millisecond // added delay of the hosts that report late
	callerAttempts  = 3                       // attempts of a caller
)

func (p *simulation) after(d time.Duration, f func()) { heap.Push(&p.queue, event{p.now.Add(d), f}) }

func (p *simulation) fingerprint(kind string, n uint64) Fingerprint {
	return (&Content{Target: fmt.Sprint(kind, n)}).Fingerprint()
}

// run runs the simulation and returns its outcome.
func (p *simulation) run(seed uint64) simulationOutcome {
	p.rnd = rand.New(rand.NewPCG(seed, 7))
	p.now = time.Unix(0, 0)
	p.ledger = NewLedger(SharedPolicy())
	p.lateSends = map[Digest]int{}
	p.thirdCrash, p.crashes, p.barred, p.failed = map[Digest]time.Time{}, map[Digest]int{}, map[Digest]time.Time{}, map[Digest]bool{}
	for range p.hosts {
		p.known = append(p.known, map[Digest]time.Time{})
	}
	for range p.upstreams {
		p.ups = append(p.ups, &upstream{})
		p.restart(len(p.ups) - 1)
	}
	p.arrive()
	end := p.now.Add(p.duration)
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		if e.at.After(end) {
			break
		}
		p.now = e.at
		e.do()
	}
	for _, since := range p.barred {
		p.outcome.longestBar = max(p.outcome.longestBar, end.Sub(since))
	}
	p.outcome.failed = len(p.failed)
	return p.outcome
}

func (p *simulation) restart(i int) {
	p.lastID++
	*p.ups[i] = upstream{id: fmt.Sprint("u", p.lastID), up: true, running: map[uint64]*run{}}
}

// arrive draws requests until the simulation ends.
func (p *simulation) arrive() {
	p.after(time.Duration(p.rnd.ExpFloat64()/p.perSecond*float64(time.Second)), func() {
		p.lastID++
		if p.poisons > 0 && p.rnd.Float64() < p.rate {
			m := p.fingerprint("poison", uint64(p.rnd.IntN(p.poisons)))
			for range max(p.copies, 1) {
				p.send(m, true, 1)
			}
		} else {
			p.outcome.innocents++
			p.send(p.fingerprint("request", p.lastID), false, 1)
		}
		p.arrive()
	})
}

// send is the arrival of a request at a random host.
func (p *simulation) send(m Fingerprint, poison bool, try int) {
	host := p.rnd.IntN(p.hosts)
	if !poison {
		p.outcome.arrivals++
	}
	if at, ok := p.known[host][m.Digest]; ok && !p.now.Before(at) && !p.ignoreBars {
		if !poison {
			if _, before := p.barred[m.Digest]; !before {
				p.barred[m.Digest] = p.now
				p.outcome.barred++
			}
			p.retry(m, try)
		}
		return
	}
	p.start(m, host, poison, try)
}

// start runs a request at the upstream with the smaller batch of two random ones.
func (p *simulation) start(m Fingerprint, host int, poison bool, try int) {
	var u *upstream
	for range 2 {
		c := p.ups[p.rnd.IntN(len(p.ups))]
		if c.up && len(c.running) < p.batch && (u == nil || len(c.running) < len(u.running)) {
			u = c
		}
	}
	if u == nil {
		if !poison {
			p.retry(m, try)
		}
		return
	}
	p.lastID++
	id := p.lastID
	u.running[id] = &run{digest: m.Digest, host: host, began: p.now, poison: poison, tries: try}
	process := u.id
	if poison {
		if at, ok := p.thirdCrash[m.Digest]; ok && p.now.After(at.Add(knownWithin)) {
			p.countLateSend(m.Digest)
		}
		p.after(timeToCrash, func() {
			if u.id == process && u.up {
				p.crash(u, m)
			}
		})
		return
	}
	p.after(time.Duration(p.rnd.ExpFloat64()*float64(meanRunTime)), func() {
		if u.id == process && u.up {
			delete(u.running, id)
			delete(p.failed, m.Digest)
			p.ledger.Clear(m.Digest, p.now, p.now)
			p.announceBars()
		}
	})
}

// retry schedules a caller's next attempt.
func (p *simulation) retry(m Fingerprint, try int) {
	p.failed[m.Digest] = true
	if try < callerAttempts {
		p.after(300*time.Millisecond, func() { p.send(m, false, try+1) })
	}
}

func (p *simulation) countLateSend(d Digest) {
	p.lateSends[d]++
	p.outcome.maxLateSends = max(p.outcome.maxLateSends, p.lateSends[d])
}

// crash crashes an upstream because of a poison request. Each host reports the requests
// that it had there, at its own time.
func (p *simulation) crash(u *upstream, by Fingerprint) {
	u.up = false
	p.outcome.crashed++
	p.crashes[by.Digest]++
	p.outcome.maxCrashedByOne = max(p.outcome.maxCrashedByOne, p.crashes[by.Digest])
	if p.crashes[by.Digest] == DefaultPolicy.MinCrashes {
		p.thirdCrash[by.Digest] = p.now
	}
	running := map[int][]Fingerprint{}
	for _, r := range u.running {
		if p.now.Sub(r.began) < maxSuspectAge {
			running[r.host] = append(running[r.host], Fingerprint{Digest: r.digest})
		}
		if !r.poison {
			p.retry(Fingerprint{Digest: r.digest}, r.tries)
		}
	}
	id, at := u.id, p.now
	for host, fingerprints := range running {
		p.after(p.reportDelay(host), func() {
			p.ledger.RecordCrash(id, fingerprints, at, p.now)
			p.announceBars()
		})
	}
	for i := range p.ups {
		if p.ups[i] == u {
			p.after(restartTime, func() { p.restart(i) })
		}
	}
}

// maxSuspectAge is the age from which on a run is not suspected of a crash of its upstream.
const maxSuspectAge = time.Second

// reportDelay returns how long a report of a host takes.
func (p *simulation) reportDelay(host int) time.Duration {
	d := time.Duration(p.rnd.Float64() * float64(maxReportDelay))
	if host < p.lateHosts {
		d += lateReportDelay
	}
	return d
}

// announceBars announces the barred requests to all hosts.
func (p *simulation) announceBars() {
	if p.ledger.Revision() == p.announced {
		return
	}
	p.announced = p.ledger.Revision()
	entries, _ := p.ledger.ChangedSince(0, maxEntries, p.now)
	state := map[Digest]bool{}
	for _, e := range entries {
		if e.State != Barred {
			continue
		}
		state[e.Digest] = true
		for host := range p.known {
			if _, ok := p.known[host][e.Digest]; !ok {
				p.known[host][e.Digest] = p.now.Add(p.reportDelay(host))
			}
		}
	}
	for host := range p.known {
		for d := range p.known[host] {
			if !state[d] {
				delete(p.known[host], d)
			}
		}
	}
	for d, since := range p.barred {
		if !state[d] {
			p.outcome.longestBar = max(p.outcome.longestBar, p.now.Sub(since))
			delete(p.barred, d)
		}
	}
}

// add combines two outcomes: totals are summed, maxima are the larger of the two.
func (o simulationOutcome) add(b simulationOutcome) simulationOutcome {
	return simulationOutcome{arrivals: o.arrivals + b.arrivals, innocents: o.innocents + b.innocents, failed: o.failed + b.failed, barred: o.barred + b.barred,
		longestBar: max(o.longestBar, b.longestBar), maxCrashedByOne: max(o.maxCrashedByOne, b.maxCrashedByOne), maxLateSends: max(o.maxLateSends, b.maxLateSends), crashed: o.crashed + b.crashed}
}

const (
	// maxLateSends is how often a poison request may still be sent after all hosts can know
	// that it has crashed three upstreams.
	maxLateSends = 3
	// maxCrashesOutsideFlood is how many upstreams a poison request may crash outside of a flood:
	// those that identify it, and as many again until all hosts know of it.
	maxCrashesOutsideFlood = 6
	// floodShare is the largest share of poison requests that does not count as a flood.
	floodShare = 0.05
	// maxBarredShare is the share of harmless requests that may be barred.
	maxBarredShare = 0.001
)

// simulationCases are shares of poison among all requests, from rare to a flood.
var simulationCases = []struct {
	poisons, copies int
	rate            float64
}{{1, 1, 0.001}, {3, 1, 0.01}, {3, 3, 0.01}, {3, 1, 0.05}, {30, 1, 0.05}, {3, 3, 0.05}, {3, 1, 0.2}, {30, 1, 0.2}}

// Guards against poison requests that go on crashing upstreams, and against barring
// requests that merely ran beside one.
func TestPoisonsAreBarredAndWhatRanBesideThemIsNot(t *testing.T) {
	var mu sync.Mutex
	var all simulationOutcome
	t.Run("cases", func(t *testing.T) {
		for _, c := range simulationCases {
			for _, batch := range []int{1, 4, 16} {
				for _, hosts := range []int{7, 300} {
					for _, late := range []int{0, hosts / 3} {
						p := simulation{hosts: hosts, upstreams: 12, batch: batch, perSecond: min(70, 10*float64(batch)), lateHosts: late,
							poisons: c.poisons, copies: c.copies, rate: c.rate, duration: 40 * time.Second}
						t.Run(fmt.Sprintf("%d poisons x%d, share %.3f, batch %d, %d hosts, %d late", c.poisons, c.copies, c.rate, batch, hosts, late), func(t *testing.T) {
							t.Parallel()
							o := p.check(t)
							mu.Lock()
							all = all.add(o)
							mu.Unlock()
						})
					}
				}
			}
		}
	})
	t.Logf("all: %d requests, %d barred, longest %s", all.innocents, all.barred, all.longestBar)
	assert.Assert(t, float64(all.barred) <= maxBarredShare*float64(all.innocents))
	assert.Assert(t, all.longestBar <= DefaultPolicy.InitialBar)
}

// check simulates a case with and without bars and checks the bounds of each case.
func (p *simulation) check(t *testing.T) simulationOutcome {
	var with, without simulationOutcome
	for seed := range uint64(*simulationSeeds) {
		seeing, blind := *p, *p
		blind.ignoreBars = true
		with, without = with.add(seeing.run(seed)), without.add(blind.run(seed))
	}
	t.Logf("%d requests: unserved %.4f, without bars %.4f; barred %d, longest %s; most upstreams crashed by one %d, without bars %d; sent late %d",
		with.innocents, with.unservedShare(), without.unservedShare(), with.barred, with.longestBar.Round(time.Second), with.maxCrashedByOne, without.maxCrashedByOne, with.maxLateSends)
	assert.Assert(t, with.maxLateSends <= maxLateSends)
	if p.copies == 1 && p.rate <= floodShare && p.lateHosts == 0 {
		assert.Assert(t, with.maxCrashedByOne <= maxCrashesOutsideFlood)
	}
	return with
}

// simulationSeeds is how often each case is simulated, each time with other random draws.
var simulationSeeds = flag.Int("play.seeds", 1, "simulations of each case")

// unservedShare returns the share of harmless requests that were not served.
func (o simulationOutcome) unservedShare() float64 { return float64(o.failed) / float64(o.innocents) }
