package balance

// Times are the usual times of a request's work at the upstreams of its service, as they
// were learnt. Those that are 0 are not known, and assumed.
type Times struct {
	PrefillMsPerToken float64
	StepMs            float64 // of one decoding step
	CallMs            float64 // of a call of a plain service
}

// assumed returns the times with those that are not known replaced.
func (t Times) assumed() Times {
	if t.PrefillMsPerToken <= 0 {
		t.PrefillMsPerToken = 1 / prefillTokensPerMs
	}
	if t.CallMs <= 0 {
		t.CallMs = plainCallMs
	}
	return t
}

// fullStepMs returns the time of one decoding step of a full batch.
func (t Times) fullStepMs(slots int) float64 {
	if t.StepMs > 0 {
		return t.StepMs
	}
	return stepMs + perRequestMs*float64(slots)
}

// slowdown returns how long work takes at the endpoint, as a multiple of the usual time.
func (e *Endpoint) slowdown() float64 {
	if e.Slowdown <= 0 {
		return 1
	}
	return e.Slowdown
}

// perSlot returns how many requests per slot the endpoint may have, where one of usual
// speed may have so many: those that wait there wait for longer at a slower one.
func (e *Endpoint) perSlot(usual float64) float64 { return 1 + (usual-1)/e.slowdown() }

// maxAssumedError bounds by which factor the assumed speed of engines may be off, in the
// room for prompts: what was learnt from requests of about one size says little of others.
const maxAssumedError = 2.0

// pendingLimit returns how many prompt tokens may be waiting at the endpoint, where so
// many may at one that reads at the assumed speed: the streams there pause while they are
// read.
func (e *Endpoint) pendingLimit(atAssumedSpeed int, t Times) int {
	reads := 1.0
	if t.PrefillMsPerToken > 0 {
		reads = min(max(1/(t.PrefillMsPerToken*prefillTokensPerMs), 1/maxAssumedError), maxAssumedError)
	}
	return int(float64(atAssumedSpeed) * reads / max(e.slowdown(), 1))
}
