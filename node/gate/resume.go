package gate

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/pace"
)

const (
	// minResumeBackoff and maxResumeBackoff bound the delays between attempts to resume a
	// started response: they double, since each attempt is a retry at its service.
	minResumeBackoff = 50 * time.Millisecond
	maxResumeBackoff = 800 * time.Millisecond
)

// retryStarted reports whether to retry a started response that an upstream refused
// to resume. Such a response can no longer be refused, so neither the bounds on
// attempts nor a momentarily exhausted retry budget ends it before its deadline.
func (q *request) retryStarted(res result) bool {
	if !q.started || !res.notRun {
		return false
	}
	for q.backOffResume() {
		if q.maySend() {
			return true
		}
	}
	return false
}

// resumeBackoffField is the log field for the last delay before a started response was resumed.
func (q *request) resumeBackoffField() zap.Field {
	if q.resumeBackoff == 0 {
		return zap.Skip()
	}
	return zap.Int64("paused_ms", q.resumeBackoff.Milliseconds())
}

// backOffResume waits for a delay after which any upstream may be tried again. It
// returns false when the request's time is over.
func (q *request) backOffResume() bool {
	q.resumeBackoff = min(max(2*q.resumeBackoff, minResumeBackoff), maxResumeBackoff)
	if !pace.Sleep(q.ctx, q.resumeBackoff) {
		return false
	}
	clear(q.tried)
	return true
}

// giveUpUnlessStarted gives the request up for a reason, unless its response has
// started: then it is retried after a delay, with its adapter requests reset.
func (q *request) giveUpUnlessStarted(r balance.Reason) bool {
	if !q.started || !q.backOffResume() {
		return q.giveUp(r)
	}
	q.adapterRequests = 0
	return true
}

// triedAll reports whether a started response cannot be resumed anywhere because all
// upstreams were tried.
func (q *request) triedAll(p selection) bool {
	return q.started && p.Reason == balance.NoUpstream && len(q.tried) > 0
}
