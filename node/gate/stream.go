package gate

import (
	"context"
	"errors"
	"io"
	"net/http"

	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// streamBuffer is the size of a read in bytes, enough for a few events; each read is forwarded at once.
const streamBuffer = 4 << 10

// forwardStream forwards events as they arrive. A stream that breaks off ends without
// its proper end, or is resumed at another upstream if its route allows that. One that
// ends inside an event has been broken off, whatever its framing says, and so has one
// that ends with its connection before the first byte.
func (q *request) forwardStream(ctx context.Context, fo *failover, a exchange, resp *conn.Response) result {
	events := splitter{opaque: !isEventStream(resp.Header), completeEvents: q.mayRunAgain(), lastEventID: q.lastEventID}
	if events.opaque && q.started {
		return q.rejectResponse(a, resp, "not_events") // cannot continue the events that the caller has
	}
	empty := true
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			empty = false
			a.ReceivedBytes()
			fo.pieces.Add(1)
			whole := events.split(buf[:n])
			q.recordPiece(events.hasBegun())
			if events.tooLong {
				return q.rejectResponse(a, resp, "event_too_long")
			}
			q.end.insideEvent = events.insideEvent()
			q.beginStream(a, whole)
			if werr := q.forward(resp, whole); werr != nil {
				return q.callerStopped(a, resp)
			}
			q.lastEventID = events.lastEventID
			q.unresumable = events.opaque || events.positionUnknown || q.started && q.began.get() == ""
			if q.unresumable && q.started && !fo.stay() {
				return q.responseBroken(ctx, a, resp)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !q.end.insideEvent && !(empty && resp.Framing == conn.ByConnection):
			q.startResponse(resp) // a stream without events is complete too
			a.Answered(false)
			q.finish(resp)
			return q.recordServed(resp.Status)
		case err != nil:
			return q.responseBroken(ctx, a, resp)
		}
	}
}

// recordPiece records the arrival of a piece of the stream; begun reports whether an answer
// has begun by now, not just comments.
func (q *request) recordPiece(begun bool) {
	now := q.g.deps.Now()
	if begun && q.responseSince.IsZero() {
		q.responseSince = now
	}
	if q.isLongRun(now) { // it clears a part of its prompt long before its end
		q.recordCompleted(http.StatusOK, false)
	}
	if q.lastPieceAt.IsZero() {
		q.timeToFirst = now.Sub(q.start)
	} else {
		if pause := now.Sub(q.lastPieceAt); pause > q.longestPause {
			q.longestPause, q.longestPauseAt = pause, q.lastPieceAt.Sub(q.start)
		}
	}
	q.lastPieceAt = now
}

// startResponse sends the response head of the stream's first upstream, once.
func (q *request) startResponse(resp *conn.Response) {
	if q.started {
		return
	}
	q.started = true
	q.g.deps.Metrics.Observe(metrics.FirstByteTime, q.route.Kind.String(), q.g.deps.Now().Sub(q.start))
	q.copyHeaders(resp)
	if !isEventStream(resp.Header) {
		q.setFraming(resp, lengthUnknown)
	}
	q.writeHead(resp.Status)
}

// forward sends bytes to the caller and flushes them.
func (q *request) forward(resp *conn.Response, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	q.startResponse(resp)
	if _, err := q.write(b); err != nil {
		return err
	}
	return q.recordWriteErr(http.NewResponseController(q.w).Flush())
}

// write writes bytes of a response to the caller's connection.
func (q *request) write(b []byte) (int, error) {
	n, err := q.w.Write(b)
	q.forwardedBytes += int64(n)
	return n, q.recordWriteErr(err)
}

// recordWriteErr keeps the first error of a write to the caller.
func (q *request) recordWriteErr(err error) error {
	if q.writeErr == nil {
		q.writeErr = err
	}
	return err
}

// callerWriter writes to the caller of a request.
type callerWriter struct{ q *request }

// Write implements io.Writer.
func (w callerWriter) Write(b []byte) (int, error) { return w.q.write(b) }

// callerStopped ends a stream whose caller no longer reads it.
func (q *request) callerStopped(a exchange, resp *conn.Response) result {
	resp.Abort()
	a.Cancelled()
	q.callerLeft()
	return result{done: true}
}
