package site

import (
	"slices"
	"time"

	"peridotpier.example/standin/load"
)

// bytesPerToken is the number of bytes of a prompt that a stand-in engine counts
// as one token.
const bytesPerToken = 4

// AttainmentBound returns an upper bound on the share of a plan's requests that any
// policy can complete within their deadlines. It assumes conditions that no policy
// can have: all engines work as one, every model is ready on it, batches are always
// full, prompt prefixes are cached and there is no network distance. A request then
// misses its deadline only if it takes longer than that when it runs alone, or if all
// requests together need more time than the engines have before the last deadline;
// in the latter case the smallest requests are served first.
func (s *Site) AttainmentBound(plan []load.Arrival) float64 {
	if len(plan) == 0 {
		return 1
	}
	engines, batch := s.enginesAndBatch()
	tokens := s.tokenTimes()
	var work []float64 // accelerator seconds of each request that meets its deadline when it runs alone
	met, end := 0, time.Duration(0)
	for _, a := range plan {
		if a.Source.Model == "" {
			met++ // a call to a plain service
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

// prefillTime returns the time to process the part of a prompt that no cached prefix
// covers.
func (s *Site) prefillTime(a load.Arrival) time.Duration {
	saved := 0.0
	if a.Prefix > 0 {
		saved = s.Engines.PrefixSavedShare
	}
	tokens := float64(a.PromptBytes) / bytesPerToken * (1 - saved)
	return time.Duration(tokens * float64(s.Engines.PrefillUsToken) * float64(time.Microsecond))
}
