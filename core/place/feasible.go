package place

import (
	"fmt"
	"strings"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
)

// InfeasibleError is returned when a pool cannot hold all that must be resident at
// once.
type InfeasibleError struct {
	Pool       string
	Missing    []Key // models and adapters without an upstream
	NeededMB   int   // total of all that must be resident
	CapacityMB int
}

// Error implements error.
func (e *InfeasibleError) Error() string {
	names := make([]string, len(e.Missing))
	for i, k := range e.Missing {
		names[i] = k.Model + k.Adapter
		if k.Adapter != "" {
			names[i] = k.Adapter
		}
	}
	return fmt.Sprintf("pool %s: %d MB must be resident, the upstreams have %d MB; no room for %s",
		e.Pool, e.NeededMB, e.CapacityMB, strings.Join(names, ", "))
}

// Feasible packs a pool of a configuration from empty, as the planner would, and
// returns an *InfeasibleError when some model or adapter that must be resident
// finds no upstream. Packing is not exact: a configuration that only just fits may
// be refused.
func Feasible(c *config.Config, pool string) error {
	s := emptySnapshot(c, pool)
	decision := Plan(s, time.Time{})
	for k := 0; len(decision.Moves) > 0 && k < maxRounds; k++ {
		for i, m := range decision.Moves {
			s.applyMove(m, time.Time{}, fmt.Sprint(k, ".", i))
		}
		decision = Plan(s, time.Time{})
	}
	result := &InfeasibleError{Pool: pool}
	p := newPlan(s, time.Time{})
	for _, w := range append(p.models, p.adapters...) {
		result.NeededMB += w.memoryMB * w.minReplicas
		if len(w.replicas) < w.minReplicas {
			result.Missing = append(result.Missing, w.key)
		}
	}
	for i := range p.upstreams {
		result.CapacityMB += p.upstreams[i].Row.CapacityMB
	}
	if len(result.Missing) == 0 {
		return nil
	}
	return result
}

// emptySnapshot returns a snapshot of the pool with nothing resident and no
// demand.
func emptySnapshot(c *config.Config, pool string) *Snapshot {
	s := &Snapshot{Adapters: c.Adapters, LastMove: map[Key]time.Time{}, Bounds: ledger.DefaultBounds()}
	for _, m := range c.Models {
		if m.Pool == pool {
			m.InitialReplicas = 0
			s.Models = append(s.Models, m)
		}
	}
	for _, u := range c.Upstreams {
		if u.Pool != pool {
			continue
		}
		row, _ := ledger.New(u.Name, u.MemoryMB, config.FencingChecked).Observe(s.Bounds, ledger.Report{Incarnation: "none", Sequence: 1})
		s.Upstreams = append(s.Upstreams, Upstream{Name: u.Name, DataCentre: u.DataCentre, Row: row, MaxBatch: u.MaxBatch, ReportCount: minReports})
	}
	return s
}
