package route

// downFilter applies the state of this host's own connections: they fail or are unresponsive.
type downFilter struct{}

func (downFilter) keep(e *Endpoint, _ *Request) Reason {
	if e.Down {
		return AllExcluded
	}
	return Found
}
