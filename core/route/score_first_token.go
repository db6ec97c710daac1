package route

import "peridotpier.example/core/class"

// Defaults for endpoints of unknown speed.
const (
	plainServiceMs = 5.0 // time of a look-up at a plain service
	batchSlowdown  = 1.0 // share by which a full batch lengthens a decoding step
	prefillShare   = 0.5 // share by which a full batch lengthens the prefill of a new request
)

// firstTokenScorer predicts the time to the first token from the corrected load and the
// endpoint's speed: waiting for a slot, the prefill beside the running requests, and one
// decoding step.
type firstTokenScorer struct {
	typicalTokens int
}

// predictStepMs returns the time of one decoding step: the recently observed time, or an
// estimate from the model's speed and the load.
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

// lengthScorer predicts the time from the first token to the last from the expected length
// of the answer and the endpoint's speed.
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
		queued = 0 // engines respect priorities: urgent requests pass those that wait
	}
	tokens := e.MeanAnswerTokens
	if tokens <= 0 {
		tokens = float64(f.typicalTokens)
	}
	held := prefill + tokens*step
	return firstToken + held*(queued+1)/batch
}
