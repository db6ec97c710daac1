package planner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
	"peridotpier.example/core/place"
	"peridotpier.example/node/event"
)

// observe brings the reports into the books. What a report releases is free
// only once that is committed. It says whether the books are still this
// planner's; with the store down they are, but change nothing.
func (p *Planner) observe(ctx context.Context, view View) bool {
	if err := p.books.refresh(ctx); err != nil {
		p.lost(err)
		return !errors.Is(err, ledger.ErrOldEpoch)
	}
	p.addUpstreams(view.Config)
	var changes []change
	for _, o := range p.deps.Inputs.Reports() {
		p.sight(o)
		e := p.books.rows[o.Report.Upstream]
		if e == nil || e.dirty {
			continue
		}
		next, changed := e.row.Observe(p.cfg.Bounds, toLedger(o))
		if !changed {
			e.row = next // only the sequence moved; it is kept with the next write
			continue
		}
		changes = append(changes, change{o.Report.Upstream, next})
	}
	for batch := range slices.Chunk(changes, batchRows) {
		if err := p.books.write(ctx, batch...); err != nil {
			p.lost(err)
			break
		}
	}
	return true
}

// addUpstreams makes rows for upstreams that are new to the configuration. A
// row is never dropped: an upstream taken out and put back holds what it held.
func (p *Planner) addUpstreams(c *config.Config) {
	for _, u := range c.Upstreams {
		if u.Pool != p.cfg.Pool {
			continue
		}
		e := p.books.rows[u.Name]
		if e == nil {
			p.books.rows[u.Name] = &entry{row: ledger.New(u.Name, u.MemoryMB, u.Fencing)}
			continue
		}
		e.row.CapacityMB, e.row.Fencing = u.MemoryMB, u.Fencing
	}
}

// lost logs what became of a write or a read of the books.
func (p *Planner) lost(err error) {
	p.deps.Log.Emit(event.LedgerWriteFailed, zap.String("pool", p.cfg.Pool), zap.Error(err))
	if errors.Is(err, ledger.ErrOldEpoch) {
		p.deps.Log.Emit(event.PlannerSuperseded, zap.String("pool", p.cfg.Pool))
	}
}

func (p *Planner) sight(o ObservedReport) {
	s := p.seen[o.Report.Upstream]
	switch {
	case s.incarnation != o.Report.Incarnation:
		s = sighting{incarnation: o.Report.Incarnation, sequence: o.Report.Sequence, reports: 1}
	case o.Report.Sequence > s.sequence:
		s.sequence = o.Report.Sequence
		s.reports++
	}
	s.leaving = s.leaving || o.Report.Draining // never undone within an incarnation
	s.down = o.Down
	p.seen[o.Report.Upstream] = s
}

func toLedger(o ObservedReport) ledger.Report {
	r := ledger.Report{Incarnation: o.Report.Incarnation, Sequence: o.Report.Sequence, Epoch: o.Report.Epoch,
		UsedMB: o.Report.UsedMB, Read: o.Read}
	for _, m := range o.Report.Residents {
		r.Residents = append(r.Residents, ledger.Resident{
			Artifact: ledger.Artifact{Model: m.Model, Adapter: m.Adapter, Version: m.Version}, State: ledger.State(m.State), MemoryMB: m.MemoryMB})
	}
	return r
}

// snapshot is what place.Plan sees. A row in doubt stands in it as it was
// before the write: no order went out for that write, so what it serves stands.
func (p *Planner) snapshot(view View, now time.Time) *place.Snapshot {
	s := &place.Snapshot{Demand: view.Demand, Preset: view.Preset, Store: view.Config.WeightStore, LastMove: maps.Clone(p.last), Bounds: p.cfg.Bounds, MoveCooldown: p.cfg.MoveCooldown}
	for _, m := range view.Config.Models {
		if m.Pool == p.cfg.Pool {
			s.Models = append(s.Models, m)
		}
	}
	s.Adapters = view.Config.Adapters
	for _, u := range view.Config.Upstreams {
		e := p.books.rows[u.Name]
		if u.Pool != p.cfg.Pool || e == nil {
			continue
		}
		seen := p.seen[u.Name]
		s.Upstreams = append(s.Upstreams, place.Upstream{Name: u.Name, DataCentre: u.DataCentre, Row: e.row, MaxBatch: u.MaxBatch,
			Draining: seen.leaving, Down: seen.down, ReportCount: seen.reports})
		s.LoadsInProgress += loadsUnderWay(e.row, now)
	}
	p.budget.SetLimitAt(now, rate.Limit(view.Preset.MovesPerMinute/60/float64(enginePools(view.Config))))
	s.Budget = p.budget.TokensAt(now)
	return s
}

func loadsUnderWay(r ledger.Row, now time.Time) int {
	n := 0
	for _, m := range r.Residents {
		if m.State == ledger.Loading {
			n++
		}
	}
	for _, c := range r.Pending(now) {
		if c.Kind == ledger.Load {
			n++
		}
	}
	return n
}

// enginePools are those that share the preset's pace of moves.
func enginePools(c *config.Config) int {
	n := 0
	for _, pool := range c.Pools {
		if pool.Kind == config.KindEngine {
			n++
		}
	}
	return max(n, 1)
}
