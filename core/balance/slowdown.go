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
func (e *Endpoint) perSlot(usual float64) float64 {
	return 1 + (usual-1)/max(e.slowdown(), fastestRoom)
}

// fastestRoom is the slowdown from which on a faster upstream gets no longer queue: its
// statement may be wrong, and what waits there cannot be recalled.
const fastestRoom = 0.5

// smallerRoomFrom is the slowdown from which the room for prompts is smaller. Below it the
// streams bear the same room, since the assumed speed that it follows from is a low one,
// and a smaller room makes requests wait.
const smallerRoomFrom = 1.5

// pendingLimit returns how many prompt tokens may be waiting at the endpoint, where so
// many may at one of usual speed: the streams there pause while they are read.
func (e *Endpoint) pendingLimit(usual int) int {
	if e.slowdown() < smallerRoomFrom {
		return usual
	}
	return int(float64(usual) / e.slowdown())
}
