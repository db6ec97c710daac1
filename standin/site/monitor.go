package site

import (
	"context"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
)

// monitorInterval is how often the true state is looked at; far below the
// seconds that a load takes, so that no gap is missed.
const monitorInterval = 50 * time.Millisecond

// GroundTruth is what was true of the upstreams during a run, from their own state
// and records alone.
type GroundTruth struct {
	Overcommits  []engine.Overcommit
	ModelLoads   int // models loaded by order
	AdapterLoads int // adapters loaded by order
	// Gaps is, by model, the longest time without a ready replica.
	LongestGaps map[string]time.Duration
}

// UnreachableModels lists the models which must be ready at all times and were not.
func (t GroundTruth) UnreachableModels(c *config.Config) []string {
	var out []string
	for _, m := range c.Models {
		if t.LongestGaps[m.Name] > time.Duration(m.MaxOnDemandSeconds)*time.Second {
			out = append(out, m.Name)
		}
	}
	return out
}

// Monitor looks at the engines' true state until ctx ends.
func (u *Upstreams) Monitor(ctx context.Context) GroundTruth {
	t := GroundTruth{LongestGaps: map[string]time.Duration{}}
	lastReady := map[string]time.Time{} // when a model was last seen ready
	startedAt := time.Now()
	for _, m := range u.Config.Models {
		lastReady[m.Name] = startedAt
	}
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		ready := u.readyModels()
		for _, m := range u.Config.Models {
			if ready[m.Name] {
				lastReady[m.Name] = now
			}
			t.LongestGaps[m.Name] = max(t.LongestGaps[m.Name], now.Sub(lastReady[m.Name]))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			u.addRecords(&t)
			return t
		}
	}
}

func (u *Upstreams) readyModels() map[string]bool {
	out := map[string]bool{}
	for _, e := range u.Engines {
		r := e.ActualState()
		for _, res := range r.Residents {
			if res.Adapter == "" && res.State == engineapi.StateReady && !r.Draining {
				out[res.Model] = true
			}
		}
	}
	return out
}

func (u *Upstreams) addRecords(t *GroundTruth) {
	for _, e := range u.Engines {
		r := e.Records()
		t.Overcommits = append(t.Overcommits, r.Overcommits...)
		t.ModelLoads += r.Loads
		t.AdapterLoads += r.AdapterLoads
	}
}
