package balance

const (
	// maxInFlightPerSlot is how many requests an upstream may have per slot before it
	// counts as full. What waits in its queue cannot be called back, and is
	// lost if it falls silent; a little queue keeps its batch filled.
	maxInFlightPerSlot = 1.25
	// maxPlainInFlightPerSlot is the same for plain services, whose requests take
	// milliseconds: their queue empties within one answer's objective.
	maxPlainInFlightPerSlot = 3.0
	// maxCacheShare is how much of an upstream's token memory may be promised.
	// Past it, it preempts running requests and reads them anew.
	maxCacheShare = 0.92
)

// isFull says that the upstream should get no more for now.
func isFull(e *Endpoint, r *Request) bool {
	if r.Model == "" {
		return e.Slots > 0 && float64(e.InFlight) >= maxPlainInFlightPerSlot*float64(e.Slots)
	}
	if e.Slots > 0 && float64(e.InFlight) >= maxInFlightPerSlot*float64(e.Slots) {
		return true
	}
	room := maxCacheShare * float64(r.CacheTokens)
	return r.CacheTokens > 0 && e.InFlight > 0 && float64(e.InFlightTokens+r.PromptTokens+r.OutputTokens) > room
}
