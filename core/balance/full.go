package balance

const (
	// maxInFlightPerSlot is how many requests per slot an upstream may have before
	// it counts as full. Requests in its queue cannot be recalled and are lost if
	// it stops responding; a short queue keeps its batch filled.
	maxInFlightPerSlot = 1.25
	// maxPlainInFlightPerSlot is the same bound for plain services. Their requests
	// take milliseconds, so the queue empties within one answer's objective.
	maxPlainInFlightPerSlot = 3.0
	// maxCacheShare is the share of an upstream's token cache that may be committed.
	// Above it the upstream preempts running requests and repeats their prefill.
	maxCacheShare = 0.92
)

// isFull reports whether the upstream has no capacity left for the request.
func isFull(e *Endpoint, r *Request) bool {
	if r.Model == "" {
		return e.Slots > 0 && float64(e.InFlight) >= e.perSlot(maxPlainInFlightPerSlot)*float64(e.Slots)
	}
	if e.Slots > 0 && float64(e.InFlight) >= e.perSlot(maxInFlightPerSlot)*float64(e.Slots) {
		return true
	}
	capacity := maxCacheShare * float64(r.CacheTokens)
	return r.CacheTokens > 0 && e.InFlight > 0 && float64(e.InFlightTokens+r.PromptTokens+r.OutputTokens) > capacity
}
