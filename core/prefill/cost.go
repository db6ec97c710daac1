package prefill

import "time"

// Late predicts how many of the running streams become late because the engine reads one
// more prompt, which takes read. slowdown is how long work takes at the engine, as a
// multiple of its usual time; 0: not known.
//
// A stream's chance to pause beyond its bound grows with the third power of the span's
// share of the bound, since readings take longer than predicted now and then. The sum is
// convex: two prompts in one span cost more than two apart.
func (p *Pipeline) Late(read time.Duration, s *Service, slowdown float64, now time.Time) float64 {
	if len(p.streams) == 0 {
		return 0
	}
	span := s.Span(slowdown)
	before := span + p.readWithin(span, now)
	wait := max(p.FreeAt().Sub(now), 0)
	late, bound, added := 0.0, time.Duration(0), 0.0
	for i := range p.streams {
		st := &p.streams[i]
		if st.bound == 0 {
			continue
		}
		if st.bound != bound { // most streams of one engine have the same
			bound, added = st.bound, risk(before+read, st.bound)-risk(before, st.bound)
		}
		late += st.chance(wait, span, now) * added
	}
	return late
}

// readWithin returns the time of what was read, or will be, within one span around now.
func (p *Pipeline) readWithin(span time.Duration, now time.Time) time.Duration {
	sum := time.Duration(0)
	for i := len(p.recent) - 1; i >= 0 && now.Sub(p.recent[i].end) < span; i-- {
		sum += p.recent[i].took
	}
	for i := range p.prompts {
		sum += p.prompts[i].Read
	}
	return sum
}

// chance returns the chance that the stream still runs when a prompt is read that waits
// for so long. A stream that has outlasted what was expected of it has at least the event
// that is being generated.
func (s *stream) chance(wait, span time.Duration, now time.Time) float64 {
	if wait <= span {
		return 1
	}
	left := max(s.expected.Sub(now), span)
	if wait <= left {
		return 1
	}
	return left.Seconds() / wait.Seconds()
}

// risk returns the chance that a span that is predicted to take so long exceeds the bound.
// It goes on to grow beyond 1, so that longer pauses count for more.
func risk(span, bound time.Duration) float64 { return cube(span.Seconds() / bound.Seconds()) }

func cube(x float64) float64 { return x * x * x }
