// Package place decides which upstream loads or unloads which model. It does
// no I/O and has no clock: Plan takes a snapshot and a time and returns the
// moves that may begin now, each of which the ledger has room for.
package place

import (
	"cmp"
	"slices"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
)

// Key names a model, or an adapter of it, whatever the version.
type Key struct {
	Model   string
	Adapter string // "" for the base model
}

// Demand is how many requests for a key are in progress or waiting at once,
// as means over two windows. A move that costs a load needs both.
type Demand struct {
	Short float64 // over about half a minute
	Long  float64 // over about five minutes
}

func (d Demand) sustained() float64 { return min(d.Short, d.Long) }
func (d Demand) peak() float64      { return max(d.Short, d.Long) }

// Upstream is one upstream as the planner knows it.
type Upstream struct {
	Name        string
	DataCentre  string
	Row         ledger.Row
	MaxBatch    int
	Draining    bool
	Down        bool // for long enough that it is not one lost report
	ReportCount int  // read of its present incarnation
}

// Snapshot is what one plan sees. Plan does not change it.
type Snapshot struct {
	Models          []config.Model // of the pool
	Adapters        []config.Adapter
	Upstreams       []Upstream
	Demand          map[Key]Demand
	Preset          config.Preset
	Store           config.WeightStore
	LoadsInProgress int               // now under way, over all planners
	Budget          float64           // elective loads that the preset's pace allows now
	LastMove        map[Key]time.Time // of what was moved for a reason that may come again
	Bounds          ledger.Bounds
	MoveCooldown    time.Duration // a model moved this recently is left alone; 0: two minutes
}

// Reason says what a move is for.
type Reason string

// The reasons, most pressing first.
const (
	ReasonUnreachable Reason = "unreachable" // no replica can answer
	ReasonDraining    Reason = "leaving"     // its replicas are on upstreams that leave
	ReasonMinimum     Reason = "minimum"     // fewer replicas than configured
	ReasonVersion     Reason = "version"     // another version is configured
	ReasonRoom        Reason = "room"        // unloaded so that another may be loaded
	ReasonInitial     Reason = "initial"     // fewer replicas than configured to start with
	ReasonSpread      Reason = "spread"      // its replicas are overloaded
	ReasonAdapter     Reason = "adapter"     // more demand for an adapter than its holders carry
	ReasonFill        Reason = "fill"        // an on-demand model, where there is room to spare
)

// StartsCooldown says whether a model that was moved for this reason is left alone
// for a while. Bringing it up is no such reason.
func (r Reason) StartsCooldown() bool { return r.Elective() || r == ReasonAdapter || r == ReasonRoom }

// Elective moves wait for the preset's pace; the others do not. An adapter is
// a hundredth of its base model: loads of adapters are bounded for each plan.
func (r Reason) Elective() bool { return r == ReasonSpread || r == ReasonFill }

// Move is one order to one upstream.
type Move struct {
	Upstream string
	Change   ledger.Change
	Reason   Reason
	Gain     float64 // requests at once that would no longer wait; 0 for moves that are due anyway
}

// Wait is a model or adapter that has no ready replica, and the bound on the
// time until it has one.
type Wait struct {
	Key   Key
	Bound time.Duration // 0: no path; the configuration does not fit
}

// Decision is what a plan comes to.
type Decision struct {
	Moves    []Move
	Waits    []Wait
	Deferred int // loads that are due, but for which the weight store has no place now
}

// Tuning, with the reasons.
const (
	defaultThreshold    = 0.7              // utilisation above which queues begin to show in the tail
	minElectiveGain     = 0.5              // least gain of an elective load: at 2 s a request some 15 requests a minute
	minAdapterDemand    = 0.2              // the same for an adapter, whose load takes a moment
	maxDisplacedShare   = 0.25             // of a spread's gain, the most demand that may be displaced for it
	defaultMoveCooldown = 2 * time.Minute  // default of Snapshot.Settle: sooner, a move's effect does not show in the demand
	maxIdleDemand       = 0.05             // requests at once below which a surplus replica may make room
	minReports          = 2                // of an incarnation, before an elective move touches its upstream
	sendGrace           = 15 * time.Second // past an order's sending window, until it is taken for lost
	maxElectiveMoves    = 4                // in one plan, so that the next one sees what they did
	tightMemoryShare    = 0.8              // of all memory taken: beyond it placement packs before it spreads
)

// Plan decides the moves that may begin now.
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

// decide cuts the loads to what the weight store has places for. Those for
// models that nobody can reach and that are asked for come first.
func (p *plan) decide() Decision {
	slices.SortStableFunc(p.moves, func(a, b plannedMove) int {
		byRank := cmp.Compare(reasonRank(a.Reason), reasonRank(b.Reason))
		if p.memoryTight {
			return byRank // in the order of placement, or what is left would not fit as placed
		}
		return cmp.Or(byRank, cmp.Compare(b.demand, a.demand))
	})
	d := Decision{Waits: p.waits}
	places := p.freeStoreSlots()
	for _, m := range p.moves {
		if m.Change.Kind == ledger.Load {
			if places <= 0 {
				d.Deferred++
				continue
			}
			places--
		}
		d.Moves = append(d.Moves, m.Move)
	}
	return d
}

func (p *plan) freeStoreSlots() int {
	if p.snapshot.Store.Concurrent <= 0 {
		return len(p.moves)
	}
	return p.snapshot.Store.Concurrent - p.snapshot.LoadsInProgress
}

func reasonRank(r Reason) int {
	return slices.Index([]Reason{ReasonRoom, ReasonUnreachable, ReasonDraining, ReasonMinimum, ReasonVersion, ReasonInitial, ReasonSpread, ReasonAdapter, ReasonFill}, r)
}
