// Package replica decides which models should have more or fewer replicas, and on
// which upstreams, from the demand for each model. It does no I/O and has no
// clock: a plan is made from one snapshot.
package replica

import (
	"fmt"
	"math"
	"sort"
	"time"

	"peridotpier.example/core/deploy"
)

// Source is the place that the weights of a model are loaded from.
type Source uint8

// The sources, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// String returns the name of the source, for logs.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Upstream describes one upstream of the service in a snapshot.
type Upstream struct {
	ID        string
	Residents []Resident      // models at the upstream once the move in progress is done
	FreeMB    float64         // megabytes that another model's weights may take beside the residents
	InMemory  map[string]bool // models with a copy in host memory
	OnDisk    map[string]bool // models with a copy on disk
	Movable   bool            // models may be loaded and unloaded: usable, no order in progress or unconfirmed
	Usable    bool            // requests may be sent to it
	// UnavailableShare is the share of an engine's time that the upstream does not
	// provide because it sets a rate limit; 0: it provides all.
	UnavailableShare float64
	DataCentre       string          // "": not known
	LeftRecently     map[string]bool // models that were unloaded there within the last MinReturn
	// Slowdown is how long work takes there, as a multiple of the usual time of the
	// service's upstreams; 0: not known to differ. Such an upstream counts as a part of an
	// engine.
	Slowdown float64
}

// unavailable returns how much less than one engine the upstream provides.
func (u *Upstream) unavailable() float64 {
	if u.Slowdown <= 0 {
		return u.UnavailableShare
	}
	return 1 - (1-u.UnavailableShare)/u.Slowdown
}

// Resident is a model at an upstream.
type Resident struct {
	Model    string
	Ready    bool
	ReadyFor time.Duration // time since the model became ready
	IdleFor  time.Duration // time since the last request for it at the upstream
}

// Demand is the demand of callers for one model.
type Demand struct {
	EngineLoad float64 // seconds of engine time that its requests take each second
	Unserved   bool    // a request waits or was refused for want of a ready replica
	// WaitsForLoad is true when all callers that asked for the model so far would
	// wait for a load from a disk. Such a model may be without a replica for a
	// while.
	WaitsForLoad   bool
	TimePerRequest time.Duration // engine time that one request takes; 0: not known
	// ByDataCentre is EngineLoad by the data centre of the callers' hosts; nil: not known.
	ByDataCentre map[string]float64
	// ByRank is EngineLoad by the urgency of the requests, the most urgent first; nil: all
	// are equally urgent.
	ByRank []float64
	// Lasting is how long the load has been within a factor of two of what it is; the
	// demand is expected to last as long again.
	Lasting time.Duration
}

// String formats the demand for logs.
func (d Demand) String() string {
	return fmt.Sprintf("%.2f engines, unserved %t", d.EngineLoad, d.Unserved)
}

// MaxWaitShare is the share of a request's time that the request may wait for its
// model to be loaded: the remainder must be enough for the complete answer.
const MaxWaitShare = 0.5

// Input is the snapshot that a plan is made from.
type Input struct {
	Engine    *deploy.Engine
	Upstreams []Upstream
	Demand    map[string]Demand
	// PriorLoad is the assumed load of models that nobody has asked for yet, in
	// engines.
	PriorLoad map[string]float64
	// SomeWaitForLoad is true when the deployment has callers who would wait for a
	// load; otherwise every model must keep a replica.
	SomeWaitForLoad bool
	// MaxCallerWait is how long any caller of the service may wait for a load and
	// still be answered, even if late; 0: not at all.
	MaxCallerWait  time.Duration
	StoreLoadsLeft int // loads from the weight store that may begin now
	MaxMoves       int // maximum number of moves to plan
}

// Move is one change at one upstream: the unload, if there is one, then the load.
type Move struct {
	Upstream string
	Unload   string // empty: no unload
	Load     string
	From     Source
	Reason   Reason
}

// Reason is what a move is made for.
type Reason uint8

// The reasons.
const (
	ForCapacity Reason = iota // the model's replicas lack capacity, or it has none
	ForLocality               // callers of a data centre lack a replica there
	ForRoom                   // another upstream has room, which this model's only replica keeps from being used
)

// String returns the reason in words, for logs.
func (r Reason) String() string { return [...]string{"capacity", "locality", "room"}[r] }

// Policy holds the thresholds of planning.
type Policy struct {
	// MinPressure is the engine load per replica above which a model gets another
	// replica.
	MinPressure float64
	// MinPressureRatio is the factor by which the pressure on the model to load
	// must exceed the pressure that the model to unload would then have.
	MinPressureRatio float64
	// MinResidency is the minimum time for which a model stays where it was loaded.
	MinResidency time.Duration
	// EvictedPressure is the pressure assumed for a model whose last replica is
	// evicted, and EvictedPressurePerLoad what each unit of its load adds to that.
	EvictedPressure        float64
	EvictedPressurePerLoad float64
	// MinIdle and MinDemandRatio allow the last replica of a model to be evicted
	// for a model without replicas: nobody asked for the first for at least
	// MinIdle, or the demand for the other is more than MinDemandRatio times as
	// high.
	MinIdle        time.Duration
	MinDemandRatio float64
	// MinKeptPrior is the prior load below which a model that nobody asked for may
	// be without a replica.
	MinKeptPrior float64
	// MinReturn is how long a model does not return for locality alone to an upstream that
	// it left, and how long a replica stays before locality alone evicts it.
	MinReturn time.Duration
	// EvenLoads assumes that the load of each model is even over its replicas and that the
	// models of an upstream do not crowd each other, to measure what more exact loads gain.
	EvenLoads bool
}

