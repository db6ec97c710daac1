package view

import "time"

const (
	// stepTimeValidity is how long an observed step time is used: an engine's batch,
	// and with it the step time, changes within seconds.
	stepTimeValidity = 2 * time.Second
	// stepWeight is the weight of one sample in the moving average of the step time;
	// with a sample from each stream every few steps, the average follows within a second.
	stepWeight = 0.2
	// prefillWeight is the weight of one sample in the moving averages of the prefill
	// time, which depends on prompts and hardly on load, and of the answer length.
	prefillWeight = 0.05
)

// ObserveStepTime records the time of one decoding step, as measured on a stream.
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

// ObserveFirstToken records the time from an attempt's dispatch to its first token,
// for an attempt that did not have to wait for a slot in the batch.
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

// ObserveAnswerLength records the length of an answer of the upstream, in tokens.
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
