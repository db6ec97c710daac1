package route

import "peridotpier.example/core/class"

// Figures for endpoints whose speed is not known.
const (
	plainServiceMs = 5.0 // a look-up at a plain service
	batchSlowdown  = 1.0 // a step in a full batch takes about this share longer than alone
	prefillShare   = 0.5 // of those in the batch, the part of a prefill that each delays a new one by, over a full batch
)

// firstTokenScorer trusts the corrected load and the endpoint's known speed:
// queueing for a slot, then the prefill beside those that run, then one step.
type firstTokenScorer struct {
	typicalTokens int
}

// predictStepMs is the time of one decoding step: as seen lately, or as the model's
// speed and the load would make it.
func (e *Endpoint) predictStepMs(r *Request, fill float64) float64 {
	if e.RecentStepMs > 0 {
		return e.RecentStepMs
	}
	token := e.IdleStepMs
	if token <= 0 {
		token = r.IdleStepMs
	}
	return token * (1 + batchSlowdown*min(fill, 1))
}

// lengthScorer trusts the expected length and the endpoint's pace: the time
// from the first token to the last.
type lengthScorer struct{}

func (lengthScorer) score(e *Endpoint, r *Request, _ bool) float64 {
	if r.AnswerTokens <= 1 {
		return 0
	}
	return float64(r.AnswerTokens-1) * e.predictStepMs(r, float64(e.load())/float64(max(e.MaxBatch, 1)))
}

func (f firstTokenScorer) score(e *Endpoint, r *Request, _ bool) float64 {
	load, batch := float64(e.load()), float64(max(e.MaxBatch, 1))
	prefill, step := e.PrefillMs, e.predictStepMs(r, load/batch)
	if prefill <= 0 && step <= 0 {
		prefill = plainServiceMs
	}
	firstToken := prefill*(1+prefillShare*load/batch) + step
	if load < batch {
		return firstToken
	}
	queued := load - batch
	if r.Class == class.Urgent {
		queued = 0 // engines honour priorities: urgent work passes those that wait
	}
	tokens := e.MeanAnswerTokens
	if tokens <= 0 {
		tokens = float64(f.typicalTokens)
	}
	held := prefill + tokens*step
	return firstToken + held*(queued+1)/batch
}
