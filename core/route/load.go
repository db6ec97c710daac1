package route

// load estimates the requests at an endpoint now. Signal trusted: the newest
// report, corrected by what this host dispatched and saw end since, and by
// what peers tell of theirs. It is never below this host's own attempts in
// flight, which are certain.
//
// Without the correction each host would send everything that arrives between
// two reports to the endpoint that looked idle in the last one.
func (e *Endpoint) load() int {
	return max(e.Running+e.Waiting+e.DispatchedSinceReport+e.PeerDispatchedSinceReport-e.CompletedSinceReport, e.InFlight, 0)
}
