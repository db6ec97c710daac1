package route

// readyFilter applies the newest report of what an engine can answer. An adapter needs its
// own entry, which an engine reports only while the base model is ready too. The
// snapshot's index by model may be older than the endpoint's state.
type readyFilter struct{}

func (readyFilter) keep(e *Endpoint, r *Request) Reason {
	if r.PlainService || e.Ready[r.Key] {
		return Found
	}
	return AllExcluded
}
