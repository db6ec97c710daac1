package route

// downFilter trusts this host's own connections: they fail or went silent.
type downFilter struct{}

func (downFilter) keep(e *Endpoint, _ *Request) Reason {
	if e.Down {
		return AllExcluded
	}
	return Found
}
