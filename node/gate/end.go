package gate

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// responseEnd is what is known of the end of a response, for logs and metrics.
type responseEnd struct {
	response    *conn.Response // nil: none came
	insideEvent bool           // the response, a stream, has so far ended inside an event
}

// beginResponse records that the head of a response to the request came.
func (q *request) beginResponse(resp *conn.Response) { q.end = responseEnd{response: resp} }

// framing returns how the response states where it ends.
func (e responseEnd) framing() conn.Framing {
	if e.response == nil {
		return conn.ByLength
	}
	return e.response.Framing
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e responseEnd) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("framing", e.framing().String())
	enc.AddBool("inside_event", e.insideEvent)
	if e.response != nil {
		enc.AddString("upload", e.response.Upload().String())
		enc.AddInt("interim", e.response.Interim)
	}
	return nil
}

// How a response ended, as part of the kinds of metrics.ResponseEnds.
const (
	endComplete = "complete"
	endBroken   = "broken"
)

// countEnd counts how the newest response ended, by its framing.
func (q *request) countEnd(how string) {
	q.g.deps.Metrics.CountKind(metrics.ResponseEnds, q.end.framing().String()+"_"+how, 1)
}

// finish ends an exchange whose response was read to its end. If the request is still being
// written, its body is held until all of it was.
func (q *request) finish(resp *conn.Response) {
	if resp.Upload() == conn.UploadGoesOn {
		q.followUpload(resp)
	}
	resp.Finish()
}

// followUpload accounts for a body that is written on after its response, and logs its end.
func (q *request) followUpload(resp *conn.Response) {
	d, id, peer, began := &q.g.deps, q.id(), zap.String(event.FieldPeer, q.lastUpstream), q.g.deps.Now()
	size := len(q.body)
	release := d.RetainBody(int64(size))
	resp.OnUploaded(func(err error) {
		release()
		d.Log.Emit(event.UploadEnded, id, peer, zap.Int("bytes", size), zap.Bool("whole", err == nil), zap.Int64("took_ms", d.Now().Sub(began).Milliseconds()), zap.Error(err))
	})
}
