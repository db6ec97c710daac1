package route

// leavingFilter trusts the first signal from anywhere that an upstream is
// leaving. Within an incarnation leaving is never undone.
type leavingFilter struct{}

func (leavingFilter) keep(e *Endpoint, _ *Request) Reason {
	if e.Draining {
		return AllExcluded
	}
	return Found
}
