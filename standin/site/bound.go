package site

import (
	"slices"
	"time"

	"peridotpier.example/standin/load"
)

// bytesPerToken is what a stand-in engine takes a prompt's token to be.
const bytesPerToken = 4

// AttainmentBound is an upper bound on the attainment of any policy on a plan. It grants
// everything that no policy can have: all engines as one, every model ready on
// it, batches always full, prompts cached, no distance. A request can then be
// late only if it takes longer than its deadline when alone, or if the work of
// all requests together is more than the engines can do before the last
// deadline; of those, the smallest are taken first.
func (s *Site) AttainmentBound(plan []load.Arrival) float64 {
	if len(plan) == 0 {
		return 1
	}
	engines, batch := s.enginesAndBatch()
	tokens := s.tokenTimes()
	var work []float64 // accelerator seconds of each request that could be met alone
	met, end := 0, time.Duration(0)
	for _, a := range plan {
		if a.Source.Model == "" {
			met++ // a plain service's call
			continue
		}
		token, prefill := tokens[a.Source.Model], s.prefillTime(a)
		if token*time.Duration(a.Tokens)+prefill > a.Source.Deadline {
			continue
		}
		full := token.Seconds() * (1 + s.Engines.BatchSlope*float64(batch-1)) / float64(batch)
		work = append(work, full*float64(a.Tokens)+prefill.Seconds())
		end = max(end, a.Offset+a.Source.Deadline)
	}
	slices.Sort(work)
	remaining := float64(engines) * end.Seconds()
	for _, w := range work {
		if remaining -= w; remaining < 0 {
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

// prefillTime is the time of the prompt that no cache saves.
func (s *Site) prefillTime(a load.Arrival) time.Duration {
	saved := 0.0
	if a.Prefix > 0 {
		saved = s.Engines.PrefixSavedShare
	}
	tokens := float64(a.PromptBytes) / bytesPerToken * (1 - saved)
	return time.Duration(tokens * float64(s.Engines.PrefillUsToken) * float64(time.Microsecond))
}
