// Package budget bounds how many sends beyond the first of each request one
// host may make in a sliding window. All hosts share one allowance: each
// spends the part that its view of the membership gives it, so that no message
// is needed on the way of a request.
package budget

import "time"

// Policy is the allowance that all hosts share.
type Policy struct {
	Ratio  float64       // sends beyond the first for each request of the window
	Slack  float64       // sends beyond that, over all hosts
	Window time.Duration // any span of this length counts
}

const (
	// safetyFactor is the part of the allowance that is used. The rest covers hosts
	// whose views of the membership differ while some come or go.
	safetyFactor = 0.8
	// bucketCount divide a window. One more is counted than a window has, so that
	// a span which begins inside a bucket is covered too.
	bucketCount = 20
)

// Window counts the requests and repeats of one service at one host. Its owner
// guards it.
type Window struct {
	policy   Policy
	origin   time.Time // buckets are counted from here on the steady clock
	requests [bucketCount + 1]int
	repeats  [bucketCount + 1]int
	newest   int64 // number of the newest bucket
}

// NewWindow makes an empty window.
func NewWindow(p Policy, now time.Time) *Window { return &Window{policy: p, origin: now} }

// CountRequest counts the first send of a request.
func (w *Window) CountRequest(now time.Time) {
	w.advance(now)
	w.requests[w.index(w.newest)]++
}

// Take asks for one more send; hosts is how many share the slack.
func (w *Window) Take(now time.Time, hosts int) bool {
	w.advance(now)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := safetyFactor * (w.policy.Ratio*float64(requests) + w.policy.Slack/float64(max(hosts, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.index(w.newest)]++
	return true
}

// advance clears the buckets that the window has left behind.
func (w *Window) advance(now time.Time) {
	at := int64(now.Sub(w.origin) / (w.policy.Window / bucketCount))
	if at <= w.newest {
		return
	}
	for n := max(w.newest+1, at-bucketCount); n <= at; n++ {
		w.requests[w.index(n)], w.repeats[w.index(n)] = 0, 0
	}
	w.newest = at
}

func (w *Window) index(n int64) int64 { return n % (bucketCount + 1) }
