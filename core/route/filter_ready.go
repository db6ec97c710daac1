package route

// readyFilter trusts the newest report for what an engine can answer: an
// adapter needs its own entry, which an engine only reports when its base
// model is ready too. The snapshot's index by model may lag the endpoint.
type readyFilter struct{}

func (readyFilter) keep(e *Endpoint, r *Request) Reason {
	if r.PlainService || e.Ready[r.Key] {
		return Found
	}
	return AllExcluded
}