// DefaultPolicy is the policy that is used when none is given.
var DefaultPolicy = Policy{
	// At this share of an engine's time, prompts rarely queue; three models share
	// one engine. At 0.1 there are a tenth more loads, and requests are served no better.
	MinPressure:      0.2,
	MinPressureRatio: 1.6,
	// A load takes one to nine seconds; a move that is undone sooner never paid
	// for its load.
	MinResidency: 3 * time.Second,
	// A request for the evicted model would wait for a load, and another model
	// would have to be evicted: worth it only when hot models are under pressure.
	EvictedPressure:        0.3,
	EvictedPressurePerLoad: 6,
	MinIdle:                3 * time.Second, // about as long as a load of the model takes
	MinDemandRatio:         4,
	MinKeptPrior:           0.09,
	MinReturn:              10 * time.Second, // longer than a load and its undoing take together
}

// Plan returns the moves whose gain exceeds their cost now, the most urgent first,
// each upstream at most once and no more than in.MaxMoves.
func (p Policy) Plan(in Input) []Move {
	s := p.newState(&in)
	var out []Move
	for len(out) < in.MaxMoves {
		c := p.nextMove(s)
		if c == nil {
			break
		}
		out = append(out, c.move())
		s.apply(c)
	}
	out = append(out, p.roomMoves(s, in.MaxMoves-len(out))...)
	return append(out, p.localMoves(s, in.MaxMoves-len(out))...)
}

const (
	// waitingModelSeconds determines the pressure of a model without replicas
	// whose callers wait for a load: this much engine time, divided by
	// the time for which the load keeps a place from serving. A load of 2.5 s
	// replaces only idle models; one of half a second is worth the place of a hot
	// one.
	waitingModelSeconds = 1.0
	// minLoadSeconds is the minimum load time assumed for that pressure, since the
	// load time may not be configured.
	minLoadSeconds = 0.2
)

// noReplicaWeight weighs the expected load of a model without replicas that nobody
// waits for.
const noReplicaWeight = 2.0

// nextMove returns the next move for the model that most needs one and can be
// placed; nil when there is none.
func (p Policy) nextMove(s *state) *choice {
	threshold := p.minPlaceablePressure(s)
	var wanted []*model
	for _, m := range s.models {
		if pressure := m.pressure(); pressure > p.MinPressure && pressure >= threshold {
			wanted = append(wanted, m)
		}
	}
	sort.Slice(wanted, func(i, j int) bool { return p.placedBefore(wanted[i], wanted[j]) })
	for _, m := range wanted {
		if c := p.bestPlacement(s, m); c != nil {
			return c
		}
	}
	return nil
}

// minPlaceablePressure returns the pressure below which no model can be placed
// now. Most models are below it, so that most upstreams need not be examined for
// them.
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
		for _, r := range u.residents {
			if after, ok := p.pressureAfterEviction(s, u, r, nil); ok {
				threshold = min(threshold, after*p.MinPressureRatio)
			}
		}
	}
	return threshold
}

// placedBefore reports whether a is placed before b: the model whose next replica
// serves more of the demand that exceeds the replicas comes first, then the one
// under more pressure. Loads wait for each other at the weight store. By pressure
// alone every model without replicas would come before the next replica of a hot
// one, however few callers ask for it. The gain of more urgent demand counts up to
// MinDemandRatio times as much.
func (p Policy) placedBefore(a, b *model) bool {
	if x, y := a.gain()*p.urgencyFactor(a), b.gain()*p.urgencyFactor(b); x != y {
		return x > y
	}
	if x, y := a.pressure(), b.pressure(); x != y {
		return x > y
	}
	return a.name < b.name
}

// bestPlacement returns the move at the lowest cost that adds a replica of a
// model; nil when no upstream can take one.
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
		cost += m.loadSeconds[from] + upstreamLoadWeight*(u.expected+u.moreUrgentLoad(m)) + m.remoteCost(u)
		if cost < lowest {
			best, lowest = &choice{upstream: u, unload: unload, load: m, from: from}, cost
		}
	}
	return best
}

// hasLocalCopy reports whether some upstream has a copy of a model's weights in
// host memory or on disk. Callers who wait for a load do not wait for a load from
// the weight store.
func (s *state) hasLocalCopy(m *model) bool {
	for i := range s.upstreams {
		if s.upstreams[i].source(m.name) != FromStore {
			return true
		}
	}
	return false
}

// upstreamLoadWeight converts an upstream's load into seconds of loading: a place
// on an idle engine is worth a load that takes some seconds longer than one on an
// engine that is busy all the time.
const upstreamLoadWeight = 6.0

// LoadTime returns how long a model's load from a source takes when no other load
// runs; 0 if the engine does not list the model.
func LoadTime(e *deploy.Engine, name string, from Source) time.Duration {
	m, ok := e.Model(name)
	if !ok {
		return 0
	}
	return loadTime(m, from)
}

// loadTime returns the load time of a model from a source; without a figure for
// that source, the time from the weight store.
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
