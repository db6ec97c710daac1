// Package backpressure holds what upstreams ask of all hosts on their answers,
// and paces what hosts send by it. It does no I/O and has no clock.
package backpressure

import (
	"math"
	"time"
)

// Limit is how many requests a second an upstream takes from all hosts together.
type Limit struct {
	Stated    bool // else it takes what comes
	PerSecond float64
}

// stricter says whether a limit allows less than another.
func (l Limit) stricter(o Limit) bool {
	return l.Stated && (!o.Stated || l.PerSecond < o.PerSecond)
}

// materialShare is by how much two limits may differ that hosts need not tell each other
// of: an upstream may name a slightly other one on each answer.
const materialShare = 0.1

// DiffersMaterially says whether hosts have to tell each other of the one that know of the other.
func (l Limit) DiffersMaterially(o Limit) bool {
	if l.Stated != o.Stated {
		return true
	}
	return math.Abs(l.PerSecond-o.PerSecond) > materialShare*max(l.PerSecond, o.PerSecond)
}

// Signal is what one answer of an upstream said. The upstream made the answer
// at some time between the sending of its request and its arrival.
type Signal struct {
	Limit      Limit
	Draining   bool // its process takes nothing new, for the rest of its life
	SentAt     time.Time
	ReceivedAt time.Time
}

// Merge is what holds of two signals of one upstream. Answers may overtake each
// other, on the way and at different hosts: of two that may have been made in either
// order the stricter one holds, until a request that was sent after both were heard
// brings another.
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
