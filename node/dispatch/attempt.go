package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/route"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
)

// ErrCancelled is the cause of a context that the caller or an operator
// cancelled explicitly. The attempt is then cancelled at the upstream at once, even
// that of a stream, which survives a lost connection.
var ErrCancelled = errors.New("request was cancelled")

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	d                *Dispatcher
	w                *Work
	out              *output
	ep               *route.Endpoint
	id               string
	sentTo           incarnationRef
	bodyConsumed     bool // the body cannot be sent again, and was sent
	wrongIncarnation bool // the upstream's incarnation is not the one that the attempt was meant for
	split            splitter
	watch            watchdog
	pace             paceMeter
	startedAt        time.Time
}

func newAttempt(d *Dispatcher, w *Work, out *output, ep *route.Endpoint) *attempt {
	a := &attempt{d: d, w: w, out: out, ep: ep, id: "a-" + uuid.NewString()}
	a.sentTo.set(ep.Incarnation)
	a.split.attempt = []byte(a.id)
	return a
}

// run sends the attempt and forwards its answer. It recovers from lost answers
// and stalled connections until the attempt's outcome is known or cannot be
// found out.
func (a *attempt) run(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, a.w.Deadline)
	defer cancel()
	a.d.deps.View.AttemptStarted(a.ep.Upstream)
	defer a.d.deps.View.AttemptFinished(a.ep.Upstream)
	a.d.deps.Metrics.Add(metrics.Attempts, a.ep.DataCentre, a.ep.Upstream, 1)

	a.startedAt = time.Now()
	err := a.send(ctx)
	if err != nil && a.canRecover(ctx, err) {
		err = a.recoverAnswer(ctx, err)
	}
	a.cancelIfAbandoned(ctx, err)
	return err
}

// cancelIfAbandoned tells the upstream to stop work whose answer is no longer
// needed. The exception is a stream whose caller's connection was lost: the
// engine itself keeps it for a while, so that the caller can resume it through
// another host.
func (a *attempt) cancelIfAbandoned(ctx context.Context, err error) {
	if err == nil || ctx.Err() == nil {
		return
	}
	lostStream := a.w.Stream && errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), ErrCancelled)
	if !lostStream {
		a.d.cancelAttempt(a.ep.Address, a.id)
	}
}

// canRecover reports whether to ask the upstream for the attempt's outcome: the
// attempt may have run, its caller is still connected, and a complete answer
// could still be delivered.
func (a *attempt) canRecover(ctx context.Context, err error) bool {
	f := fault.From(fault.StepDispatch, err)
	if errors.Is(err, errUnfoundedPromise) || f.Outcome != outcome.Unknown || ctx.Err() != nil || f.Step == fault.StepRelay && f.Peer == callerPeer {
		return false
	}
	return !a.out.started || a.w.Stream
}

const callerPeer = "caller"

// buildRequest returns the HTTP request that carries the attempt.
func (a *attempt) buildRequest() *conn.Request {
	h := a.w.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(engineapi.HeaderAttempt, a.id)
	h.Set(engineapi.HeaderPriority, strconv.Itoa(int(a.w.Class)))
	h.Set(engineapi.HeaderDeadline, strconv.FormatInt(time.Until(a.w.Deadline).Milliseconds(), 10))
	if a.w.Claim != nil {
		// The claim names this incarnation, and only its report can resolve the
		// claim. Without the header the request could run twice: if this host is
		// paused here while the upstream is asked for the attempt's outcome,
		// answers "unseen", which frees the key for another run, and then
		// restarts, the new incarnation would run this attempt too.
		h.Set(engineapi.HeaderForIncarnation, a.ep.Incarnation)
	}
	if a.w.Prefix != 0 {
		h.Set(engineapi.HeaderPrefix, strconv.FormatUint(a.w.Prefix, 16))
	}
	r := &conn.Request{Address: a.ep.Address, Method: a.w.Method, Path: a.w.Path, Query: a.w.Query, Header: h,
		Body: a.w.Body, NewConnection: !a.w.Repeatable}
	if a.w.BodyStream != nil {
		r.Stream, r.StreamLength = a.w.BodyStream, a.w.BodyLength
		a.bodyConsumed = true
	}
	return r
}

