package gate

import (
	"net/http"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// ownAnswer is the source of what this host heard itself.
const ownAnswer = "answer"

// heed takes what an upstream asks for on an answer. One that is another's, or
// does not vouch for itself, says nothing of this upstream; a refusal bears no
// seal, and may leave out what other answers say.
func (q *request) heed(e *fleet.Entry, status int, a *ResponseInfo) {
	crossed := a.AttemptID != q.facts.AttemptID && (a.AttemptID != "" || !a.NotRun)
	refusal := a.NotRun || status == http.StatusServiceUnavailable
	if crossed || status == http.StatusMisdirectedRequest || !a.Sealed && !refusal {
		return
	}
	s := backpressure.Signal{Limit: a.Limit, Draining: a.Draining, SentAt: q.sentAt, ReceivedAt: q.g.deps.Now()}
	if a.LimitUnreadable || !a.Sealed && !a.Limit.Stated {
		s.Limit = e.Limit()
	}
	e.ApplySignal(s, ownAnswer)
	if a.Backoff > 0 {
		e.StartBackoff(a.Backoff)
		q.g.deps.Metrics.Add(metrics.BackoffsRequested, q.service.Name, e.ID(), 1)
		q.g.deps.Log.Emit(event.UpstreamBackoff, q.id(), zap.String(event.FieldPeer, e.ID()), zap.Int64("for_ms", a.Backoff.Milliseconds()))
	}
}

// limitOf tells in logs the limit of the upstream that a request goes to.
func limitOf(e *fleet.Entry) zap.Field {
	l := e.Limit()
	if !l.Stated {
		return zap.Skip()
	}
	return zap.Float64("limit_per_s", l.PerSecond)
}
