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
	ID        string
	Residents []Resident // what it will hold once the move that is under way is over
	FreeMB    float64    // that another model's weights may take beside what is held
	InMemory  map[string]bool
	OnDisk    map[string]bool
	Movable   bool // usable, and no order is under way or in doubt
	Usable    bool
	// Lacking is the part of an engine's time that it does not give, since it
	// names a limit; 0: it gives all.
	UnavailableShare float64
}

// Resident is a model at an upstream.
type Resident struct {
	Model    string
	Ready    bool
	ReadyFor time.Duration // since it became so
	IdleFor  time.Duration // since its last request there
}

// Demand is what callers ask of a model.
type Demand struct {
	EngineLoad float64 // engines' time for it, each second
	Unserved   bool    // somebody waits, or was refused, for want of it
	// Patient says that all who asked for it so far would wait for a load from
	// a disk. Such a model may be nowhere for a while.
	WaitsForLoad   bool
	TimePerRequest time.Duration // of an engine's time for one request; 0: not known
}

// String writes the demand into logs.
func (d Demand) String() string {
	return fmt.Sprintf("%.2f engines, unserved %t", d.EngineLoad, d.Unserved)
}

// MaxWaitShare is the part of its time by which a model must be there for a request
// that waits for it to be answered whole before the rest is over.
const MaxWaitShare = 0.5

// Input is one snapshot.
type Input struct {
	Engine    *deploy.Engine
	Upstreams []Upstream
	Demand    map[string]Demand
	// Prior is the load to prepare for of models that nobody asked for yet.
	PriorLoad map[string]float64
	// SomePatient says that the deployment has callers who would wait for a
	// load; else every model must stay somewhere.
	SomeWaitForLoad bool
	// CallersWait is how long any caller of the service may wait for a load and
	// still be answered, if late; 0: not at all.
	MaxCallerWait  time.Duration
	StoreLoadsLeft int // loads from the weight store that may begin now
	MaxMoves       int // moves to plan at most
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
	MinPressure float64
	// Gain is by how much the pressure on the model that gets a place must
	// exceed what the one that gives it up would then have.
	MinPressureRatio float64
	// Settled is how long a model stays at least where it was loaded.
	MinResidency time.Duration
	// Absent is the pressure that counts for a model whose last replica makes
	// way, and AbsentShare what each unit of its load adds to that.
	EvictedPressure        float64
	EvictedPressurePerLoad float64
	// Idle is how long nobody must have asked for a model, and Outweighs by which
	// factor more another must be asked for, for its last replica to make way
	// for one that is nowhere.
	MinIdle        time.Duration
	MinDemandRatio float64
	// Unlikely is the prior below which a model that nobody asked for may be
	// nowhere.
	MinKeptPrior float64
}

// DefaultPolicy policy.
var DefaultPolicy = Policy{
	// At this share of an engine's time prompts queue rarely; three models share
	// one engine. At 0.1 there were a tenth more loads for the same worth.
	MinPressure:      0.2,
	MinPressureRatio: 1.6,
	// A load takes one to nine seconds; what is moved back sooner never paid for it.
	MinResidency: 3 * time.Second,
	// A request for it would wait for a load, and another model would have to
	// make way: worth it only when hot models are under pressure.
	EvictedPressure:        0.3,
	EvictedPressurePerLoad: 6,
	MinIdle:                3 * time.Second, // about as long as its load takes
	MinDemandRatio:         4,
	MinKeptPrior:           0.09,
}

// Plan returns the moves that are worth their cost now, the most urgent first.
func (p Policy) Plan(in Input) []Move {
	s := newState(&in)
	var out []Move
	for len(out) < in.MaxMoves {
		c := p.nextMove(s)
		if c == nil {
			break
		}
		out = append(out, c.move())
		s.apply(c)
	}
	return out
}

