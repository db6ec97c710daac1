// Package replica decides which models should be on more or fewer upstreams,
// from the demand for each. It does no I/O and has no clock: one plan sees one
// snapshot.
package replica

import (
	"fmt"
	"math"
	"sort"
	"time"

	"peridotpier.example/core/deploy"
)

// Source is where a load would come from.
type Source uint8

// The sources, the nearest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// String names the source in logs.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Upstream is one that models can be moved on.
type Upstream struct {
	ID       string
	Held     []Held          // what it will hold once the move that is under way is over
	Room     map[string]bool // models that fit beside what is held
	InMemory map[string]bool
	OnDisk   map[string]bool
	Movable  bool // usable, and no order is under way or in doubt
	Usable   bool
}

// Held is a model at an upstream.
type Held struct {
	Model string
	Ready bool
	For   time.Duration // since it became so
	Idle  time.Duration // since its last request there
}

// Demand is what callers ask of a model.
type Demand struct {
	Load     float64 // engines' time for it, each second
	Unserved bool    // somebody waits, or was refused, for want of it
	// Patient says that all who asked for it so far would wait for a load from
	// a disk. Such a model may be nowhere for a while.
	Patient bool
}

// String writes the demand into logs.
func (d Demand) String() string { return fmt.Sprintf("%.2f engines, unserved %t", d.Load, d.Unserved) }

// Input is one snapshot.
type Input struct {
	Engine    *deploy.Engine
	Upstreams []Upstream
	Demand    map[string]Demand
	// Prior is the load to prepare for of models that nobody asked for yet.
	Prior map[string]float64
	// SomePatient says that the deployment has callers who would wait for a
	// load; else every model must stay somewhere.
	SomePatient bool
	StoreLeft   int // loads from the weight store that may begin now
	Most        int // moves to plan at most
}

// Move is one change at one upstream: the unload first, if there is one.
type Move struct {
	Upstream string
	Unload   string // "": none
	Load     string
	From     Source
}

// Policy holds the thresholds.
type Policy struct {
	// Pressure is the engines' time for each replica above which a model gets
	// another one.
	Pressure float64
	// Gain is by how much the pressure on the model that gets a place must
	// exceed what the one that gives it up would then have.
	Gain float64
	// Settled is how long a model stays at least where it was loaded.
	Settled time.Duration
	// Absent is the pressure that counts for a model whose last replica makes
	// way, and AbsentShare what each unit of its load adds to that.
	Absent      float64
	AbsentShare float64
	// Idle is how long nobody must have asked for a model, and Outweighs by which
	// factor more another must be asked for, for its last replica to make way
	// for one that is nowhere.
	Idle      time.Duration
	Outweighs float64
	// Unlikely is the prior below which a model that nobody asked for may be
	// nowhere.
	Unlikely float64
}

// Default policy.
var Default = Policy{
	// At this share of an engine's time prompts queue rarely; three models share
	// one engine. At 0.1 there were a tenth more loads for the same worth.
	Pressure: 0.2,
	Gain:     1.6,
	// A load takes one to nine seconds; what is moved back sooner never paid for it.
	Settled: 3 * time.Second,
	// A request for it would wait for a load, and another model would have to
	// make way: worth it only when hot models are under pressure.
	Absent:      0.3,
	AbsentShare: 6,
	Idle:        3 * time.Second, // about as long as its load takes
	Outweighs:   4,
	Unlikely:    0.09,
}

// Plan returns the moves that are worth their cost now, the most urgent first.
func (p Policy) Plan(in Input) []Move {
	s := newState(in)
	var out []Move
	for len(out) < in.Most {
		m, ok := p.next(s)
		if !ok {
			break
		}
		out = append(out, m)
		s.apply(m)
	}
	return out
}

// state follows the snapshot through the moves planned so far.
type state struct {
	in       Input
	replicas map[string]int  // ready or on their way
	ready    map[string]int  // that requests can be sent to
	moved    map[string]bool // upstreams
	store    int
}

func newState(in Input) *state {
	s := &state{in: in, replicas: map[string]int{}, ready: map[string]int{}, moved: map[string]bool{}, store: in.StoreLeft}
	for _, u := range in.Upstreams {
		if !u.Usable {
			continue
		}
		for _, h := range u.Held {
			s.replicas[h.Model]++
			if h.Ready {
				s.ready[h.Model]++
			}
		}
	}
	return s
}

func (s *state) apply(m Move) {
	s.moved[m.Upstream] = true
	s.replicas[m.Load]++
	if m.Unload != "" {
		s.replicas[m.Unload]--
		s.ready[m.Unload]--
	}
	if m.From == FromStore {
		s.store--
	}
}

// pressure is the load on each replica of a model if it had n of them.
func (s *state) pressure(model string, n int) float64 {
	d := s.in.Demand[model]
	load := max(d.Load, s.in.Prior[model])
	switch {
	case n > 0:
		return load / float64(n)
	case d.Unserved && d.Patient:
		return patientSeconds / max(loadSeconds(s.in.Engine, model, FromDisk), shortestLoad)
	case d.Unserved || d.Load > 0:
		return math.Inf(1)
	default:
		return nowhere * load
	}
}

