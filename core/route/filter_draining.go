package route

// drainingFilter applies the first signal from any source that an upstream is draining.
// Draining is never undone within an incarnation.
type drainingFilter struct{}

func (drainingFilter) keep(e *Endpoint, _ *Request) Reason {
	if e.Draining {
		return AllExcluded
	}
	return Found
}
