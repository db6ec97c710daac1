package route

import "peridotpier.example/core/class"

// Figures for endpoints whose speed is not known.
const (
	unknownServiceMs = 5.0 // a look-up at a plain service
	batchSlowdown    = 1.0 // a step in a full batch takes about this share longer than alone
	prefillShare     = 0.5 // of those in the batch, the part of a prefill that each delays a new one by, over a full batch
)

// firstTokenScorer trusts the corrected load and the endpoint's known speed:
// queueing for a slot, then the prefill beside those that run, then one step.
type firstTokenScorer struct {
	typicalTokens int
}

func (f firstTokenScorer) score(e *Endpoint, r *Request, _ bool) float64 {
	load, batch := float64(e.load()), float64(max(e.MaxBatch, 1))
	prefill, token := e.PrefillMs, e.TokenMs
	if prefill <= 0 && token <= 0 {
		prefill = unknownServiceMs
	}
	fill := min(load/batch, 1)
	step := token * (1 + batchSlowdown*fill)
	firstToken := prefill*(1+prefillShare*load/batch) + step
	if load < batch {
		return firstToken
	}
	queued := load - batch
	if r.Class == class.Urgent {
		queued = 0 // engines honour priorities: urgent work passes those that wait
	}
	held := prefill + float64(f.typicalTokens)*step
	return firstToken + held*(queued+1)/batch
}
