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
// cancelled by name, as opposed to a lost connection: the upstream is told at once.
var ErrCancelled = errors.New("request was cancelled")

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	d        *Dispatcher
	w        *Work
	out      *output
	ep       *route.Endpoint
	id       string
	sent     incarnation
	bodyUsed bool // a body that cannot be sent again was sent
	outdated bool // the upstream's process is not the one that the attempt was meant for
	split    splitter
	watch    watchdog
	pace     pacer
	begun    time.Time
}

func newAttempt(d *Dispatcher, w *Work, out *output, ep *route.Endpoint) *attempt {
	a := &attempt{d: d, w: w, out: out, ep: ep, id: "a-" + uuid.NewString()}
	a.sent.set(ep.Incarnation)
	a.split.attempt = []byte(a.id)
	return a
}

// run sends the attempt and relays its answer, through lost answers and
// silent connections, until the attempt's fate is known or cannot be learnt.
func (a *attempt) run(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, a.w.Deadline)
	defer cancel()
	a.d.deps.View.AttemptStarted(a.ep.Upstream)
	defer a.d.deps.View.AttemptFinished(a.ep.Upstream)
	a.d.deps.Metrics.Add(metrics.Attempts, a.ep.DataCentre, a.ep.Upstream, 1)

	a.begun = time.Now()
	err := a.send(ctx)
	if err != nil && a.mayRecover(ctx, err) {
		err = a.recover(ctx, err)
	}
	a.after(ctx, err)
	return err
}

// after tells the upstream to stop work that nobody waits for. The engine
// itself keeps a stream for a while after its connection was lost, so that
// the caller can resume it through another host.
func (a *attempt) after(ctx context.Context, err error) {
	if err == nil || ctx.Err() == nil {
		return
	}
	lostStream := a.w.Stream && errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), ErrCancelled)
	if !lostStream {
		a.d.cancelAttempt(a.ep.Address, a.id)
	}
}

// mayRecover says whether the attempt's fate is worth asking for: it may have
// run, its caller still waits, and the answer could still be handed over whole.
func (a *attempt) mayRecover(ctx context.Context, err error) bool {
	f := fault.From(fault.StepDispatch, err)
	if f.Outcome != outcome.Unknown || ctx.Err() != nil || f.Step == fault.StepRelay && f.Peer == callerPeer {
		return false
	}
	return !a.out.started || a.w.Stream
}

const callerPeer = "caller"

// request makes the exchange that carries the attempt.
func (a *attempt) request() *conn.Request {
	h := a.w.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(engineapi.HeaderAttempt, a.id)
	h.Set(engineapi.HeaderPriority, strconv.Itoa(int(a.w.Class)))
	h.Set(engineapi.HeaderDeadline, strconv.FormatInt(time.Until(a.w.Deadline).Milliseconds(), 10))
	if a.w.Claim != nil {
		// The claim names this process, and its word alone settles the claim.
		// Without the header, a host that was paused here while the process
		// was asked for the attempt's fate, told "unseen" and then restarted,
		// would run on the new one what was freed for another run.
		h.Set(engineapi.HeaderForIncarnation, a.ep.Incarnation)
	}
	if a.w.Prefix != 0 {
		h.Set(engineapi.HeaderPrefix, strconv.FormatUint(a.w.Prefix, 16))
	}
	r := &conn.Request{Address: a.ep.Address, Method: a.w.Method, Path: a.w.Path, Query: a.w.Query, Header: h,
		Body: a.w.Body, NewConnection: !a.w.Repeatable}
	if a.w.BodyStream != nil {
		r.Stream, r.StreamLength = a.w.BodyStream, a.w.BodyLength
		a.bodyUsed = true
	}
	return r
}

// send makes the exchange and relays what comes back.
func (a *attempt) send(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := a.watchExchange(ctx, cancel)
	defer stop()
	resp, err := a.d.deps.Client.Do(ctx, a.request())
	if err != nil {
		var body *conn.BodyError
		// A body that broke is its caller's doing. With the upstream taken for
		// down because of it, one caller that hangs up in the middle of its
		// body, time and again, would take upstreams from everybody.
		if !errors.As(err, &body) && fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun {
			a.bodyUsed = false
			a.d.deps.View.MarkDown(a.ep.Upstream)
		}
		return err
	}
	if err := a.check(resp); err != nil {
		resp.Abort()
		return err
	}
	return a.relay(ctx, resp)
}

// check accepts an answer only if it is this attempt's own. An answer under
// another id is another caller's: it is dropped with its connection, on which
// every later answer would be shifted too.
func (a *attempt) check(resp *conn.Response) error {
	if got := resp.Header.Get(engineapi.HeaderAttempt); got != a.id {
		a.d.deps.Metrics.Add(metrics.Mismatched, a.ep.DataCentre, a.ep.Upstream, 1)
		a.d.deps.Log.Emit(event.AnswerMismatched, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("attempt", a.id), zap.String("got", got))
		return fault.Unknown(fault.StepDispatch, a.ep.Upstream, fault.CodeUpstreamFailed, "answer for attempt %q: %w", got, errForeign)
	}
	inc := resp.Header.Get(engineapi.HeaderIncarnation)
	if resp.Header.Get(engineapi.HeaderRefused) == engineapi.RefusedRestarted {
		a.outdated = true
		a.d.deps.View.MarkRestarted(a.ep.Upstream, a.ep.Incarnation, inc)
	} else if inc != "" {
		a.sent.set(inc)
	}
	a.d.deps.View.ObserveAnswer(a.ep.Upstream, inc, resp.Header.Get(engineapi.HeaderLoad))
	return a.refused(resp)
}

// refused turns an upstream's refusal into an error; nil when it is an answer.
func (a *attempt) refused(resp *conn.Response) error {
	why := resp.Header.Get(engineapi.HeaderRefused)
	if why == "" {
		return nil
	}
	a.d.deps.Metrics.Add(metrics.Refused, a.ep.DataCentre, a.ep.Upstream, 1)
	switch why {
	case engineapi.RefusedDraining:
		if a.d.deps.View.MarkDraining(a.ep.Upstream, a.sent.get()) {
			a.d.deps.Log.Emit(event.UpstreamDraining, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("incarnation", a.sent.get()), zap.String("source", "refusal"))
		}
	case engineapi.RefusedAttemptClosed:
		// The watchdog asked for the fate before the attempt arrived.
		return fault.Unknown(fault.StepDispatch, a.ep.Upstream, fault.CodeUpstreamFailed, "refused: %s", why)
	case engineapi.RefusedNotLoaded:
		a.d.deps.View.MarkNotReady(a.ep.Upstream, a.w.Key)
	}
	return fault.NotRun(fault.StepDispatch, a.ep.Upstream, fault.CodeOverloaded, "refused: %s", why)
}
