package coordinator

import (
	"maps"
	"time"
)

// rests holds the upstreams that asked a host for rest. Others may not have been
// asked; they send one request at a time, over all hosts, until one is answered.
// All at once they would be turned away one by one, each asked for rest, and all
// come back together when that is over.
type rests map[string]*rest

// rest is that of one upstream.
type rest struct {
	until    time.Time // the last that hosts told
	answered bool      // a request that was sent since
	trial    *turn     // that shows whether it answers; nil: none is out
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
			x.until, x.answered = until, false
		}
	}
}

// returning says whether an upstream has asked for rest and not answered since.
func (r rests) returning(upstream string) bool {
	x := r[upstream]
	return x != nil && !x.answered
}

// trying says whether a request is out that shows whether it answers.
func (r rests) trying(upstream string) bool {
	x := r[upstream]
	return x != nil && x.trial != nil
}

// granted notes a request that is sent; it says whether that is a trial.
func (r rests) granted(w *turn) bool {
	if !r.returning(w.upstream) {
		return false
	}
	r[w.upstream].trial = w
	return true
}

// answered notes that a request's answer began.
func (r rests) answered(w *turn) {
	if x := r[w.upstream]; x != nil && x.trial == w {
		x.trial, x.answered = nil, true
	}
}

// ended notes the end of a request.
func (r rests) ended(w *turn) {
	if x := r[w.upstream]; x != nil && x.trial == w {
		x.trial = nil
	}
}

// forget drops what is too old.
func (r rests) forget(now time.Time) {
	maps.DeleteFunc(r, func(_ string, x *rest) bool { return now.Sub(x.until) > restFor })
}
