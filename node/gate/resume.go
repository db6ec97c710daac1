package gate

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/pace"
)

const (
	// minResumeBackoff and longestResume are the pauses between tries to go on with an
	// answer that has begun: they double, since each try is a repeat at its service.
	minResumeBackoff = 50 * time.Millisecond
	maxResumeBackoff = 800 * time.Millisecond
)

// retryStarted says whether an answer that has begun, and that an upstream refused to
// go on with, is tried once more. It can be refused no more, so that neither the
// bounds of attempts nor an allowance that is used up for the moment end it before
// its time does.
func (q *request) retryStarted(res result) bool {
	if !q.started || !res.notRun {
		return false
	}
	for q.backOffResume() {
		if q.g.deps.RetryBudget.Take(q.service.Name, q.g.deps.Now()) {
			return true
		}
	}
	return false
}

// resumeBackoffField tells in logs the last pause before a begun answer was gone on with.
func (q *request) resumeBackoffField() zap.Field {
	if q.resumeBackoff == 0 {
		return zap.Skip()
	}
	return zap.Int64("paused_ms", q.resumeBackoff.Milliseconds())
}

// backOffResume lets a pause pass, after which any upstream may be tried. It says no
// when the request's time is over.
func (q *request) backOffResume() bool {
	q.resumeBackoff = min(max(2*q.resumeBackoff, minResumeBackoff), maxResumeBackoff)
	if !pace.Sleep(q.ctx, q.resumeBackoff) {
		return false
	}
	clear(q.tried)
	return true
}

// giveUpUnlessStarted gives a request up for a reason, unless its answer has begun: that is
// gone on with after a pause, with what it may ask for as at first.
func (q *request) giveUpUnlessStarted(r balance.Reason) bool {
	if !q.started || !q.backOffResume() {
		return q.giveUp(r)
	}
	q.adapterRequests = 0
	return true
}

// triedAll says whether an answer that has begun has nowhere to go on since it was
// tried everywhere.
func (q *request) triedAll(p selection) bool {
	return q.started && p.Reason == balance.NoUpstream && len(q.tried) > 0
}
