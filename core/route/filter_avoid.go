package route

// excludedFilter trusts the request's own history: an upstream that refused or
// failed it is not tried again for it.
type excludedFilter struct{}

func (excludedFilter) keep(e *Endpoint, r *Request) Reason {
	for i := range r.Excluded {
		if r.Excluded[i] == "" {
			break // filled from the front
		}
		if r.Excluded[i] == e.Upstream {
			return AllExcluded
		}
	}
	return Found
}
