package gate

import (
	"context"
	"errors"
	"io"
	"net/http"

	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// streamBuffer holds a few events, in bytes; each read is passed on at once.
const streamBuffer = 4 << 10

// stream relays events as they arrive. One that breaks off ends without its
// proper end, or goes on at another upstream where its route allows that.
func (q *request) stream(ctx context.Context, l *elsewhere, x *fleet.Attempt, resp *conn.Response) result {
	events := splitter{whole: q.mayRunAgain(), last: q.after}
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			x.ReceivedBytes()
			l.heard.Add(1)
			q.piece()
			if werr := q.pass(resp, events.take(buf[:n])); werr != nil {
				return q.unread(x, resp)
			}
			q.after = events.last
		}
		switch {
		case errors.Is(err, io.EOF):
			if werr := q.pass(resp, events.rest()); werr != nil {
				return q.unread(x, resp)
			}
			q.begin(resp) // a stream of no events is whole too
			x.Answered(false)
			resp.Finish()
			return q.served(resp.Status)
		case err != nil:
			return q.cut(ctx, x, resp)
		}
	}
}

// piece notes when a piece of the stream came.
func (q *request) piece() {
	now := q.g.deps.Now()
	if q.ranSince.IsZero() {
		q.ranSince = now
	}
	if q.heard.IsZero() {
		q.first = now.Sub(q.start)
	} else {
		if pause := now.Sub(q.heard); pause > q.pause {
			q.pause, q.pauseAt = pause, q.heard.Sub(q.start)
		}
	}
	q.heard = now
}

// begin sends the head of the stream's first upstream, once.
func (q *request) begin(resp *conn.Response) {
	if q.started {
		return
	}
	q.started = true
	q.g.deps.Metrics.Observe(metrics.FirstByteTime, q.route.Kind.String(), q.g.deps.Now().Sub(q.start))
	q.head(resp)
	q.w.WriteHeader(resp.Status)
}

// pass sends bytes on at once.
func (q *request) pass(resp *conn.Response, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	q.begin(resp)
	if _, err := q.write(b); err != nil {
		return err
	}
	return q.noted(http.NewResponseController(q.w).Flush())
}

// write hands bytes of an answer to the caller's connection.
func (q *request) write(b []byte) (int, error) {
	n, err := q.w.Write(b)
	q.relayed += int64(n)
	return n, q.noted(err)
}

// noted keeps the first error of a write to the caller.
func (q *request) noted(err error) error {
	if q.writeErr == nil {
		q.writeErr = err
	}
	return err
}

// callerWriter writes to the caller of a request.
type callerWriter struct{ q *request }

// Write implements io.Writer.
func (w callerWriter) Write(b []byte) (int, error) { return w.q.write(b) }

// unread ends a stream whose caller does not take it any more.
func (q *request) unread(x *fleet.Attempt, resp *conn.Response) result {
	resp.Abort()
	x.Cancelled()
	q.left()
	return result{done: true}
}
