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

// applyReports brings the reports into the books. What a report releases is free
// only once that is committed. It says whether the books are still this
// planner's; with the store down they are, but change nothing.
func (p *Planner) applyReports(ctx context.Context, view View) bool {
	if err := p.ledger.rereadRows(ctx); err != nil {
		p.logLedgerError(err)
		return !errors.Is(err, ledger.ErrOldEpoch)
	}
	p.updateRows(view.Config)
	var changes []rowChange
	for _, o := range p.deps.Inputs.Reports() {
		p.recordReport(o)
		cached := p.ledger.rows[o.Report.Upstream]
		if cached == nil || cached.needsRead {
			continue
		}
		next, changed := cached.row.Observe(p.cfg.Bounds, toLedgerReport(o))
		if !changed {
			cached.row = next // only the sequence moved; it is kept with the next write
			continue
		}
		changes = append(changes, rowChange{o.Report.Upstream, next})
	}
	for batch := range slices.Chunk(changes, maxBatchRows) {
		if err := p.ledger.commit(ctx, batch...); err != nil {
			p.logLedgerError(err)
			break
		}
	}
	return true
}

// updateRows makes rows for upstreams that are new to the configuration. A
// row is never dropped: an upstream taken out and put back holds what it held.
func (p *Planner) updateRows(c *config.Config) {
	for _, u := range c.Upstreams {
		if u.Pool != p.cfg.Pool {
			continue
		}
		cached := p.ledger.rows[u.Name]
		if cached == nil {
			p.ledger.rows[u.Name] = &cachedRow{row: ledger.New(u.Name, u.MemoryMB, u.Fencing)}
			continue
		}
		cached.row.CapacityMB, cached.row.Fencing = u.MemoryMB, u.Fencing
	}
}

// logLedgerError logs what became of a write or a read of the books.
func (p *Planner) logLedgerError(err error) {
	p.deps.Log.Emit(event.LedgerWriteFailed, zap.String("pool", p.cfg.Pool), zap.Error(err))
	if errors.Is(err, ledger.ErrOldEpoch) {
		p.deps.Log.Emit(event.PlannerSuperseded, zap.String("pool", p.cfg.Pool))
	}
}

func (p *Planner) recordReport(o ObservedReport) {
	s := p.upstreams[o.Report.Upstream]
	switch {
	case s.incarnation != o.Report.Incarnation:
		s = upstreamStatus{incarnation: o.Report.Incarnation, sequence: o.Report.Sequence, reportCount: 1}
	case o.Report.Sequence > s.sequence:
		s.sequence = o.Report.Sequence
		s.reportCount++
	}
	s.draining = s.draining || o.Report.Leaving // never undone within an incarnation
	s.down = o.Down
	p.upstreams[o.Report.Upstream] = s
}

func toLedgerReport(o ObservedReport) ledger.Report {
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
	s := &place.Snapshot{Demand: view.Demand, Preset: view.Preset, Store: view.Config.WeightStore, LastMove: maps.Clone(p.lastMove), Bounds: p.cfg.Bounds, MoveCooldown: p.cfg.MoveCooldown}
	for _, m := range view.Config.Models {
		if m.Pool == p.cfg.Pool {
			s.Models = append(s.Models, m)
		}
	}
	s.Adapters = view.Config.Adapters
	for _, u := range view.Config.Upstreams {
		cached := p.ledger.rows[u.Name]
		if u.Pool != p.cfg.Pool || cached == nil {
			continue
		}
		status := p.upstreams[u.Name]
		s.Upstreams = append(s.Upstreams, place.Upstream{Name: u.Name, DataCentre: u.DataCentre, Row: cached.row, MaxBatch: u.MaxBatch,
			Draining: status.draining, Down: status.down, ReportCount: status.reportCount})
		s.LoadsInProgress += loadsInProgress(cached.row, now)
	}
	p.moveBudget.SetLimitAt(now, rate.Limit(view.Preset.MovesPerMinute/60/float64(enginePoolCount(view.Config))))
	s.Budget = p.moveBudget.TokensAt(now)
	return s
}

func loadsInProgress(r ledger.Row, now time.Time) int {
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

// enginePoolCount are those that share the preset's pace of moves.
func enginePoolCount(c *config.Config) int {
	n := 0
	for _, pool := range c.Pools {
		if pool.Kind == config.KindEngine {
			n++
		}
	}
	return max(n, 1)
}
