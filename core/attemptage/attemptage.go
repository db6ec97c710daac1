// Package attemptage estimates how long ago a caller began to ask for what one of its
// attempts asks for. A caller that was refused comes back, and its objective counts from its
// first attempt, which may have been at another host. Attempts do not state when that was,
// but how much time they have left, and the first attempts of a kind of request mostly state
// the same: what a later one lacks of that is its age.
//
// The load that it answers is one above what upstreams can serve. If attempts that come back
// late counted as new ones, they would take the places of those that can still be in time,
// and these would come back late in turn.
//
// The package does no I/O and has no clock.
package attemptage

import (
	"math"
	"time"
)

const (
	// commonShare is the share of attempts that state about the same time left, from which
	// on that is taken for the time of first attempts. Callers of one kind of request may
	// have a few different ones.
	commonShare = 0.1
	// minSamples is how many attempts must have been seen before any age is told.
	minSamples = 30
	// resolution is the ratio of the bounds of a bucket: times that differ less count as
	// the same.
	resolution = 1.02
	// decay is the factor on what was seen with each attempt, so that about the last
	// thousand count.
	decay = 0.999
	// maxBuckets bounds the buckets; it covers a factor of a million.
	maxBuckets = 700
)

// Estimator estimates the ages of attempts of one kind of request. Its owner must guard it.
type Estimator struct {
	weights map[int]float64 // by bucket
	scale   float64         // weight of the next attempt; grows in place of a decay of all others
	sum     float64
	seen    int
}

// New returns an estimator that has seen no attempts.
func New() *Estimator { return &Estimator{weights: map[int]float64{}, scale: 1} }

// Observe records an attempt that states how much time it has left, and returns its age; 0
// if it is a first attempt or the age is not known.
func (e *Estimator) Observe(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	at := bucketOf(left)
	e.record(at)
	if e.seen < minSamples {
		return 0
	}
	first, ok := e.firstFrom(at)
	if !ok {
		return 0
	}
	return max(lowerBound(first)-left, 0)
}

func (e *Estimator) record(at int) {
	e.scale /= decay
	e.weights[at] += e.scale
	e.sum += e.scale
	e.seen++
	if e.scale > rescaleAbove {
		e.rescale()
	}
}

// rescaleAbove keeps the weights far from the largest number, and forgets buckets that no
// recent attempt was in.
const rescaleAbove = 1e3

func (e *Estimator) rescale() {
	e.sum = 0
	for b, w := range e.weights {
		w /= e.scale
		if w < 1/rescaleAbove {
			delete(e.weights, b)
			continue
		}
		e.weights[b] = w
		e.sum += w
	}
	e.scale = 1
}

// firstFrom returns the lowest bucket, at or above one, that first attempts are in.
func (e *Estimator) firstFrom(at int) (bucket int, ok bool) {
	for b, w := range e.weights {
		if b >= at && w >= commonShare*e.sum && (!ok || b < bucket) {
			bucket, ok = b, true
		}
	}
	return bucket, ok
}

// bucketOf returns the bucket of a time left.
func bucketOf(left time.Duration) int {
	b := int(math.Log(float64(left)/float64(time.Millisecond)) / math.Log(resolution))
	return min(max(b, 0), maxBuckets)
}

// lowerBound returns the shortest time that is in a bucket.
func lowerBound(bucket int) time.Duration {
	return time.Duration(math.Pow(resolution, float64(bucket)) * float64(time.Millisecond))
}
