package gate

import (
	"net/http"
	"time"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// longRun is how long after its answer began a request must have run for its
// upstream's end to be no sign against it: one that ends upstreams does so as it
// begins.
const longRun = time.Second

// setContent notes what is asked, now that the request was read whole.
func (q *request) setContent() {
	q.content = poison.NewRequest(poison.Content{Team: q.caller.name(), Method: q.r.Method, Host: q.r.Host, Target: q.r.RequestURI, Body: q.body})
}

// refuseBarred ends a request that ends upstreams, and says so. p is where it would
// have gone, if it got that far.
func (q *request) refuseBarred(p selection) bool {
	if q.g.deps.PoisonGuard == nil {
		return false
	}
	until, ok := q.g.deps.PoisonGuard.Barred(q.content)
	if !ok {
		return false
	}
	if p.permit != nil {
		p.permit.Release()
	}
	q.g.deps.Metrics.Count(metrics.RequestsBarred, 1)
	if q.deliverFailed != nil { // an answer that is there is delivered
		q.deliverFailed()
		return true
	}
	q.endUnserved(http.StatusBadGateway, "poison", until.Sub(q.g.deps.Now()))
	return true
}

// recordCompleted notes that the request ran to its end.
func (q *request) recordCompleted() {
	if q.g.deps.PoisonGuard != nil {
		q.g.deps.PoisonGuard.RecordCompleted(q.content)
	}
}

// recordBroken notes an exchange that broke while the upstream may have been running
// the request: the request may have ended it.
func (q *request) recordBroken(x *fleet.Attempt, why string) {
	x.Interrupted(why)
	if !q.responseSince.IsZero() && q.g.deps.Now().Sub(q.responseSince) > longRun {
		q.recordCompleted()
		return
	}
	if e := x.Entry(); q.g.deps.CrashRecorder != nil {
		q.g.deps.CrashRecorder.RecordBroken(e.ID(), e.Address(), q.content.Fingerprint())
	}
}
