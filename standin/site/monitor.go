package site

import (
	"context"
	"math"
	"slices"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/load"
)

// monitorEvery is how often the true state is looked at; far below the
// seconds that a load takes, so that no gap is missed.
const monitorEvery = 50 * time.Millisecond

// Truth is what was true of the upstreams during a run, from their own state
// and records alone.
type Truth struct {
	Overcommits []engine.Overcommit
	Moves       int // models loaded by order
	Adapters    int // adapters loaded by order
	// Gaps is, by model, the longest time without a ready replica.
	Gaps map[string]time.Duration
}

// Unreachable lists the models which must be ready at all times and were not.
func (t Truth) Unreachable(c *config.Config) []string {
	var out []string
	for _, m := range c.Models {
		if t.Gaps[m.Name] > time.Duration(m.MaxOnDemandSecs)*time.Second {
			out = append(out, m.Name)
		}
	}
	return out
}

// Monitor looks at the engines' true state until ctx ends.
func (u *Upstreams) Monitor(ctx context.Context) Truth {
	t := Truth{Gaps: map[string]time.Duration{}}
	since := map[string]time.Time{} // when a model was last seen ready
	began := time.Now()
	for _, m := range u.Config.Models {
		since[m.Name] = began
	}
	tick := time.NewTicker(monitorEvery)
	defer tick.Stop()
	for {
		now := time.Now()
		ready := u.ready()
		for _, m := range u.Config.Models {
			if ready[m.Name] {
				since[m.Name] = now
			}
			t.Gaps[m.Name] = max(t.Gaps[m.Name], now.Sub(since[m.Name]))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			u.sum(&t)
			return t
		}
	}
}

func (u *Upstreams) ready() map[string]bool {
	out := map[string]bool{}
	for _, e := range u.Engines {
		r := e.Truth()
		for _, res := range r.Residents {
			if res.Adapter == "" && res.State == engineapi.StateReady && !r.Leaving {
				out[res.Model] = true
			}
		}
	}
	return out
}

func (u *Upstreams) sum(t *Truth) {
	for _, e := range u.Engines {
		r := e.Records()
		t.Overcommits = append(t.Overcommits, r.Overcommits...)
		t.Moves += r.Loads
		t.Adapters += r.AdapterLoads
	}
}

// Bound is an upper bound on the attainment of any policy on a plan. It grants
// everything that no policy can have: all engines as one, every model ready on
// it, batches always full, prompts cached, no distance. A request can then be
// late only if it takes longer than its deadline when alone, or if the work of
// all requests together is more than the engines can do before the last
// deadline; of those, the smallest are taken first.
func (s *Site) Bound(plan []load.Arrival) float64 {
	if len(plan) == 0 {
		return 1
	}
	engines, batch := s.enginesAndBatch()
	var work []float64 // accelerator seconds of each request that could be met alone
	met, end := 0, time.Duration(0)
	for _, a := range plan {
		if a.Source.Model == "" {
			met++ // a plain service's call
			continue
		}
		token, prefill := s.costs(a)
		if token*time.Duration(a.Tokens)+prefill > a.Source.Deadline {
			continue
		}
		full := token.Seconds() * (1 + s.Engines.BatchSlope*float64(batch-1)) / float64(batch)
		work = append(work, full*float64(a.Tokens)+prefill.Seconds())
		end = max(end, a.At+a.Source.Deadline)
	}
	slices.Sort(work)
	left := float64(engines) * end.Seconds()
	for _, w := range work {
		if left -= w; left < 0 {
			break
		}
		met++
	}
	return float64(met) / float64(len(plan))
}

func (s *Site) enginesAndBatch() (engines, batch int) {
	for _, up := range s.Deployment.Upstreams {
		if up.Accelerators > 0 {
			engines++
			batch = max(batch, up.MaxBatch)
		}
	}
	return engines, max(batch, 1)
}

// costs are the time of one token alone and of the prompt that no cache saves.
func (s *Site) costs(a load.Arrival) (token, prefill time.Duration) {
	model := a.Source.Model
	for _, ad := range s.Deployment.Adapters {
		if ad.Name == model {
			model = ad.Model
		}
	}
	saved := 0.0
	if a.Prefix > 0 {
		saved = s.Engines.PrefixSaved
	}
	tokens := math.Max(float64(a.PromptBytes)/4*(1-saved), 0)
	return s.tokenTimes()[model], time.Duration(tokens * float64(s.Engines.PrefillUsToken) * float64(time.Microsecond))
}
