// Package backpressure combines what upstreams ask of all hosts in their answers
// (rate limits, backoff, draining) and paces requests accordingly. It does no I/O
// and has no clock.
package backpressure

import (
	"math"
	"time"
)

// Limit is the number of requests a second that an upstream takes from all hosts together.
type Limit struct {
	Stated    bool // whether the upstream states a limit
	PerSecond float64
}

// stricter reports whether l allows less than o.
func (l Limit) stricter(o Limit) bool {
	return l.Stated && (!o.Stated || l.PerSecond < o.PerSecond)
}

// materialShare is by what share two limits must differ for hosts to announce the change:
// an upstream may state a slightly different limit on each answer.
const materialShare = 0.1

// DiffersMaterially reports whether a change from one limit to the other must be announced to other hosts.
func (l Limit) DiffersMaterially(o Limit) bool {
	if l.Stated != o.Stated {
		return true
	}
	return math.Abs(l.PerSecond-o.PerSecond) > materialShare*max(l.PerSecond, o.PerSecond)
}

// Signal is what one answer of an upstream asked for. The upstream created the answer
// at some time between SentAt, when the request was sent, and ReceivedAt, when the
// answer arrived.
type Signal struct {
	Limit      Limit
	Brittle    Brittle
	Draining   bool // the process takes no new requests until it terminates
	SentAt     time.Time
	ReceivedAt time.Time
}

// Merge returns the signal in effect after two signals of one upstream. Answers can
// overtake each other, on the network and at different hosts. If it is not known which
// of two answers was created first, the stricter limit applies until an answer arrives
// to a request that was sent after both were received.
func Merge(a, b Signal) Signal {
	out := a
	switch {
	case b.SentAt.After(a.ReceivedAt):
		out = b
	case a.SentAt.After(b.ReceivedAt):
	default:
		if b.Limit.stricter(a.Limit) {
			out.Limit = b.Limit
		}
		if b.Brittle.stricter(a.Brittle) {
			out.Brittle = b.Brittle
		}
		out.SentAt, out.ReceivedAt = later(a.SentAt, b.SentAt), later(a.ReceivedAt, b.ReceivedAt)
	}
	out.Draining = a.Draining || b.Draining
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
