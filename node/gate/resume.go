package gate

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/pace"
)

const (
	// firstResume and longestResume are the pauses between tries to go on with an
	// answer that has begun: they double, since each try is a repeat at its service.
	firstResume   = 50 * time.Millisecond
	longestResume = 800 * time.Millisecond
)

// resumeLater says whether an answer that has begun, and that an upstream refused to
// go on with, is tried once more. It can be refused no more, so that neither the
// bounds of attempts nor an allowance that is used up for the moment end it before
// its time does.
func (q *request) resumeLater(res result) bool {
	if !q.started || !res.notRun {
		return false
	}
	for q.pauseResume() {
		if q.g.deps.RetryBudget.Take(q.service.Name, q.g.deps.Now()) {
			return true
		}
	}
	return false
}

// paused tells in logs the last pause before a begun answer was gone on with.
func (q *request) paused() zap.Field {
	if q.resumePause == 0 {
		return zap.Skip()
	}
	return zap.Int64("paused_ms", q.resumePause.Milliseconds())
}

// pauseResume lets a pause pass, after which any upstream may be tried. It says no
// when the request's time is over.
func (q *request) pauseResume() bool {
	q.resumePause = min(max(2*q.resumePause, firstResume), longestResume)
	if !pace.Sleep(q.ctx, q.resumePause) {
		return false
	}
	clear(q.tried)
	return true
}

// giveUpUnbegun gives a request up for a reason, unless its answer has begun: that is
// gone on with after a pause, with what it may ask for as at first.
func (q *request) giveUpUnbegun(r balance.Reason) bool {
	if !q.started || !q.pauseResume() {
		return q.giveUp(r)
	}
	q.adapterAsks = 0
	return true
}

// triedAll says whether an answer that has begun has nowhere to go on since it was
// tried everywhere.
func (q *request) triedAll(p picked) bool {
	return q.started && p.Reason == balance.NoUpstream && len(q.tried) > 0
}
