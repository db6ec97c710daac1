// Package place decides which upstream loads or unloads which model. It does no
// I/O and has no clock: Plan takes a snapshot and a time and returns the moves
// that may begin now, for each of which the ledger has room.
package place

import (
	"cmp"
	"slices"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
)

// Key identifies a model, or an adapter of it, in any version.
type Key struct {
	Model   string
	Adapter string // empty: the base model
}

// Demand is how many requests for a key are in progress or waiting at once, as
// means over two windows. A move that costs a load must be justified by both.
type Demand struct {
	Short float64 // over about half a minute
	Long  float64 // over about five minutes
}

// sustained returns the lower of the two means.
func (d Demand) sustained() float64 { return min(d.Short, d.Long) }

// peak returns the higher of the two means.
func (d Demand) peak() float64 { return max(d.Short, d.Long) }

// Upstream is the state of one upstream in a snapshot.
type Upstream struct {
	Name        string
	DataCentre  string
	Row         ledger.Row
	MaxBatch    int
	Draining    bool // takes no new loads or requests
	Down        bool // unreachable for so long that more than one report is missing
	ReportCount int  // reports received of its present incarnation
}

// Snapshot is the input of one plan. Plan does not change it.
type Snapshot struct {
	Models          []config.Model // of the pool
	Adapters        []config.Adapter
	Upstreams       []Upstream
	Demand          map[Key]Demand
	Preset          config.Preset
	Store           config.WeightStore
	LoadsInProgress int               // over all planners
	Budget          float64           // elective loads that the preset's rate allows now
	LastMove        map[Key]time.Time // time of the last move of each key that started a cooldown
	Bounds          ledger.Bounds
	MoveCooldown    time.Duration // a model moved this recently is not moved again; 0: two minutes
}

// Reason is the purpose of a move.
type Reason string

// The reasons of a move.
const (
	ReasonUnreachable Reason = "unreachable" // no replica can answer
	ReasonDraining    Reason = "leaving"     // its replicas are on draining upstreams
	ReasonMinimum     Reason = "minimum"     // fewer replicas than configured
	ReasonVersion     Reason = "version"     // another version is configured
	ReasonRoom        Reason = "room"        // unloaded so that another may be loaded
	ReasonInitial     Reason = "initial"     // fewer replicas than configured to start with
	ReasonSpread      Reason = "spread"      // its replicas are overloaded
	ReasonAdapter     Reason = "adapter"     // more demand for an adapter than its replicas can serve
	ReasonFill        Reason = "fill"        // an on-demand model, loaded where memory is spare
)

// StartsCooldown reports whether a model that was moved for this reason is not
// moved again for a while. Required loads start no cooldown.
func (r Reason) StartsCooldown() bool { return r.Elective() || r == ReasonAdapter || r == ReasonRoom }

// Elective reports whether moves for this reason are limited to the preset's rate.
// An adapter is a hundredth of the size of its base model: loads of adapters are
// limited per plan instead.
func (r Reason) Elective() bool { return r == ReasonSpread || r == ReasonFill }

// Move is one order to one upstream.
type Move struct {
	Upstream string
	Change   ledger.Change
	Reason   Reason
	Gain     float64 // requests at once that would no longer wait; 0 for moves that are required anyway
}

// Wait is a model or adapter that has no ready replica, with the bound on the time
// until it has one.
type Wait struct {
	Key   Key
	Bound time.Duration // 0: no way to load it; the configuration does not fit
}

// Decision is the result of a plan.
type Decision struct {
	Moves    []Move
	Waits    []Wait
	Deferred int // required loads that must wait for the weight store
}

// Thresholds and limits of planning.
const (
	defaultThreshold    = 0.7              // utilisation above which queues begin to show in the tail latency
	minElectiveGain     = 0.5              // minimum gain of an elective load: at 2 s a request some 15 requests a minute
	minAdapterDemand    = 0.2              // minimum demand for one more replica of an adapter, whose load takes a moment
	maxDisplacedShare   = 0.25             // maximum demand that may be displaced for a spread, as a share of the spread's gain
	defaultMoveCooldown = 2 * time.Minute  // default of Snapshot.MoveCooldown: sooner, a move's effect does not show in the demand
	maxIdleDemand       = 0.05             // requests at once below which a surplus replica may be evicted
	minReports          = 2                // of an incarnation, before an elective move changes its upstream
	sendGrace           = 15 * time.Second // after an order's send window, until it is treated as lost
	maxElectiveMoves    = 4                // per plan, so that the next plan sees their effect
	tightMemoryShare    = 0.8              // of all memory in use: above it placement packs before it spreads
)

// Plan returns the moves that may begin now.
func Plan(s *Snapshot, now time.Time) Decision {
	p := newPlan(s, now)
	p.placeMissing()
	p.placeMissingAdapters()
	p.retireVersions()
	p.loadInitialReplicas()
	p.spread()
	p.spreadAdapters()
	p.fillSpareMemory()
	return p.decide()
}

// decide orders the moves and limits the loads to the free slots of the weight
// store. Loads of unreachable models that are asked for come first.
func (p *plan) decide() Decision {
	slices.SortStableFunc(p.moves, func(a, b plannedMove) int {
		byRank := cmp.Compare(reasonRank(a.Reason), reasonRank(b.Reason))
		if p.memoryTight {
			return byRank // in the order of placement; otherwise what remains would not fit as placed
		}
		return cmp.Or(byRank, cmp.Compare(b.demand, a.demand))
	})
	d := Decision{Waits: p.waits}
	slots := p.freeStoreSlots()
	for _, m := range p.moves {
		if m.Change.Kind == ledger.Load {
			if slots <= 0 {
				d.Deferred++
				continue
			}
			slots--
		}
		d.Moves = append(d.Moves, m.Move)
	}
	return d
}

// freeStoreSlots returns how many loads from the weight store may begin now.
func (p *plan) freeStoreSlots() int {
	if p.snapshot.Store.Concurrent <= 0 {
		return len(p.moves)
	}
	return p.snapshot.Store.Concurrent - p.snapshot.LoadsInProgress
}

// reasonRank returns the position of a reason in the order in which moves are
// sent.
func reasonRank(r Reason) int {
	return slices.Index([]Reason{ReasonRoom, ReasonUnreachable, ReasonDraining, ReasonMinimum, ReasonVersion, ReasonInitial, ReasonSpread, ReasonAdapter, ReasonFill}, r)
}
