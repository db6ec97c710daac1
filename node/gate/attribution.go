package gate

import (
	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// recordUnproven records a response that does not name the request it came for.
func (q *request) recordUnproven(e *fleet.Entry, resp *conn.Response, info *ResponseInfo) {
	if info.AttemptID == q.info.AttemptID {
		return
	}
	d, use := &q.g.deps, resp.ConnUse()
	d.Metrics.Add(metrics.AnswersUnproven, q.service.Name, e.ID(), 1)
	d.Log.Emit(event.AnswerUnproven, q.id(), q.routeName(), zap.String(event.FieldPeer, e.ID()), zap.String("answers", info.AttemptID),
		zap.Int("status", resp.Status), zap.Bool("not_run", info.NotRun), zap.Int("exchange", use.Exchanges), zap.Int64("idle_ms", use.Idle.Milliseconds()),
		zap.Bool("believed", info.NotRun))
}
