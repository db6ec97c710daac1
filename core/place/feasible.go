package place

import (
	"fmt"
	"strings"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
)

// InfeasibleError says that a pool cannot hold all that must be resident at once.
type InfeasibleError struct {
	Pool       string
	Missing    []Key // without a place
	NeededMB   int   // by all that must be resident
	CapacityMB int
}

// Error gives the numbers.
func (e *InfeasibleError) Error() string {
	names := make([]string, len(e.Missing))
	for i, k := range e.Missing {
		names[i] = k.Model + k.Adapter
		if k.Adapter != "" {
			names[i] = k.Adapter
		}
	}
	return fmt.Sprintf("pool %s: %d MB must be resident, %d MB are there, no place for %s",
		e.Pool, e.NeededMB, e.CapacityMB, strings.Join(names, ", "))
}

// Feasible packs a pool of a configuration from empty, as the planner would,
// and returns *Infeasible when some model or adapter that must be resident
// finds no place. Packing is not exact: a configuration that only just fits
// may be refused.
func Feasible(c *config.Config, pool string) error {
	s := emptySnapshot(c, pool)
	d := Plan(s, time.Time{})
	for k := 0; len(d.Moves) > 0 && k < mostRounds; k++ {
		for i, m := range d.Moves {
			s.carryOut(m, time.Time{}, fmt.Sprint(k, ".", i))
		}
		d = Plan(s, time.Time{})
	}
	bad := &InfeasibleError{Pool: pool}
	p := newPlan(s, time.Time{})
	for _, it := range append(p.models, p.extras...) {
		bad.NeededMB += it.mb * it.least
		if len(it.live) < it.least {
			bad.Missing = append(bad.Missing, it.key)
		}
	}
	for i := range p.hosts {
		bad.CapacityMB += p.hosts[i].Row.CapacityMB
	}
	if len(bad.Missing) == 0 {
		return nil
	}
	return bad
}

// emptySnapshot is the pool with nothing resident and no demand.
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
		s.Upstreams = append(s.Upstreams, Upstream{Name: u.Name, DataCentre: u.DataCentre, Row: row, MaxBatch: u.MaxBatch, ReportCount: leastReports})
	}
	return s
}
