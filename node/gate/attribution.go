package gate

import (
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// whyForeign is why an attempt is over whose connection brought the answer to another request.
const whyForeign = "crossed"

// ownerOf tells whose response an upstream's response is.
func (q *request) ownerOf(h http.Header) conn.Owner {
	switch q.g.deps.Codec.AnsweredAttempt(h) {
	case q.info.AttemptID:
		return conn.OwnedByRequest
	case "":
		return conn.OwnerUnnamed
	default:
		return conn.OwnedByOther
	}
}

// decodeFrom decodes the head of a response to the request from an upstream. What a response
// says of its sender is dropped if the sender is not known to be that process: one that names
// no request may come from another process at the same address, unless it is a refusal, and a
// refusal may name the process.
func (q *request) decodeFrom(e *fleet.Entry, resp *conn.Response) ResponseInfo {
	info := q.g.deps.Codec.DecodeResponse(resp.Status, resp.Header)
	unnamed := info.AttemptID == "" && !info.NotRun
	if unnamed || info.Upstream != "" && info.Upstream != e.ID() {
		info.Said = nil
	}
	return info
}

// recordForeign records a response of a peer, an upstream or another host, that is not proven
// to be that to the request; answers is the attempt that it names.
func (q *request) recordForeign(peer, answers string, a conn.ForeignAnswer) {
	d := &q.g.deps
	d.Metrics.Add(metrics.AnswersUnproven, q.service.Name, peer, 1)
	d.Metrics.CountKind(metrics.AnswersUnprovenKinds, fmt.Sprintf("%dxx %v", a.Status/100, a.Owner), 1)
	d.Log.Emit(event.AnswerUnproven, q.id(), q.routeName(), zap.String(event.FieldPeer, peer), zap.String("answers", answers),
		zap.Int("status", a.Status), zap.Int("exchange", a.Use.Exchanges), zap.Int64("idle_ms", a.Use.Idle.Milliseconds()))
}