const (
	// patientSeconds is what counts for a model that is nowhere and whose
	// callers wait for a load: so many seconds of an engine's time, for as long
	// as the load keeps a place from serving. A load of 2.5 s takes the place of
	// idle models only; one of half a second is worth a place of a hot one.
	// Played at 1 and at a fixed pressure of 1: where loads take 2.4 s the fixed
	// one costs 0.02 of worth, where they take 0.5 s both serve four fifths of
	// the callers who were refused at 0.4.
	patientSeconds = 1.0
	// shortestLoad bounds what follows from a load time that is not told, in seconds.
	shortestLoad = 0.2
)

// nowhere weighs the load of a model without a replica that nobody waits for.
const nowhere = 2.0

// next finds the model under the most pressure that can be given a place.
func (p Policy) next(s *state) (Move, bool) {
	wanted := make([]string, 0, len(s.in.Engine.Models))
	for i := range s.in.Engine.Models {
		name := s.in.Engine.Models[i].Name
		if s.pressure(name, s.replicas[name]) > p.Pressure {
			wanted = append(wanted, name)
		}
	}
	sort.Slice(wanted, func(i, j int) bool { return s.before(wanted[i], wanted[j]) })
	for _, name := range wanted {
		if m, ok := p.place(s, name); ok {
			return m, true
		}
	}
	return Move{}, false
}

// before says which of two models gets its place first: the one whose next
// replica serves more of what nobody can serve now, then the one under more
// pressure. Loads wait for each other at the weight store. By pressure alone
// every model that is nowhere would come before the next replica of a hot one,
// however few call for it.
func (s *state) before(a, b string) bool {
	if x, y := s.gain(a), s.gain(b); x != y {
		return x > y
	}
	if x, y := s.pressure(a, s.replicas[a]), s.pressure(b, s.replicas[b]); x != y {
		return x > y
	}
	return a < b
}

// gain is the engine's time, each second, that one more replica of a model
// would give to callers whom the others have no time for.
func (s *state) gain(model string) float64 {
	unserved := s.in.Demand[model].Load - float64(s.replicas[model])
	return min(max(unserved, 0), 1)
}

// place finds the best upstream for another replica of a model.
func (p Policy) place(s *state, name string) (Move, bool) {
	best, lowest := Move{}, math.Inf(1)
	for i := range s.in.Upstreams {
		u := &s.in.Upstreams[i]
		if !u.Movable || !u.Usable || s.moved[u.ID] || u.holds(name) {
			continue
		}
		from := u.source(name)
		if from == FromStore && (s.store <= 0 || s.in.Demand[name].Patient && s.atHand(name)) {
			continue
		}
		victim, cost, ok := p.victim(s, u, name)
		if !ok {
			continue
		}
		cost += loadSeconds(s.in.Engine, name, from) + busyWeight*s.load(u)
		if cost < lowest {
			best, lowest = Move{Upstream: u.ID, Unload: victim, Load: name, From: from}, cost
		}
	}
	return best, lowest < math.Inf(1)
}

// atHand says whether some upstream has a copy of a model's weights. Callers
// who wait for a load do not wait for one from the store.
func (s *state) atHand(name string) bool {
	for i := range s.in.Upstreams {
		if u := &s.in.Upstreams[i]; u.Usable && u.source(name) != FromStore {
			return true
		}
	}
	return false
}

// busyWeight turns an upstream's load into seconds of loading: a place on an
// engine that is busy all the time is worth a load that is some seconds longer
// on an idle one.
const busyWeight = 6.0

// load is the engines' time that an upstream's models bring to it.
func (s *state) load(u *Upstream) float64 {
	sum := 0.0
	for _, h := range u.Held {
		sum += max(s.in.Demand[h.Model].Load, s.in.Prior[h.Model]) / float64(max(s.replicas[h.Model], 1))
	}
	return sum
}

func (u *Upstream) holds(name string) bool {
	for _, h := range u.Held {
		if h.Model == name {
			return true
		}
	}
	return false
}

func (u *Upstream) source(name string) Source {
	switch {
	case u.InMemory[name]:
		return FromMemory
	case u.OnDisk[name]:
		return FromDisk
	default:
		return FromStore
	}
}

// loadSeconds is how long a load takes.
func loadSeconds(e *deploy.Engine, name string, from Source) float64 {
	return LoadTime(e, name, from).Seconds()
}

// LoadTime is how long a model's load from a source takes by itself.
func LoadTime(e *deploy.Engine, name string, from Source) time.Duration {
	m, ok := e.Model(name)
	if !ok {
		return 0
	}
	switch {
	case from == FromMemory && m.MemoryLoad > 0:
		return m.MemoryLoad
	case from == FromDisk && m.DiskLoad > 0:
		return m.DiskLoad
	default:
		return m.StoreLoad
	}
}
