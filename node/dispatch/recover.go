package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/route"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/engineapi"
)

const (
	// recoverInterval is the time between queries for an outcome that is not yet
	// known.
	recoverInterval = 100 * time.Millisecond
	// maxRecoverFailures is the number of consecutive queries that may fail: with
	// probeTimeout each, an upstream may be unreachable for some ten seconds while
	// the caller's stream is held open.
	maxRecoverFailures = 10
	// maxRecoverFailuresRepeatable is the same for a request that another upstream
	// could answer: it is not worth waiting long.
	maxRecoverFailuresRepeatable = 2
)

// recoverAnswer finds out the outcome of an attempt whose answer was lost, and
// delivers the answer if there is one.
func (a *attempt) recoverAnswer(ctx context.Context, cause error) error {
	failures := 0
	for ctx.Err() == nil {
		f, err := a.d.upstreams.AttemptOutcome(ctx, a.ep.Address, a.id)
		if err != nil {
			failures++
			if !a.shouldAskAgain(err, failures) {
				a.d.deps.View.MarkDown(a.ep.Upstream)
				return cause
			}
			_ = sleep(ctx, recoverInterval)
			continue
		}
		failures = 0
		if done, err := a.applyOutcome(ctx, f, cause); done {
			return err
		}
		_ = sleep(ctx, recoverInterval)
	}
	return cause
}

// shouldAskAgain reports whether to query the outcome again. A refused
// connection means that the upstream's process has terminated, and its attempts
// with it.
func (a *attempt) shouldAskAgain(err error, failures int) bool {
	terminated := fault.From(fault.StepResume, err).Outcome == outcome.NotRun && failures > 1
	if terminated || errors.Is(err, errForgotten) {
		return false
	}
	if a.w.Repeatable && !a.out.started {
		return failures < maxRecoverFailuresRepeatable
	}
	return failures < maxRecoverFailures
}

// applyOutcome acts on the attempt's outcome, and returns whether the recovery
// is done.
func (a *attempt) applyOutcome(ctx context.Context, f engineapi.Attempt, cause error) (done bool, err error) {
	switch {
	case !a.sentTo.matches(f.Incarnation):
		return true, fault.Unknown(fault.StepResume, a.ep.Upstream, fault.CodeUpstreamFailed, "upstream restarted: %w", cause)
	case f.State == engineapi.AttemptUnseen || f.State == engineapi.AttemptRefused:
		return true, fault.NotRun(fault.StepResume, a.ep.Upstream, fault.CodeUpstreamFailed, "attempt never ran: %w", cause)
	case f.State == engineapi.AttemptCancelled:
		return true, fault.Unknown(fault.StepResume, a.ep.Upstream, fault.CodeUpstreamFailed, "attempt was cancelled: %w", cause)
	case a.w.Stream && f.Status < http.StatusBadRequest:
		return a.resume(ctx)
	case f.State == engineapi.AttemptCompleted:
		return true, a.deliver(f)
	default:
		return false, nil
	}
}

// errNotEvents means that the remainder of a stream is no stream of events.
var errNotEvents = errors.New("answer is no stream of events")

// resume continues a stream after the last position that was forwarded.
func (a *attempt) resume(ctx context.Context) (done bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Started before the request: its connection, although new, may stall too
	// before the head of the answer arrives, and the caller would wait for ever.
	stop := a.watchExchange(ctx, cancel)
	defer stop()
	resp, err := a.d.upstreams.Resume(ctx, a.ep.Address, a.id, a.split.position)
	if err != nil {
		return false, nil
	}
	if !isEventStream(resp.Header) {
		resp.Abort()
		return true, fault.Unknown(fault.StepResume, a.ep.Upstream, fault.CodeUpstreamFailed, "resume: %w", errNotEvents)
	}
	a.d.deps.Metrics.Add(metrics.Resumed, a.ep.DataCentre, a.ep.Upstream, 1)
	a.d.deps.Log.Emit(event.StreamResumed, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("attempt", a.id), zap.Int("position", a.split.position))
	err = a.forward(ctx, resp)
	return err == nil || a.out.callerGone, err
}

// deliver writes a complete answer that the upstream has kept.
func (a *attempt) deliver(f engineapi.Attempt) error {
	if err := a.statusError(f.Status); err != nil {
		return err
	}
	h := http.Header{}
	if f.ContentType != "" {
		h.Set("Content-Type", f.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(f.Body)))
	a.out.start(Head{Status: f.Status, Header: h, Attempt: a.id, Upstream: a.ep.Upstream, Incarnation: f.Incarnation})
	if err := a.out.write(f.Body); err != nil {
		return err
	}
	return nil
}

// Resumption identifies a stream that this or another host dispatched.
type Resumption struct {
	Attempt     string
	Upstream    string
	Address     string
	DataCentre  string
	Incarnation string
	After       int // the position of the last event that the caller received
}

// Resume forwards the remainder of a stream, which this or another host
// dispatched, after the last event that the caller received.
func (d *Dispatcher) Resume(ctx context.Context, w *Work, r Resumption, sink Sink) error {
	ep := &route.Endpoint{Upstream: r.Upstream, Address: r.Address, DataCentre: r.DataCentre, Incarnation: r.Incarnation}
	a := newAttempt(d, w, &output{sink: sink}, ep)
	a.id = r.Attempt
	a.split = splitter{attempt: []byte(r.Attempt), position: r.After}
	a.watch.position.Store(int64(r.After))
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	err := a.recoverAnswer(ctx, fault.Unknown(fault.StepResume, r.Upstream, fault.CodeOutcomeUnknown, "stream cannot be resumed"))
	a.cancelIfAbandoned(ctx, err)
	return err
}
