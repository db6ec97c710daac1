package gate

import (
	"net/http"
	"time"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/quarantine"
)

// longRun is how long after its response began a request must have run so that a
// crash of its upstream is not attributed to it: a request that crashes upstreams
// does so when it begins.
const longRun = time.Second

// setContent records the request's content for the poison guard, once it was read completely.
func (q *request) setContent() {
	q.content = poison.NewRequest(poison.Content{Team: q.caller.name(), Method: q.r.Method, Host: q.r.Host, Target: q.r.RequestURI, Body: q.body}, (*sharedParts)(&q.info.PromptParts))
}

// sharedParts are the parts of a prompt except the last, which belongs to the request itself
// or to its session.
type sharedParts []fleet.PromptPart

// Len implements poison.Parts.
func (p *sharedParts) Len() int { return max(len(*p)-1, 0) }

// ID implements poison.Parts.
func (p *sharedParts) ID(i int) string { return (*p)[i].ID }

// refuseBarred refuses a request that is barred for crashing upstreams, or that may have
// crashed one and must not crash another. It reports whether it did. p is the selection
// made for the request, if any.
func (q *request) refuseBarred(p selection) bool {
	guard := q.g.deps.PoisonGuard
	if guard == nil {
		return false
	}
	until, ok := guard.Barred(q.content)
	if !ok && (!q.broke || guard.MayRepeat(q.content)) {
		return false
	}
	p.release()
	q.g.deps.Metrics.Count(metrics.RequestsBarred, 1)
	if q.deliverFailed != nil { // a failed response is better than none
		q.deliverFailed()
		return true
	}
	q.endUnserved(http.StatusBadGateway, "poison", until.Sub(q.g.deps.Now()))
	return true
}

// recordCompleted records that the request ran to completion, or for long.
func (q *request) recordCompleted(status int, ended bool) {
	if q.g.deps.PoisonGuard == nil {
		return
	}
	began := q.responseSince
	if began.IsZero() { // no stream
		began = q.sentAt
	}
	q.g.deps.PoisonGuard.RecordCompleted(q.content, quarantine.Completion{Attempt: q.info.AttemptID, Status: status, Began: began, Ended: ended})
}

// isLongRun reports whether the response began so long ago that the request does not crash
// its upstream.
func (q *request) isLongRun(now time.Time) bool {
	return !q.responseSince.IsZero() && now.Sub(q.responseSince) > longRun
}

// recordBroken records an exchange that broke while the upstream may have been running
// the request: the request may have crashed it.
func (q *request) recordBroken(a exchange, why string) {
	a.Interrupted(why)
	if q.isLongRun(q.g.deps.Now()) {
		q.recordCompleted(http.StatusOK, false)
		return
	}
	q.broke = true
	if e := a.Entry(); e != nil && q.g.deps.CrashRecorder != nil {
		q.g.deps.CrashRecorder.RecordBroken(e.ID(), e.Address(), q.sentAt, q.suspects())
	}
}

// suspects returns the request and the parts of its prompt as suspects of a crash.
func (q *request) suspects() []poison.Fingerprint {
	all := q.content.Suspects()
	all[0].Answered = q.g.deps.PoisonGuard != nil && q.g.deps.PoisonGuard.AnsweredBefore(q.content)
	return all
}
