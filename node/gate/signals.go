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

// applySignals applies the signals that the upstream says on its response. One without
// the upstream's seal says nothing about this upstream; a refusal has no seal and may omit
// signals that other responses have.
func (q *request) applySignals(e *fleet.Entry, status int, info *ResponseInfo) {
	refusal := info.NotRun || status == http.StatusServiceUnavailable
	if status == http.StatusMisdirectedRequest || !info.Sealed && !refusal {
		return
	}
	s := backpressure.Signal{Limit: info.Said.Limit, Brittle: info.Said.Brittle, Draining: info.Said.Draining, SentAt: q.sentAt, ReceivedAt: q.g.deps.Now()}
	if info.Said.LimitUnreadable || !info.Sealed && !info.Said.Limit.Stated {
		s.Limit = e.Limit()
	}
	if !info.Sealed && !info.Said.Brittle.Stated {
		s.Brittle = e.Brittle()
	}
	e.ApplySignal(s, sourceOwnResponse)
	if info.Said.Backoff > 0 {
		e.StartBackoff(info.Said.Backoff)
		q.g.deps.Metrics.Add(metrics.BackoffsRequested, q.service.Name, e.ID(), 1)
		q.g.deps.Log.Emit(event.UpstreamBackoff, q.id(), zap.String(event.FieldPeer, e.ID()), zap.Int64("for_ms", info.Said.Backoff.Milliseconds()))
	}
}

// recordNoRoom records that a brittle upstream refused the request, if the status says
// that this was for want of room.
func (q *request) recordNoRoom(e *fleet.Entry, permit *Permit, status int, said *Statements) {
	if status != http.StatusServiceUnavailable {
		return
	}
	if permit != nil && permit.WithinRoom && permit.Refused != nil {
		var load *fleet.ReportedLoad
		if said != nil {
			load = said.Load
		}
		permit.Refused(load)
	}
	if e.Brittle().Stated {
		q.g.deps.Metrics.Add(metrics.BrittleRefusals, q.service.Name, e.ID(), 1)
	}
}

// applyLoad applies the load that the upstream states; nil: it states none.
func (q *request) applyLoad(a *fleet.Attempt, permit *Permit, load *fleet.ReportedLoad) {
	if load == nil {
		return
	}
	a.RecordReportedLoad(*load)
	q.recordSlowdown(permit, load.Slowdown)
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
