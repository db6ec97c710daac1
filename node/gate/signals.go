package gate

import (
	"net/http"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// sourceOwnResponse is the source of what this host heard itself.
const sourceOwnResponse = "answer"

// applySignals takes what an upstream asks for on an answer. One that is another's, or
// does not vouch for itself, says nothing of this upstream; a refusal bears no
// seal, and may leave out what other answers say.
func (q *request) applySignals(e *fleet.Entry, status int, info *ResponseInfo) {
	mismatched := info.AttemptID != q.info.AttemptID && (info.AttemptID != "" || !info.NotRun)
	refusal := info.NotRun || status == http.StatusServiceUnavailable
	if mismatched || status == http.StatusMisdirectedRequest || !info.Sealed && !refusal {
		return
	}
	s := backpressure.Signal{Limit: info.Limit, Draining: info.Draining, SentAt: q.sentAt, ReceivedAt: q.g.deps.Now()}
	if info.LimitUnreadable || !info.Sealed && !info.Limit.Stated {
		s.Limit = e.Limit()
	}
	e.ApplySignal(s, sourceOwnResponse)
	if info.Backoff > 0 {
		e.StartBackoff(info.Backoff)
		q.g.deps.Metrics.Add(metrics.BackoffsRequested, q.service.Name, e.ID(), 1)
		q.g.deps.Log.Emit(event.UpstreamAsked, q.id(), zap.String(event.FieldPeer, e.ID()), zap.Int64("for_ms", info.Backoff.Milliseconds()))
	}
}

// limitField tells in logs the limit of the upstream that a request goes to.
func limitField(e *fleet.Entry) zap.Field {
	l := e.Limit()
	if !l.Stated {
		return zap.Skip()
	}
	return zap.Float64("limit_per_s", l.PerSecond)
}
