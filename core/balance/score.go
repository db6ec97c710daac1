package balance

import "time"

// What a request costs the others at an upstream, in milliseconds of delay.
const (
	// prefillTokensPerMs is how fast an engine reads prompts. Only the order
	// of the predictions depends on it, not which upstreams are considered.
	prefillTokensPerMs = 20.0
	// stepMs is one decoding step, and rowMs what each request in the batch
	// adds to it: with 40 requests a step is a tenth longer.
	stepMs       = 10.0
	perRequestMs = 0.33
	// plainCallMs is a call of a plain service when its size is not known.
	plainCallMs = 15.0
	// remoteMs is the way to another data centre and back; as a score it also
	// stands for the price of the bytes that cross.
	remoteMs = 3.0
	// connectMs stands for a new connection: its way and back, and its price.
	connectMs = 8.0
	// warmupMs counts against an upstream that has just started.
	warmupMs = 200.0
	// tieBreakMs spreads hosts that see equals.
	tieBreakMs = 2.0
)

// score predicts the milliseconds until the first event, plus what the request
// costs the others that run there.
func score(e *Endpoint, r *Request) float64 {
	s := 0.0
	if !e.SameDataCentre {
		s += remoteMs
	}
	if !e.HasIdleConn {
		s += connectMs
	}
	if e.WarmupRemaining > 0 {
		s += warmupMs * min(1, e.WarmupRemaining.Seconds()/time.Second.Seconds())
	}
	if r.Model == "" {
		return s + plainCallMs*float64(e.InFlight)/float64(max(e.Slots, 1))
	}
	prompt := max(r.PromptTokens-e.CachedTokens, 0)
	s += float64(e.PendingPromptTokens+prompt) / prefillTokensPerMs
	s += perRequestMs * float64(e.InFlight) * stepsToFirstToken(e)
	return s
}

// stepsToFirstToken is how many decoding steps the first event waits for about: one when
// the batch has room, more when requests must end before this one begins.
func stepsToFirstToken(e *Endpoint) float64 {
	over := e.InFlight - e.Slots
	if e.Slots == 0 || over < 0 {
		return 1
	}
	return 1 + float64(over)*stepMs
}
