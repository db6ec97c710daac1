package coordinator

import (
	"maps"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// rests holds the upstreams that asked a host for rest. Others may not have been
// asked; over all hosts together requests come back to it by a slow start. All at
// once they would be turned away one by one, each host asked for rest, and all come
// back together when that is over.
type rests map[string]*rest

// rest is that of one upstream.
type rest struct {
	until time.Time // the last that hosts told
	start backpressure.SlowStart
}

const (
	// restFor is how long after a rest the upstream counts as one that may turn
	// requests away, if nothing was sent there.
	restFor = 5 * time.Second
	// restSlack is what two hosts' words on the end of one rest may differ by.
	restSlack = 100 * time.Millisecond
)

// enter notes what a request's host was asked for.
func (r rests) enter(w *turn, now time.Time) {
	if len(w.event.Rests) == 0 {
		return
	}
	w.rests = make(map[string]time.Time, len(w.event.Rests))
	for _, told := range w.event.Rests {
		until := now.Add(milliseconds(told.ForMs))
		w.rests[told.Upstream] = until
		x := r[told.Upstream]
		if x == nil {
			x = &rest{}
			r[told.Upstream] = x
		}
		if until.Sub(x.until) > restSlack {
			x.until = until
			x.start.Start()
		}
	}
}

// wait is the time until an upstream may get one more.
func (r rests) wait(upstream string) time.Duration {
	if x := r[upstream]; x != nil && x.start.AtLimit() {
		return fleet.SlowStartWait
	}
	return 0
}

// serves says whether an upstream has asked some host for rest, and answers others.
func (r rests) serves(upstream string) bool {
	x := r[upstream]
	return x != nil && !x.start.Active()
}

// granted notes a request that is sent; it says whether its answer is waited for.
func (r rests) granted(w *turn) bool {
	x := r[w.upstream]
	w.trial = x != nil && x.start.Sent()
	return w.trial
}

// answered notes that a request's answer began.
func (r rests) answered(w *turn, slots int) {
	if x := r[w.upstream]; x != nil && w.trial {
		x.start.Answered(slots)
	}
}

// ended notes the end of a request.
func (r rests) ended(w *turn) {
	if x := r[w.upstream]; x != nil && w.trial {
		x.start.Ended()
	}
	w.trial = false
}

// forget drops what is too old.
func (r rests) forget(now time.Time) {
	maps.DeleteFunc(r, func(_ string, x *rest) bool { return now.Sub(x.until) > restFor })
}
