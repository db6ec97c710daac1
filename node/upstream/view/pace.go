package view

import "time"

const (
	// stepTimeValidity is how long an observed pace holds: an engine's batch, and its
	// pace with it, changes within seconds.
	stepTimeValidity = 2 * time.Second
	// stepWeight is the part that one sample has in the mean pace; with a
	// sample from each stream every few steps, it follows within a second.
	stepWeight = 0.2
	// prefillWeight is the part that one sample has in the mean prefill, which
	// depends on prompts and hardly on load.
	prefillWeight = 0.05
)

// ObserveStepTime takes the time of one decoding step that a stream showed.
func (v *View) ObserveStepTime(upstream string, step time.Duration) {
	s := v.lockState(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	now, ms := v.now(), float64(step)/float64(time.Millisecond)
	if now.Sub(s.stepAt) >= stepTimeValidity {
		s.stepMs = ms
	}
	s.stepMs += stepWeight * (ms - s.stepMs)
	s.stepAt = now
	v.dirty.Store(true)
}

// ObserveFirstToken takes the time from an attempt's dispatch to its first token, of one
// that found a free place in the batch.
func (v *View) ObserveFirstToken(upstream string, first time.Duration) {
	s := v.lockState(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	ms := float64(first) / float64(time.Millisecond)
	if s.prefillMs == 0 {
		s.prefillMs = ms
	}
	s.prefillMs += prefillWeight * (ms - s.prefillMs)
}

// ObserveAnswerLength takes the length of an answer that the upstream gave.
func (v *View) ObserveAnswerLength(upstream string, tokens int) {
	s := v.lockState(upstream)
	if s == nil {
		return
	}
	defer s.mu.Unlock()
	if s.meanAnswerTokens == 0 {
		s.meanAnswerTokens = float64(tokens)
	}
	s.meanAnswerTokens += prefillWeight * (float64(tokens) - s.meanAnswerTokens)
}
