package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/retry"
	"peridotpier.example/core/route"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// Config bounds dispatching; zero values take the defaults.
type Config struct {
	// Silence is how long an exchange may go without a byte before its
	// upstream is asked on a new connection whether there is anything to wait for.
	Silence time.Duration
	// RetryShare is the share of requests that retries may add, 0 to 1.
	RetryShare float64
	// NoReplicaRetryAfter is told to callers of a model that no upstream holds.
	NoReplicaRetryAfter time.Duration
}

const (
	defaultSilence    = 2 * time.Second // above any pause between tokens, far below a deadline
	defaultRetryShare = 0.1
	defaultNoReplica  = 5 * time.Second // a load takes seconds
	busyRetryAfter    = time.Second
)

// Deps are what a Dispatcher works with.
type Deps struct {
	View    View
	Picker  route.Picker
	Client  *conn.Client
	Log     *event.Log
	Metrics *metrics.Set
	// Demand, when set, is told of requests for a model that no upstream holds.
	Demand func(pool string, key route.ModelKey)
}

// Dispatcher sends requests to upstreams.
type Dispatcher struct {
	cfg       Config
	deps      Deps
	upstreams *Upstreams

	mu     sync.Mutex // guards budget
	budget *retry.Budget
}

// New makes a Dispatcher.
func New(cfg Config, deps Deps) *Dispatcher {
	if cfg.Silence == 0 {
		cfg.Silence = defaultSilence
	}
	if cfg.RetryShare == 0 {
		cfg.RetryShare = defaultRetryShare
	}
	if cfg.NoReplicaRetryAfter == 0 {
		cfg.NoReplicaRetryAfter = defaultNoReplica
	}
	return &Dispatcher{cfg: cfg, deps: deps, upstreams: NewUpstreams(deps.Client), budget: retry.NewBudget(cfg.RetryShare)}
}

// Upstreams asks after attempts.
func (d *Dispatcher) Upstreams() *Upstreams { return d.upstreams }

// randomSource adapts the runtime's generator to route.Source; it is sharded
// by processor, so that requests do not wait for each other.
type randomSource struct{}

func (randomSource) Uint64N(n uint64) uint64 { return rand.Uint64N(n) }

// Do carries w out. A nil error means that the whole answer was handed to
// sink; otherwise the error is a *fault.Error with the request's outcome.
// When w has a Grant it is settled before Do returns.
func (d *Dispatcher) Do(ctx context.Context, w *Work, sink Sink) error {
	out := &output{sink: sink, keep: w.Grant != nil, most: w.KeepBytes, detached: w.Grant != nil}
	err := d.attempts(ctx, w, out)
	if w.Grant != nil {
		settle(ctx, w.Grant, out, err)
	}
	return err
}

// settle tells the claim what became of the request. The context of a caller
// that went away must not stop it.
func settle(ctx context.Context, g Grant, out *output, err error) {
	ctx = context.WithoutCancel(ctx)
	if err == nil {
		g.Complete(ctx, out.answer())
		return
	}
	if fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun {
		g.NotRun(ctx)
		return
	}
	g.Unknown(ctx)
}

// attempts makes one attempt after another, as core/retry allows.
func (d *Dispatcher) attempts(ctx context.Context, w *Work, out *output) error {
	d.countRequest()
	req := retry.NewRequest(retry.Config{}, w.Repeatable, w.Deadline)
	rr := &route.Request{Pool: w.Pool, Key: w.Key, Service: w.Service, Class: w.Class, Prefix: w.Prefix}
	var last *fault.Error
	for {
		snap := d.deps.View.Snapshot()
		dec := d.deps.Picker.Pick(snap, rr, randomSource{})
		if dec.Index < 0 {
			return d.noEndpoint(w, dec.Reason, last)
		}
		a := newAttempt(d, w, out, &snap.Endpoints[dec.Index])
		err := a.run(ctx)
		if err == nil {
			return nil
		}
		last = fault.From(fault.StepDispatch, err)
		if out.started || ctx.Err() != nil || w.BodyStream != nil && last.Outcome != outcome.NotRun {
			return last
		}
		next := d.after(req, retry.Attempt{Outcome: last.Outcome, Upstream: a.ep.Upstream,
			RetryAfter: last.RetryAfter, Elsewhere: true})
		last.Outcome = next.Outcome
		if !next.Retry || a.bodyUsed {
			return d.gaveUp(last, next.Reason)
		}
		rr.Avoid = next.Avoid
		if err := sleep(ctx, next.Pause); err != nil {
			return last
		}
	}
}

func (d *Dispatcher) countRequest() {
	d.mu.Lock()
	d.budget.Request()
	d.mu.Unlock()
}

func (d *Dispatcher) after(r *retry.Request, a retry.Attempt) retry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.After(a, d.budget, time.Now())
}

// gaveUp completes the error of a request that gets no further attempt.
func (d *Dispatcher) gaveUp(last *fault.Error, why retry.Reason) error {
	if why == retry.NoTime {
		last.Code = fault.CodeDeadline
	}
	if last.RetryAfter == 0 && last.Outcome == outcome.NotRun {
		last.RetryAfter = busyRetryAfter
	}
	if last.Outcome == outcome.Unknown && last.Code == fault.CodeUpstreamFailed {
		last.Code = fault.CodeUnknownOutcome
	}
	return last
}

// noEndpoint is the answer when no upstream can be tried, or no other one.
func (d *Dispatcher) noEndpoint(w *Work, why route.Reason, last *fault.Error) error {
	if last != nil {
		return d.gaveUp(last, retry.NoAttempts)
	}
	if why == route.NoReplica {
		if d.deps.Demand != nil {
			d.deps.Demand(w.Pool, w.Key)
		}
		return fault.NotRun(fault.StepRoute, "", fault.CodeNoUpstream, "no upstream of pool %s holds the model now", w.Pool).After(d.cfg.NoReplicaRetryAfter)
	}
	return fault.NotRun(fault.StepRoute, "", fault.CodeOverloaded, "every upstream of pool %s is busy, leaving or down", w.Pool).After(busyRetryAfter)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// cancelAttempt tells the upstream, in the background and for a bounded time,
// that nobody waits for an attempt any more.
func (d *Dispatcher) cancelAttempt(address, attempt string) {
	go func() {
		if err := d.upstreams.Cancel(context.Background(), address, attempt); err != nil {
			d.deps.Log.Emit(event.CancelFailed, zap.String(event.FieldPeer, address), zap.Error(err))
		}
	}()
}
