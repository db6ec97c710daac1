package route

// load estimates the number of requests at an endpoint now. It uses the newest report,
// corrected by the requests that this host has dispatched and seen end since then, and by
// the dispatches that peers have reported. It is never below the number of this host's own
// attempts in flight, which is exact.
//
// Without the correction, each host would send all requests between two reports to the
// endpoint that appeared idle in the last one.
func (e *Endpoint) load() int {
	return max(e.Running+e.Waiting+e.DispatchedSinceReport+e.PeerDispatchedSinceReport-e.CompletedSinceReport, e.InFlight, 0)
}