const (
	// waitingModelSeconds is what counts for a model that is nowhere and whose
	// callers wait for a load: so many seconds of an engine's time, for as long
	// as the load keeps a place from serving. A load of 2.5 s takes the place of
	// idle models only; one of half a second is worth a place of a hot one.
	waitingModelSeconds = 1.0
	// minLoadSeconds bounds what follows from a load time that is not told, in seconds.
	minLoadSeconds = 0.2
)

// absentWeight weighs the load of a model without a replica that nobody waits for.
const absentWeight = 2.0

// nextMove finds the model under the most pressure that can be given a place.
func (p Policy) nextMove(s *state) *choice {
	threshold := p.minPlaceablePressure(s)
	var wanted []*model
	for _, m := range s.models {
		if pressure := m.pressure(); pressure > p.MinPressure && pressure >= threshold {
			wanted = append(wanted, m)
		}
	}
	sort.Slice(wanted, func(i, j int) bool { return placedBefore(wanted[i], wanted[j]) })
	for _, m := range wanted {
		if c := p.bestPlacement(s, m); c != nil {
			return c
		}
	}
	return nil
}

// minPlaceablePressure is the pressure below which no model gets a place now. Most
// models are under less, so that most upstreams need not be looked at for them.
func (p Policy) minPlaceablePressure(s *state) float64 {
	threshold := math.Inf(1)
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if !u.Movable || u.moved {
			continue
		}
		if u.FreeMB > 0 {
			return 0
		}
		for j := range u.residents {
			if after, ok := p.pressureAfterEviction(s, u, &u.residents[j], nil); ok {
				threshold = min(threshold, after*p.MinPressureRatio)
			}
		}
	}
	return threshold
}

// placedBefore says which of two models gets its place first: the one whose next
// replica serves more of what nobody can serve now, then the one under more
// pressure. Loads wait for each other at the weight store. By pressure alone
// every model that is nowhere would come before the next replica of a hot one,
// however few call for it.
func placedBefore(a, b *model) bool {
	if x, y := a.gain(), b.gain(); x != y {
		return x > y
	}
	if x, y := a.pressure(), b.pressure(); x != y {
		return x > y
	}
	return a.name < b.name
}

// bestPlacement finds the best upstream for another replica of a model.
func (p Policy) bestPlacement(s *state, m *model) *choice {
	var best *choice
	lowest := math.Inf(1)
	waitForCopy := m.demand.WaitsForLoad && s.hasLocalCopy(m)
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if !u.Movable || u.moved || u.hasResident(m) {
			continue
		}
		from := u.source(m.name)
		if from == FromStore && (s.storeLoadsLeft <= 0 || waitForCopy) {
			continue
		}
		unload, cost, ok := p.evictionCandidate(s, u, m)
		if !ok {
			continue
		}
		cost += m.loadSeconds[from] + upstreamLoadWeight*u.expectedLoad()
		if cost < lowest {
			best, lowest = &choice{upstream: u, unload: unload, load: m, from: from}, cost
		}
	}
	return best
}

// hasLocalCopy says whether some upstream has a copy of a model's weights. Callers
// who wait for a load do not wait for one from the store.
func (s *state) hasLocalCopy(m *model) bool {
	for i := range s.upstreams {
		if s.upstreams[i].source(m.name) != FromStore {
			return true
		}
	}
	return false
}

// upstreamLoadWeight turns an upstream's load into seconds of loading: a place on an
// engine that is busy all the time is worth a load that is some seconds longer
// on an idle one.
const upstreamLoadWeight = 6.0

// LoadTime is how long a model's load from a source takes by itself.
func LoadTime(e *deploy.Engine, name string, from Source) time.Duration {
	m, ok := e.Model(name)
	if !ok {
		return 0
	}
	return loadTime(m, from)
}

func loadTime(m *deploy.Model, from Source) time.Duration {
	switch {
	case from == FromMemory && m.MemoryLoad > 0:
		return m.MemoryLoad
	case from == FromDisk && m.DiskLoad > 0:
		return m.DiskLoad
	default:
		return m.StoreLoad
	}
}
