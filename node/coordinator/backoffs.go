package coordinator

import (
	"maps"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// backoffs holds the upstreams that asked a host for rest. Others may not have been
// asked; over all hosts together requests come back to it by a slow start. All at
// once they would be turned away one by one, each host asked for rest, and all come
// back together when that is over.
type backoffs map[string]*upstreamBackoff

// upstreamBackoff is that of one upstream.
type upstreamBackoff struct {
	until     time.Time // the last that hosts told
	slowStart backpressure.SlowStart
}

const (
	// backoffMemory is how long after a rest the upstream counts as one that may turn
	// requests away, if nothing was sent there.
	backoffMemory = 5 * time.Second
	// backoffTolerance is what two hosts' words on the end of one rest may differ by.
	backoffTolerance = 100 * time.Millisecond
)

// record notes what a request's host was asked for.
func (r backoffs) record(w *permitRequest, now time.Time) {
	if len(w.event.Rests) == 0 {
		return
	}
	w.hostBackoffs = make(map[string]time.Time, len(w.event.Rests))
	for _, asked := range w.event.Rests {
		until := now.Add(milliseconds(asked.ForMs))
		w.hostBackoffs[asked.Upstream] = until
		u := r[asked.Upstream]
		if u == nil {
			u = &upstreamBackoff{}
			r[asked.Upstream] = u
		}
		if until.Sub(u.until) > backoffTolerance {
			u.until = until
			u.slowStart.Start()
		}
	}
}

// wait is the time until an upstream may get one more.
func (r backoffs) wait(upstream string) time.Duration {
	if u := r[upstream]; u != nil && u.slowStart.AtLimit() {
		return fleet.SlowStartWait
	}
	return 0
}

// serves says whether an upstream has asked some host for rest, and answers others.
func (r backoffs) serves(upstream string) bool {
	u := r[upstream]
	return u != nil && !u.slowStart.Active()
}

// recordGrant notes a request that is sent; it says whether its answer is waited for.
func (r backoffs) recordGrant(w *permitRequest) bool {
	u := r[w.upstream]
	w.isTrial = u != nil && u.slowStart.Sent()
	return w.isTrial
}

// recordAnswer notes that a request's answer began.
func (r backoffs) recordAnswer(w *permitRequest, slots int) {
	if u := r[w.upstream]; u != nil && w.isTrial {
		u.slowStart.Answered(slots)
	}
}

// recordEnd notes the end of a request.
func (r backoffs) recordEnd(w *permitRequest) {
	if u := r[w.upstream]; u != nil && w.isTrial {
		u.slowStart.Ended()
	}
	w.isTrial = false
}

// expire drops what is too old.
func (r backoffs) expire(now time.Time) {
	maps.DeleteFunc(r, func(_ string, x *upstreamBackoff) bool { return now.Sub(x.until) > backoffMemory })
}