// send makes the exchange and forwards its answer.
func (a *attempt) send(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := a.watchExchange(ctx, cancel)
	defer stop()
	resp, err := a.d.deps.Client.Do(ctx, a.buildRequest())
	if err != nil {
		var body *conn.BodyError
		// An error of the body is caused by the caller. If it marked the upstream
		// as down, one caller that repeatedly disconnects in the middle of its
		// body would make upstreams unavailable to all callers.
		if !errors.As(err, &body) && fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun {
			a.bodyConsumed = false
			a.d.deps.View.MarkDown(a.ep.Upstream)
		}
		return err
	}
	if err := a.checkResponse(resp); err != nil {
		resp.Abort()
		return err
	}
	return a.forward(ctx, resp)
}

// checkResponse returns an error unless the answer belongs to this attempt and
// is no refusal. An answer with another attempt's id belongs to another caller:
// it is dropped together with its connection, on which every later answer would
// be mismatched too.
func (a *attempt) checkResponse(resp *conn.Response) error {
	if got := resp.Header.Get(engineapi.HeaderAttempt); got != a.id {
		a.d.deps.Metrics.Add(metrics.Mismatched, a.ep.DataCentre, a.ep.Upstream, 1)
		a.d.deps.Log.Emit(event.AnswerMismatched, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("attempt", a.id), zap.String("got", got))
		return fault.Unknown(fault.StepDispatch, a.ep.Upstream, fault.CodeUpstreamFailed, "answer for attempt %q: %w", got, errMismatched)
	}
	inc := resp.Header.Get(engineapi.HeaderIncarnation)
	if resp.Header.Get(engineapi.HeaderRefused) == engineapi.RefusedRestarted {
		a.wrongIncarnation = true
		a.d.deps.View.MarkRestarted(a.ep.Upstream, a.ep.Incarnation, inc)
	} else if inc != "" {
		a.sentTo.set(inc)
	}
	a.d.deps.View.ObserveAnswer(a.ep.Upstream, inc, resp.Header.Get(engineapi.HeaderLoad))
	if err := a.refusalError(resp); err != nil {
		return err
	}
	return a.statusError(resp.Status)
}

// errUnfoundedPromise means that an answer has a status that promises that the request did not
// run, which its upstream did not state.
var errUnfoundedPromise = errors.New("upstream does not state that the request did not run")

// statusError returns an error if the caller may not get a status of the upstream's.
func (a *attempt) statusError(status int) error {
	if a.w.Repeatable || !outcome.PromisesNotRun(status) {
		return nil
	}
	return fault.Unknown(fault.StepDispatch, a.ep.Upstream, fault.CodeUpstreamFailed, "status %d: %w", status, errUnfoundedPromise)
}

// refusalError returns an error if the upstream refused the attempt, else nil.
func (a *attempt) refusalError(resp *conn.Response) error {
	why := resp.Header.Get(engineapi.HeaderRefused)
	if why == "" {
		return nil
	}
	a.d.deps.Metrics.Add(metrics.Refused, a.ep.DataCentre, a.ep.Upstream, 1)
	switch why {
	case engineapi.RefusedDraining:
		if a.d.deps.View.MarkDraining(a.ep.Upstream, a.sentTo.get()) {
			a.d.deps.Log.Emit(event.UpstreamDraining, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("incarnation", a.sentTo.get()), zap.String("source", "refusal"))
		}
	case engineapi.RefusedAttemptClosed:
		// The watchdog asked for the attempt's outcome before the attempt arrived.
		return fault.Unknown(fault.StepDispatch, a.ep.Upstream, fault.CodeUpstreamFailed, "refused: %s", why)
	case engineapi.RefusedNotLoaded:
		a.d.deps.View.MarkNotReady(a.ep.Upstream, a.w.Key)
	}
	return fault.NotRun(fault.StepDispatch, a.ep.Upstream, fault.CodeOverloaded, "refused: %s", why)
}
