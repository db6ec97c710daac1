// Package speed estimates from the answers of a service's engines how much engine time its
// requests take: how fast prompts are prefilled, how fast answers are generated, and which
// share of a prompt the engines have cached. These differ by a factor of several between
// deployments, and between the models of one deployment. With constants instead, busy models
// would seem busier than they are and displace rarely used ones, or the reverse. The package
// does no I/O and has no clock.
package speed

import "time"

// Priors, which are used before anything was observed. They matter only during the first
// second or two of a deployment's first lease holder.
const (
	priorPrefillMs     = 1 / 20.0 // for a token of a prompt
	priorGenerationMs  = 10.0     // for a token of an answer
	priorUncachedShare = 1.0      // share of a prompt that needs prefill; 1 means that nothing is cached
)

// Observations are the observations of one model, or of all models of a service.
type Observations struct {
	prefill    regression    // ms until the first event, by prompt tokens that needed prefill
	generation decayingRatio // ms from the first event to the last, by tokens of the answer
	uncached   decayingRatio // tokens that needed prefill, by tokens of the prompt
	calls      decayingRatio // ms of calls of a plain service, by calls
}

// Estimator estimates one model's speed from the observations of the model, and from those
// of its whole service as long as there are few of the model.
type Estimator struct{ Own, Service *Observations }

// AddPrompt records a request with a prompt of which uncached tokens need prefill.
func (m Estimator) AddPrompt(prompt, uncached int) {
	for _, e := range []*Observations{m.Own, m.Service} {
		e.uncached.add(float64(prompt), float64(uncached))
	}
}

// Read records how long the prefill of a prompt's uncached tokens took on an upstream
// that had no other prompt to prefill.
func (m Estimator) Read(tokens int, took time.Duration) {
	x, y := float64(tokens), ms(took)
	m.Own.prefill.add(x, y, m.servicePrefillMs())
	m.Service.prefill.add(x, y, priorPrefillMs)
}

// FirstEvent returns how long it usually takes until an upstream that has no other prompt
// to prefill has prefilled so many tokens; 0 if too few prompts were observed to tell.
func (m Estimator) FirstEvent(tokens int) time.Duration {
	if m.Service.prefill.n < minObserved {
		return 0
	}
	expected := m.Service.prefill.predict(float64(tokens), priorPrefillMs)
	if m.Own.prefill.n >= minObserved {
		expected = m.Own.prefill.predict(float64(tokens), m.servicePrefillMs())
	}
	return time.Duration(expected * float64(time.Millisecond))
}

// AddCall records how long a call of a plain service took.
func (m Estimator) AddCall(took time.Duration) { m.Own.calls.add(1, ms(took)) }

// Call returns how long a call of a plain service usually takes; 0 if too few were
// observed to tell.
func (m Estimator) Call() time.Duration {
	if m.Own.calls.n < minObserved {
		return 0
	}
	return time.Duration(m.Own.calls.y / m.Own.calls.x * float64(time.Millisecond))
}

// minObserved is how many observations, decayed, it takes to compare a single one with
// them.
const minObserved = 8.0

// AddGeneration records how long an answer took from its first event to its end. tokens is
// the expected length of the answer, as it is for later estimates.
func (m Estimator) AddGeneration(tokens int, took time.Duration) {
	for _, e := range []*Observations{m.Own, m.Service} {
		e.generation.add(float64(tokens), ms(took))
	}
}

func (m Estimator) servicePrefillMs() float64 { return m.Service.prefill.slope(priorPrefillMs) }

// PrefillMsPerToken returns the time, in milliseconds, that an engine takes for the prefill
// of one prompt token while it prefills nothing else.
func (m Estimator) PrefillMsPerToken() float64 { return m.Own.prefill.slope(m.servicePrefillMs()) }

// GenerationMsPerToken returns the time of one answer token, in milliseconds.
func (m Estimator) GenerationMsPerToken() float64 {
	return m.Own.generation.value(m.Service.generation.value(priorGenerationMs))
}

// uncachedShare returns the share of a prompt that needs prefill.
func (m Estimator) uncachedShare() float64 {
	return m.Own.uncached.value(m.Service.uncached.value(priorUncachedShare))
}

// EngineTime returns how much of one engine's time requests take that have prompt and output
// tokens in total. Prompts are prefilled one after the other; answers are generated together,
// as many at a time as the engine has slots.
func (m Estimator) EngineTime(prompt, output, slots int) time.Duration {
	prefill := float64(prompt) * m.uncachedShare() * m.PrefillMsPerToken()
	generation := float64(output) * m.GenerationMsPerToken() / float64(max(slots, 1))
	return time.Duration((prefill + generation) * float64(time.Millisecond))
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
