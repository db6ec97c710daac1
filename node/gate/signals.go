package gate

import (
	"net/http"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// sourceOwnResponse is the source of signals that this host received itself.
const sourceOwnResponse = "answer"

// applySignals applies the signals on the upstream's response to the request. One that
// names no request, or is without the upstream's seal, says nothing about this upstream; a
// refusal has no seal and may omit signals that other responses have.
func (q *request) applySignals(e *fleet.Entry, status int, info *ResponseInfo) {
	unnamed := info.AttemptID == "" && !info.NotRun
	refusal := info.NotRun || status == http.StatusServiceUnavailable
	if unnamed || status == http.StatusMisdirectedRequest || !info.Sealed && !refusal {
		return
	}
	s := backpressure.Signal{Limit: info.Limit, Brittle: info.Brittle, Draining: info.Draining, SentAt: q.sentAt, ReceivedAt: q.g.deps.Now()}
	if info.LimitUnreadable || !info.Sealed && !info.Limit.Stated {
		s.Limit = e.Limit()
	}
	if !info.Sealed && !info.Brittle.Stated {
		s.Brittle = e.Brittle()
	}
	e.ApplySignal(s, sourceOwnResponse)
	if info.Backoff > 0 {
		e.StartBackoff(info.Backoff)
		q.g.deps.Metrics.Add(metrics.BackoffsRequested, q.service.Name, e.ID(), 1)
		q.g.deps.Log.Emit(event.UpstreamBackoff, q.id(), zap.String(event.FieldPeer, e.ID()), zap.Int64("for_ms", info.Backoff.Milliseconds()))
	}
}

// recordNoRoom records that a brittle upstream refused the request, if the status says
// that this was for want of room.
func (q *request) recordNoRoom(e *fleet.Entry, permit *Permit, status int, load *fleet.ReportedLoad) {
	if status != http.StatusServiceUnavailable {
		return
	}
	if permit != nil && permit.WithinRoom && permit.Refused != nil {
		permit.Refused(load)
	}
	if e.Brittle().Stated {
		q.g.deps.Metrics.Add(metrics.BrittleRefusals, q.service.Name, e.ID(), 1)
	}
}

// recordSlowdown records how long work takes at the upstream, as it stated on its answer.
func (q *request) recordSlowdown(permit *Permit, stated float64) {
	q.statedSlowdown = stated
	if permit != nil {
		permit.StatedSlowdown = stated
	}
}

// slowdownField is the log field for the slowdown that an upstream stated on its answer.
func slowdownField(stated float64) zap.Field {
	if stated == 0 {
		return zap.Skip()
	}
	return zap.Float64("slowdown", stated)
}

// limitField is the log field for the limit of the upstream that a request is sent to.
func limitField(e *fleet.Entry) zap.Field {
	l := e.Limit()
	if !l.Stated {
		return zap.Skip()
	}
	return zap.Float64("limit_per_s", l.PerSecond)
}
