package balance

import "time"

// prefillSaturated says that the upstream has so many prompt tokens to read that one
// more prompt would make the streams there pause for too long: an engine reads
// a piece of the waiting prompts between any two tokens that it makes. What is
// not sent yet can still go to whichever upstream is done first.
func prefillSaturated(e *Endpoint, r *Request) bool {
	return r.MaxPendingPromptTokens > 0 && e.PendingPromptTokens > 0 && e.PendingPromptTokens+r.PromptTokens > r.MaxPendingPromptTokens
}

// PendingPromptLimit is how many prompt tokens may wait at an upstream whose streams
// must not pause for longer than bound between events of some tokens.
func PendingPromptLimit(bound time.Duration, eventTokens int) int {
	if bound <= 0 {
		return 0
	}
	perToken := bound.Seconds()*1000/float64(max(eventTokens, 1)) - stepMs - stepMarginMs
	return max(int(perToken*prefillTokensPerMs), minPendingPromptLimit)
}

const (
	// stepMarginMs covers the batch's own growth of a step, in milliseconds.
	stepMarginMs = 2.0
	// minPendingPromptLimit lets a usual prompt through under any bound, in tokens.
	minPendingPromptLimit = 2000
)
