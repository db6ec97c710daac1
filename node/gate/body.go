package gate

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/readall"
)

// receiveBody reads the body. It returns false after it has responded to a request
// whose body is too large or not complete. Only complete requests are forwarded: one
// that breaks off in the middle never reaches an upstream, and a request that was not
// run can be sent to another upstream.
func (q *request) receiveBody(limits deploy.Limits) bool {
	maxBytes := int64(limits.BodyBytes)
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	if q.r.ContentLength > maxBytes {
		q.decline(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if q.r.ContentLength == 0 {
		return true
	}
	body, err := q.readBody(maxBytes)
	switch {
	case q.g.deps.StopContext.Err() != nil:
		q.w.Header().Set("Connection", "close")
		q.refuse("stopping", stopRetry)
	case errors.Is(err, os.ErrDeadlineExceeded) && q.g.deps.BodyRefused(q.r.Context()):
		q.w.Header().Set("Connection", "close")
		q.refuse("no_memory", fullRetry)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.decline(http.StatusRequestTimeout, "body_late")
	case err != nil:
		q.decline(http.StatusBadRequest, "body_incomplete", zap.Error(err), zap.Int("read_bytes", len(body)),
			zap.Int64("length", q.r.ContentLength), zap.Int64("held_ms", q.g.deps.Now().Sub(q.start).Milliseconds()))
	case int64(len(body)) > maxBytes:
		q.decline(http.StatusRequestEntityTooLarge, "body_too_large")
	default:
		q.body, q.bodyRead = body, true
		return true
	}
	return false
}

// readBody reads until the body ends, more than maxBytes have come, the request's deadline
// passes or StopContext is done.
func (q *request) readBody(maxBytes int64) ([]byte, error) {
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(q.deadline)
	deadlineSet := make(chan struct{})
	stop := context.AfterFunc(q.g.deps.StopContext, func() {
		defer close(deadlineSet)
		_ = rc.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := readall.Read(q.r.Body, q.r.ContentLength, maxBytes)
	if !stop() {
		<-deadlineSet
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, err
}

// bodyDrainTimeout bounds how long the rest of a body is read after its request was
// refused. It is read so that a TCP reset does not overtake the response.
const bodyDrainTimeout = 500 * time.Millisecond

// defaultBodyBytes is the largest body that is read when the configuration sets no limit.
const defaultBodyBytes = 4 << 20
