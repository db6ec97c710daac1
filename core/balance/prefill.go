package balance

import "time"

// prefillSaturated reports whether so many prompt tokens await prefill at the
// upstream that one more prompt would make the streams there pause for too long:
// an engine prefills a chunk of the waiting prompts between any two tokens that
// it decodes. A request that has not been sent yet can still go to whichever
// upstream finishes first.
func prefillSaturated(e *Endpoint, r *Request) bool {
	return r.MaxPendingPromptTokens > 0 && e.PendingPromptTokens > 0 && e.PendingPromptTokens+r.PromptTokens > e.pendingLimit(r.MaxPendingPromptTokens)
}

// PendingPromptLimit returns how many prompt tokens may await prefill at an upstream
// whose streams must not pause for longer than bound between events of eventTokens
// tokens each. It returns 0, no limit, if bound is not positive.
func PendingPromptLimit(bound time.Duration, eventTokens int) int {
	if bound <= 0 {
		return 0
	}
	perToken := bound.Seconds()*1000/float64(max(eventTokens, 1)) - stepMs - stepMarginMs
	return max(int(perToken*prefillTokensPerMs), minPendingPromptLimit)
}

const (
	// stepMarginMs is left free for steps that get longer as the batch grows.
	stepMarginMs = 2.0
	// minPendingPromptLimit, in tokens, admits a prompt of usual size under any bound.
	minPendingPromptLimit = 2000
)
