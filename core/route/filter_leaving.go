package route

// drainingFilter trusts the first signal from anywhere that an upstream is
// leaving. Within an incarnation leaving is never undone.
type drainingFilter struct{}

func (drainingFilter) keep(e *Endpoint, _ *Request) Reason {
	if e.Draining {
		return AllExcluded
	}
	return Found
}
