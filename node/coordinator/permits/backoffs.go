package permits

import (
	"maps"
	"time"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
)

// backoffs contains, by upstream ID, the backoffs that upstreams asked hosts for. An
// upstream that asked one host may serve the others. After a backoff the requests of all
// hosts together return to the upstream by a slow start: all at once they would be
// refused one by one, each host asked to back off, and all would return together when
// that time is over.
type backoffs map[string]*upstreamBackoff

// upstreamBackoff is the backoff of one upstream.
type upstreamBackoff struct {
	until     time.Time // the latest end that hosts reported
	slowStart backpressure.SlowStart
}

const (
	// backoffMemory is how long after its backoff an upstream counts as one that may
	// refuse requests, if nothing was sent there.
	backoffMemory = 5 * time.Second
	// backoffTolerance is by how much two hosts' reports on the end of one backoff may
	// differ.
	backoffTolerance = 100 * time.Millisecond
)

// record records the backoffs that upstreams asked the request's host for.
func (b backoffs) record(w *request, now time.Time) {
	if len(w.event.Rests) == 0 {
		return
	}
	w.hostBackoffs = make(map[string]time.Time, len(w.event.Rests))
	for _, asked := range w.event.Rests {
		until := now.Add(wire.Milliseconds(asked.ForMs))
		w.hostBackoffs[asked.Upstream] = until
		u := b[asked.Upstream]
		if u == nil {
			u = &upstreamBackoff{}
			b[asked.Upstream] = u
		}
		if until.Sub(u.until) > backoffTolerance {
			u.until = until
			u.slowStart.Start()
		}
	}
}

// wait returns the time until an upstream may get one more request.
func (b backoffs) wait(upstream string) time.Duration {
	if u := b[upstream]; u != nil && u.slowStart.AtLimit() {
		return fleet.SlowStartWait
	}
	return 0
}

// serves reports whether an upstream has asked some host to back off, but serves other
// hosts.
func (b backoffs) serves(upstream string) bool {
	u := b[upstream]
	return u != nil && !u.slowStart.Active()
}

// recordGrant records a request that is granted, and reports whether its response is
// awaited.
func (b backoffs) recordGrant(w *request) bool {
	u := b[w.upstream]
	w.isProbe = u != nil && u.slowStart.Sent()
	return w.isProbe
}

// recordResponse records that a request's response began.
func (b backoffs) recordResponse(w *request, slots int) {
	if u := b[w.upstream]; u != nil && w.isProbe {
		u.slowStart.Answered(slots)
	}
}

// recordEnd records the end of a request.
func (b backoffs) recordEnd(w *request) {
	if u := b[w.upstream]; u != nil && w.isProbe {
		u.slowStart.Ended()
	}
	w.isProbe = false
}

// expire drops backoffs that ended long ago.
func (b backoffs) expire(now time.Time) {
	maps.DeleteFunc(b, func(_ string, x *upstreamBackoff) bool { return now.Sub(x.until) > backoffMemory })
}
