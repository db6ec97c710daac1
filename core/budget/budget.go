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
	// caution is the part of the allowance that is used. The rest covers hosts
	// whose views of the membership differ while some come or go.
	caution = 0.8
	// buckets divide a window. One more is counted than a window has, so that
	// a span which begins inside a bucket is covered too.
	buckets = 20
)

// Window counts the requests and repeats of one service at one host. Its owner
// guards it.
type Window struct {
	policy   Policy
	from     time.Time // buckets are counted from here on the steady clock
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	at       int64 // number of the newest bucket
}

// NewWindow makes an empty window.
func NewWindow(p Policy, now time.Time) *Window { return &Window{policy: p, from: now} }

// CountRequest counts the first send of a request.
func (w *Window) CountRequest(now time.Time) {
	w.advance(now)
	w.requests[w.slot(w.at)]++
}

// Take asks for one more send; hosts is how many share the slack.
func (w *Window) Take(now time.Time, hosts int) bool {
	w.advance(now)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := caution * (w.policy.Ratio*float64(requests) + w.policy.Slack/float64(max(hosts, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.slot(w.at)]++
	return true
}

// advance clears the buckets that the window has left behind.
func (w *Window) advance(now time.Time) {
	at := int64(now.Sub(w.from) / (w.policy.Window / buckets))
	if at <= w.at {
		return
	}
	for n := max(w.at+1, at-buckets); n <= at; n++ {
		w.requests[w.slot(n)], w.repeats[w.slot(n)] = 0, 0
	}
	w.at = at
}

func (w *Window) slot(n int64) int64 { return n % (buckets + 1) }
