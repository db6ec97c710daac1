package prefill

import "time"

// Service is what was learnt from the engines of one service: how much time passes from a
// permit to the report of the first event beside the reading of the prompt, how far
// predictions are off, and the time of one step. The zero value is a service of which
// nothing is known.
type Service struct {
	EventTokens int // tokens of one event of a stream

	n        float64 // weight of the observed first events
	overhead float64 // seconds
	err      float64 // seconds
	tokens   float64 // of answers, decaying
	steps    float64 // seconds that they took without the readings meanwhile, decaying
}

const (
	// sampleWeight is the weight of one observation among the newest: about the last
	// thirty count.
	sampleWeight = 0.03
	// minSamples is how many first events must have been observed before predictions
	// are relied on.
	minSamples = 10
	// maxSample bounds one observation to a multiple of the mean of those before it: a
	// host that froze tells nothing about the way of the others.
	maxSample = 3.0
	// priorStep is the time of a step before any is observed, and the weight of the prior in tokens.
	priorStep   = 10 * time.Millisecond
	priorTokens = 100
)

// addFirstEvent records the time from the grant of a prompt to the report of the first
// event of its answer, at an engine that had no other prompt. read is the predicted
// reading.
func (s *Service) addFirstEvent(took, read time.Duration) {
	rest := max((took - read).Seconds(), 0)
	if s.n >= minSamples {
		rest = min(rest, maxSample*s.overhead+s.err)
	}
	off := rest - s.overhead
	s.n++
	weight := max(sampleWeight, 1/s.n)
	s.overhead += weight * off
	s.err += weight * (max(off, -off) - s.err)
}

// addAnswer records the time of an answer's steps.
func (s *Service) addAnswer(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.tokens = s.tokens*(1-sampleWeight) + float64(tokens)
	s.steps = s.steps*(1-sampleWeight) + took.Seconds()
}

// Overhead returns how long the report of a first event takes beside the reading: the
// permit and the request on their way, the event's steps, and the report. 0: not known.
func (s *Service) Overhead() time.Duration {
	if s.n < minSamples {
		return 0
	}
	return seconds(s.overhead)
}

// Error returns how far the prediction of a first event is off in the mean.
func (s *Service) Error() time.Duration { return seconds(s.err) }

// Step returns the time of one step that reads no prompt.
func (s *Service) Step() time.Duration {
	return seconds((s.steps + priorTokens*priorStep.Seconds()) / (s.tokens + priorTokens))
}

// Span returns the time of the steps of one event, at an engine where work takes slowdown
// times its usual time; 0: not known.
func (s *Service) Span(slowdown float64) time.Duration {
	return time.Duration(float64(max(s.EventTokens, 1)) * float64(s.Step()) * Multiple(slowdown))
}

// Multiple returns the slowdown of an engine as a factor: 1 if it is not known.
func Multiple(slowdown float64) float64 {
	if slowdown <= 0 {
		return 1
	}
	return slowdown
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
