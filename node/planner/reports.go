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

// applyReports applies the reports to the ledger. Memory that a report releases is
// free only once that is committed. It returns false if a later planner has taken
// the ledger over; while the table service is unavailable it returns true, and the
// ledger does not change.
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
			cached.row = next // only the sequence number changed; the next write stores it
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

// updateRows adds a row for each upstream that is new to the configuration, and sets
// the others' capacity and fencing. A row is never removed: an upstream that is
// removed from the configuration and added again still has what it had resident.
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

// logLedgerError logs a failed read or write of the ledger, and also whether a later
// planner has taken over.
func (p *Planner) logLedgerError(err error) {
	p.deps.Log.Emit(event.LedgerWriteFailed, zap.String("pool", p.cfg.Pool), zap.Error(err))
	if errors.Is(err, ledger.ErrOldEpoch) {
		p.deps.Log.Emit(event.PlannerSuperseded, zap.String("pool", p.cfg.Pool))
	}
}

// recordReport updates the status of an upstream from its newest report.
func (p *Planner) recordReport(o ObservedReport) {
	s := p.upstreams[o.Report.Upstream]
	switch {
	case s.incarnation != o.Report.Incarnation:
		s = upstreamStatus{incarnation: o.Report.Incarnation, sequence: o.Report.Sequence, reportCount: 1}
	case o.Report.Sequence > s.sequence:
		s.sequence = o.Report.Sequence
		s.reportCount++
	}
	s.draining = s.draining || o.Report.Draining // never undone within an incarnation
	s.down = o.Disconnected
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

// snapshot returns the input of place.Plan. A row whose last write is unconfirmed
// appears as it was before: no order was sent for that write, so what the upstream
// serves has not changed.
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

// loadsInProgress returns how many loads an upstream reports or may still begin.
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

// enginePoolCount returns how many pools share the preset's rate of moves, at least 1.
func enginePoolCount(c *config.Config) int {
	n := 0
	for _, pool := range c.Pools {
		if pool.Kind == config.KindEngine {
			n++
		}
	}
	return max(n, 1)
}
