package gate

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// refusal describes an upstream's refusal, for logs.
type refusal struct {
	address string // at which the upstream was asked; "": none refused the newest attempt
	names   string // upstream that the refusal names; "": none
	use     conn.ConnUse
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r refusal) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("address", r.address)
	enc.AddString("names", r.names)
	enc.AddInt("exchange", r.use.Exchanges)
	enc.AddInt64("idle_ms", r.use.Idle.Milliseconds())
	return nil
}

// refusalField is the log field for the refusal of the newest attempt.
func (q *request) refusalField() zap.Field {
	if q.lastRefusal.address == "" {
		return zap.Skip()
	}
	return zap.Object("refusal", q.lastRefusal)
}

// refused ends an attempt that the upstream reported as not run.
func (q *request) refused(e *fleet.Entry, a *fleet.Attempt, resp *conn.Response, info ResponseInfo) result {
	a.Refused()
	q.lastRefusal = refusal{address: e.Address(), names: info.Upstream, use: resp.Use()}
	after := retryAfter(resp.Header)
	resp.Discard(maxRefusalBytes, refusalBodyWait)
	q.g.deps.Metrics.Add(metrics.Refused, q.service.Name, e.ID(), 1)
	if resp.Status == http.StatusMisdirectedRequest {
		q.recordMisdirected(e, info.Upstream)
	}
	return result{notRun: true, why: "refused_" + strconv.Itoa(resp.Status), retryAfter: after}
}

// recordMisdirected records a refusal that says that the process is not the one that the
// request is meant for, or does not have its model. A process that does not name itself may
// be either; without a model it is another one, for as long as it says so.
func (q *request) recordMisdirected(e *fleet.Entry, names string) {
	switch {
	case names != "" && names != e.ID():
		e.MarkReplaced()
	case q.needs.Model != "":
		e.MarkNotResident(q.needs.Model, q.needs.Adapter)
	case names == "":
		e.ExcludeMisdirected()
	}
}

// Bounds of what is read of a refusal in order to keep its connection. Its head says all, so
// that the request waits for the rest no longer than for a packet that follows.
const (
	maxRefusalBytes = 16 << 10
	refusalBodyWait = 10 * time.Millisecond
)

// maxRetryAfter is the longest retry delay that is forwarded to a caller.
const maxRetryAfter = time.Hour

// retryAfter returns the retry delay that an upstream requested; 0: none, or more
// than maxRetryAfter.
func retryAfter(h http.Header) time.Duration {
	after := backpressure.ParseRetryAfter(h.Get("Retry-After"))
	if after > maxRetryAfter {
		return 0
	}
	return after
}
