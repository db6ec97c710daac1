package balance

import "time"

// Costs of a request at an upstream, in milliseconds of delay unless said otherwise.
const (
	// prefillTokensPerMs is the assumed prefill speed of an engine. The order of the
	// predictions and PendingPromptLimit depend on it.
	prefillTokensPerMs = 20.0
	// stepMs is the time of one decoding step, and perRequestMs what each request in the
	// batch adds to it: with 40 requests a step is 2.3 times as long.
	stepMs       = 10.0
	perRequestMs = 0.33
	// plainCallMs is the assumed time of a call to a plain service, whose size is not known.
	plainCallMs = 15.0
	// remoteMs is the assumed round trip to another data centre, while it is not known.
	remoteMs = 3.0
	// localityShare is the share of what is left of the objective by which the first event of
	// an answer may come later so that nothing crosses to another data centre.
	localityShare = 0.1
	// localityRoundTrips bounds that by the distance: between data centres of one city, a
	// fraction of a millisecond apart, the load decides.
	localityRoundTrips = 10.0
	// connectMs is the round trip for opening a connection and the cost of doing so.
	connectMs = 8.0
	// warmupMs is the penalty of an upstream that has just started.
	warmupMs = 200.0
	// lastOfVersionMs is what it counts against an upstream that no other one runs the
	// version of: a stream that begins there cannot go on elsewhere. It decides between
	// upstreams of about equal load.
	lastOfVersionMs = 2 * tieBreakMs
	// tieBreakMs is the range of the random amount that is added to each score, so
	// that hosts which see equal endpoints choose different ones.
	tieBreakMs = 2.0
)

// score predicts the milliseconds until the first event, plus the delay that the
// request causes to the others on the upstream.
func score(e *Endpoint, r *Request, t Times) float64 {
	s := 0.0
	s += distanceMs(e, r)
	if !e.HasIdleConn {
		s += connectMs
	}
	if e.WarmupRemaining > 0 {
		s += warmupMs * min(1, e.WarmupRemaining.Seconds()/time.Second.Seconds())
	}
	if r.Model == "" {
		return s + t.CallMs*(e.slowdown()*float64(e.InFlight)/float64(max(e.Slots, 1))+e.slowdown()-1)
	}
	prompt := max(r.PromptTokens-e.CachedTokens, 0)
	work := float64(e.PendingPromptTokens+prompt)*t.PrefillMsPerToken + firstStepMs(e, r, t)
	return s + e.slowdown()*work
}

// distanceMs returns what the way to another data centre counts: the round trip, and up to
// localityRoundTrips of them while that is within localityShare of what is left of the
// objective. An answer that much later still has its full value, and neither the request nor
// the events of the answer cross.
func distanceMs(e *Endpoint, r *Request) float64 {
	switch {
	case e.SameDataCentre:
		return 0
	case e.RemoteMs == 0:
		return remoteMs
	}
	slack := localityShare * inMs(max(r.InTime-r.Waited, 0))
	return max(e.RemoteMs, min(localityRoundTrips*e.RemoteMs, slack))
}

// firstStepMs predicts the milliseconds by which the batch delays the first event: what the
// requests in it add to one step, and the wait for a slot.
func firstStepMs(e *Endpoint, r *Request, t Times) float64 {
	if e.Slots == 0 || e.InFlight < e.Slots {
		return perRequestMs * float64(e.InFlight)
	}
	slots := float64(e.Slots)
	return perRequestMs*slots + stepsToFreeSlot(e, r)*t.fullStepMs(e.Slots)
}

// stepsToFreeSlot estimates how many decoding steps pass until an upstream with a full batch
// has a slot for the request: all before it in the queue, and it itself, need the end of
// another. A batch of answers as long as the request's ends one in OutputTokens / Slots steps.
func stepsToFreeSlot(e *Endpoint, r *Request) float64 {
	ends := e.InFlight - e.Slots + 1
	return float64(ends) * float64(max(r.OutputTokens, 1)) / float64(e.Slots)
}
