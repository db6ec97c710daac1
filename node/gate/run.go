package gate

import (
	"net/http"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// run makes attempts until the request has its final response.
func (q *request) run() {
	for {
		if q.cutOff() {
			if !q.detour() {
				return
			}
			continue
		}
		e, p := q.choose()
		if q.cutOff() { // noticed while the request waited
			p.release()
			continue
		}
		if e == nil {
			if q.versionGone() {
				q.endVersionGone(p)
				return
			}
			if q.wait(p) {
				continue
			}
			return
		}
		if q.keyRevoked() {
			q.endRevoked(p)
			return
		}
		if q.refuseBarred(p) {
			return
		}
		if !q.maySend() {
			p.release()
			if !q.retryOrEnd(result{notRun: true, why: whyUncharged}) {
				return
			}
			continue
		}
		res := q.attempt(e, p)
		if res.done || !q.retryOrEnd(res) {
			return
		}
	}
}

// retryOrEnd reports whether another attempt follows one that brought no final
// response. If none does, it responds to the caller.
func (q *request) retryOrEnd(res result) bool {
	switch {
	case q.r.Context().Err() != nil:
		q.callerLeft()
		return false
	case q.ctx.Err() != nil && q.deliverFailed == nil:
		q.timeUp()
		return false
	case !res.notRun && !q.mayRunAgain():
		q.fail(http.StatusBadGateway, res.why)
		return false
	}
	if q.ctx.Err() == nil && q.possibleRuns < q.maxRuns() && (q.mayRetry(res) || q.retryStarted(res)) {
		q.g.deps.Log.Emit(event.RequestRetried, q.id(), zap.String("why", res.why), zap.String(event.FieldPeer, q.lastUpstream),
			zap.Int("sends", q.sends), zap.Bool("not_run", res.notRun), q.sinceSend(), zap.NamedError("exchange_error", q.exchangeErr),
			q.refusalField(), q.lastCharge.field(), q.resumeBackoffField())
		q.g.deps.Metrics.Count(metrics.Retries, 1)
		q.lostByUpstream = q.lostByUpstream || !res.notRun
		return true
	}
	if q.r.Context().Err() != nil { // the caller left during a backoff
		q.callerLeft()
		return false
	}
	if q.deliverFailed != nil {
		q.deliverFailed()
		return false
	}
	q.endUnserved(http.StatusBadGateway, res.why, max(res.retryAfter, fullRetry))
	return false
}

// sinceSend is the log field for how long ago the newest attempt was sent to an upstream.
func (q *request) sinceSend() zap.Field {
	if q.sentAt.IsZero() {
		return zap.Skip()
	}
	return zap.Int64("after_ms", q.g.deps.Now().Sub(q.sentAt).Milliseconds())
}

// mayRetry reports whether another attempt is within bounds. An attempt at an
// upstream that is not listening reached nothing, so it is not charged to the
// retry budget.
func (q *request) mayRetry(res result) bool {
	if res.notListening {
		q.unreachableTries++
		return q.unreachableTries <= maxUnreachableTries || q.blockRetry("absent")
	}
	if res.charged != nil {
		q.charged(*res.charged)
		return true
	}
	if res.withdrawn || res.unsent && q.cutOff() {
		return true
	}
	if most := q.maxSends(); q.sends >= most && !(res.notRun && q.sends < most+extraSendsAfterRefusal) {
		return q.blockRetry("attempts")
	}
	return q.maySend() || q.blockRetry("repeats")
}

// whyUncharged is why an attempt was not made: the request waited so long for an upstream that the
// charge for it has lapsed, and the budget allows no other.
const whyUncharged = "repeats"

// blockRetry records the bound that prevents another attempt; it returns false.
func (q *request) blockRetry(bound string) bool {
	q.retryBlockedBy = bound
	return false
}

// maxUnreachableTries bounds the attempts of a request at upstreams that are not
// listening: a fifth of a service's upstreams may terminate at once, and each
// attempt takes a few milliseconds.
const maxUnreachableTries = 6

// extraSendsAfterRefusal is how many attempts beyond its route's limit a request may
// make after upstreams reported that they did not run it.
const extraSendsAfterRefusal = 2

// mayRunAgain reports whether the request may run again although it may have run
// already. Of responses that have started, only streams can be resumed.
func (q *request) mayRunAgain() bool {
	if q.unresumable {
		return false
	}
	if q.route.Repeatable() {
		return true
	}
	return q.route.Kind == deploy.Stream && q.route.Resumable
}
