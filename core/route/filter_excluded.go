package route

// excludedFilter applies the request's own history: an upstream that has refused or failed
// the request is not tried again for it.
type excludedFilter struct{}

func (excludedFilter) keep(e *Endpoint, r *Request) Reason {
	for i := range r.Excluded {
		if r.Excluded[i] == "" {
			break // the list is filled from the front
		}
		if r.Excluded[i] == e.Upstream {
			return AllExcluded
		}
	}
	return Found
}
