package site

import (
	"context"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
)

// monitorInterval is the interval at which the engines' actual state is sampled. It is
// far below the seconds that a load takes, so that no gap is missed.
const monitorInterval = 50 * time.Millisecond

// GroundTruth is what really happened at the upstreams during a run, taken from their
// own state and records alone.
type GroundTruth struct {
	Overcommits  []engine.Overcommit
	ModelLoads   int // models that engines loaded on order
	AdapterLoads int // adapters that engines loaded on order
	// LongestGaps holds, by model, the longest time without a ready replica.
	LongestGaps map[string]time.Duration
}

// UnreachableModels returns the models that had no ready replica for longer than their
// MaxOnDemandSeconds allows; with 0 a model must be ready at all times.
func (t GroundTruth) UnreachableModels(c *config.Config) []string {
	var out []string
	for _, m := range c.Models {
		if t.LongestGaps[m.Name] > time.Duration(m.MaxOnDemandSeconds)*time.Second {
			out = append(out, m.Name)
		}
	}
	return out
}

// Monitor samples the engines' actual state until ctx ends, and returns what it
// observed together with the engines' records.
func (u *Upstreams) Monitor(ctx context.Context) GroundTruth {
	t := GroundTruth{LongestGaps: map[string]time.Duration{}}
	lastReady := map[string]time.Time{} // by model: when it was last seen ready
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
