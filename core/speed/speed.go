// Package speed learns what requests take of a service's engines from what
// their answers show: how fast prompts are read, how fast answers are made, and
// how much of a prompt the engines have kept. Deployments differ in it by
// several times, and so do the models of one; a constant for it makes hot models
// seem hotter than they are and take the places of the rare ones, or the other
// way round. It does no I/O and has no clock.
package speed

import "time"

// What is expected before anything was seen. It decides for the first second
// or two of a deployment's first holder only.
const (
	priorPrefillMs     = 1 / 20.0 // for a token of prompt
	priorGenerationMs  = 10.0     // for a token of an answer
	priorUncachedShare = 1.0      // share of a prompt that is read: nothing is kept
)

// Observations is what was seen of one model, or of all models of a service.
type Observations struct {
	prefill    regression    // ms until the first event, by tokens that had to be read
	generation decayingRatio // ms from the first event to the last, by tokens of the answer
	uncached   decayingRatio // tokens that had to be read, by tokens of the prompt
}

// Estimator is what is known of one model: what was seen of it, and of the others
// of its service as long as that is little.
type Estimator struct{ Own, Service *Observations }

// AddPrompt notes that a request was sent of whose prompt so many tokens had to be read.
func (m Estimator) AddPrompt(prompt, toRead int) {
	for _, e := range []*Observations{m.Own, m.Service} {
		e.uncached.add(float64(prompt), float64(toRead))
	}
}

// Read notes how long a prompt took to be read on an upstream that had no other
// prompt to read.
func (m Estimator) Read(tokens int, took time.Duration) {
	x, y := float64(tokens), ms(took)
	m.Own.prefill.add(x, y, m.servicePrefillMs())
	m.Service.prefill.add(x, y, priorPrefillMs)
}

// AddGeneration notes how long an answer took from its first event to its end; tokens is
// what was expected of its length, as it is of the next ones.
func (m Estimator) AddGeneration(tokens int, took time.Duration) {
	for _, e := range []*Observations{m.Own, m.Service} {
		e.generation.add(float64(tokens), ms(took))
	}
}

func (m Estimator) servicePrefillMs() float64 { return m.Service.prefill.slope(priorPrefillMs) }

// PrefillMsPerToken is how long an engine that reads nothing else takes for a token of
// prompt, in milliseconds.
func (m Estimator) PrefillMsPerToken() float64 { return m.Own.prefill.slope(m.servicePrefillMs()) }

// generationMsPerToken is how long a token of an answer takes, in milliseconds.
func (m Estimator) generationMsPerToken() float64 {
	return m.Own.generation.value(m.Service.generation.value(priorGenerationMs))
}

// uncachedShare is how much of a prompt has to be read.
func (m Estimator) uncachedShare() float64 {
	return m.Own.uncached.value(m.Service.uncached.value(priorUncachedShare))
}

// EngineTime is what requests with so many tokens of prompt and of answer take
// of one engine's time. Prompts are read one after the other; answers are made
// together, as many at once as the engine has slots.
func (m Estimator) EngineTime(prompt, output, slots int) time.Duration {
	reading := float64(prompt) * m.uncachedShare() * m.PrefillMsPerToken()
	making := float64(output) * m.generationMsPerToken() / float64(max(slots, 1))
	return time.Duration((reading + making) * float64(time.Millisecond))
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
