package balance

// Times are the usual times of a request's work at the upstreams of its service, as they
// were learnt; 0: not known.
type Times struct {
	PrefillMsPerToken float64
	StepMs            float64 // of one decoding step
	CallMs            float64 // of a call of a plain service
}

// standInTimes are used where nothing was learnt.
var standInTimes = Times{PrefillMsPerToken: 1 / prefillTokensPerMs, CallMs: plainCallMs}

// usualTimes returns the times to score the endpoints with. How long work takes decides
// against the ways there only if the endpoints are known to differ: among equal ones it is
// the same for all.
func usualTimes(endpoints []Endpoint, r *Request) Times {
	out := standInTimes
	if !anyDiffers(endpoints) {
		return out
	}
	if r.Usual.PrefillMsPerToken > 0 {
		out.PrefillMsPerToken = r.Usual.PrefillMsPerToken
	}
	if r.Usual.CallMs > 0 {
		out.CallMs = r.Usual.CallMs
	}
	out.StepMs = r.Usual.StepMs
	return out
}

// FullStepMs returns the time of one decoding step of a full batch.
func (t Times) FullStepMs(slots int) float64 {
	if t.StepMs > 0 {
		return t.StepMs
	}
	return stepMs + perRequestMs*float64(slots)
}

func anyDiffers(endpoints []Endpoint) bool {
	for i := range endpoints {
		if endpoints[i].slowdown() != 1 {
			return true
		}
	}
	return false
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

// pendingLimit returns how many prompt tokens may be waiting at the endpoint, where so
// many may at one of usual speed: the streams there pause while they are read.
func (e *Endpoint) pendingLimit(usual int) int {
	if e.slowdown() == 1 {
		return usual
	}
	return int(float64(usual) / e.slowdown())
}
