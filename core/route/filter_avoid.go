package route

// avoidFilter trusts the request's own history: an upstream that refused or
// failed it is not tried again for it.
type avoidFilter struct{}

func (avoidFilter) keep(e *Endpoint, r *Request) Reason {
	for i := range r.Avoid {
		if r.Avoid[i] == "" {
			break // filled from the front
		}
		if r.Avoid[i] == e.Upstream {
			return AllAvoid
		}
	}
	return Found
}
