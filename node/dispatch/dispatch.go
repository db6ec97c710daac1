package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/retry"
	"peridotpier.example/core/route"
	"peridotpier.example/node/bytebudget"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// Config configures a Dispatcher; zero values mean the defaults.
type Config struct {
	// IdleBeforeProbe is how long an exchange may go without a byte before the
	// upstream is asked, on a new connection, whether its answer is still coming.
	IdleBeforeProbe time.Duration
	// RetryShare is the number of retries allowed as a share of all requests, 0 to 1.
	RetryShare float64
	// NoReplicaRetryAfter is the Retry-After for callers of a model that is
	// resident at no upstream.
	NoReplicaRetryAfter time.Duration
	// RetainBudgetBytes bounds the memory for all answers that are retained for
	// claims at the same time. Of an answer that exceeds it, only the fact that
	// there was one is stored.
	RetainBudgetBytes int64
}

const (
	defaultIdleBeforeProbe     = 2 * time.Second // longer than any pause between tokens, far shorter than a deadline
	defaultRetryShare          = 0.1
	defaultNoReplicaRetryAfter = 5 * time.Second // loading a model takes seconds
	busyRetryAfter             = time.Second
	minRemainingMs             = 0.001    // the remaining time given to routing once the deadline has passed
	defaultRetainBudget        = 32 << 20 // four answers of the maximum size; typical answers take some KB
)

// Deps are the dependencies of a Dispatcher.
type Deps struct {
	View    View
	Picker  route.Picker
	Client  *conn.Client
	Log     *event.Log
	Metrics *metrics.Set
	// NotifyDemand, if not nil, is called for each request for a model that is
	// resident at no upstream.
	NotifyDemand func(pool string, key route.ModelKey)
	// ResponseMemory is what answers may take together that wait for their callers to read
	// them. nil: it is not bounded.
	ResponseMemory *bytebudget.Budget
}

// Dispatcher sends requests to upstreams.
type Dispatcher struct {
	cfg       Config
	deps      Deps
	upstreams *UpstreamClient
	lengths   *answerLengths

	retainBudget *bytebudget.Budget // of answers that are retained for claims

	mu     sync.Mutex // guards budget
	budget *retry.Budget
}

// New returns a Dispatcher. Zero fields of cfg get their defaults.
func New(cfg Config, deps Deps) *Dispatcher {
	if cfg.IdleBeforeProbe == 0 {
		cfg.IdleBeforeProbe = defaultIdleBeforeProbe
	}
	if cfg.RetryShare == 0 {
		cfg.RetryShare = defaultRetryShare
	}
	if cfg.NoReplicaRetryAfter == 0 {
		cfg.NoReplicaRetryAfter = defaultNoReplicaRetryAfter
	}
	if cfg.RetainBudgetBytes == 0 {
		cfg.RetainBudgetBytes = defaultRetainBudget
	}
	return &Dispatcher{cfg: cfg, deps: deps, retainBudget: bytebudget.New(cfg.RetainBudgetBytes), upstreams: NewUpstreamClient(deps.Client), lengths: newAnswerLengths(),
		budget: retry.NewBudget(cfg.RetryShare)}
}

// UpstreamClient returns the client that queries and cancels attempts.
func (d *Dispatcher) UpstreamClient() *UpstreamClient { return d.upstreams }

// randomSource adapts the runtime's generator to route.Source. The generator is
// sharded by processor, so that requests do not contend for it.
type randomSource struct{}

func (randomSource) Uint64N(n uint64) uint64 { return rand.Uint64N(n) }

// Do dispatches w. A nil error means that the complete answer was written to
// sink; otherwise the error is a *fault.Error with the request's outcome. The
// outcome of a request under a claim is recorded before Do returns.
func (d *Dispatcher) Do(ctx context.Context, w *Work, sink Sink) error {
	claimed := w.Claim != nil
	out := &output{sink: sink, retain: claimed, maxRetained: w.MaxRetainedBytes, budget: d.retainBudget, detached: claimed}
	r := &execution{d: d, w: w, out: out,
		retries: retry.NewRequest(retry.Config{}, w.Repeatable, w.Deadline),
		route: route.Request{Pool: w.Pool, Key: w.Key, PlainService: w.PlainService, Class: w.Class, Prefix: w.Prefix,
			AnswerTokens: d.lengths.predict(w.Key, w.MaxTokens), IdleStepMs: w.IdleStepMs}}
	d.countRequest()
	err := r.runAttempts(ctx)
	if r.grant != nil {
		r.resolveClaim(ctx, err)
	}
	out.releaseRetained()
	return err
}

// execution is the state of one request across its attempts.
type execution struct {
	d       *Dispatcher
	w       *Work
	out     *output
	retries *retry.Request
	route   route.Request
	grant   Grant // nil until the request is claimed
	lastErr *fault.Error
}

// resolveClaim records the request's outcome in its claim. A caller that has
// disconnected, which ends the context, must not prevent that. The claim store
// queues and logs what it cannot write now, so errors need no handling here.
func (r *execution) resolveClaim(ctx context.Context, err error) {
	ctx = context.WithoutCancel(ctx)
	switch {
	case err == nil && r.out.head.EndsWithConn:
		_ = r.grant.MarkUnknown(ctx) // it may have been truncated: a repeat asks the upstream for it
	case err == nil:
		_ = r.grant.Complete(ctx, r.out.answer())
	case fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun:
		_ = r.grant.Release(ctx)
	default:
		_ = r.grant.MarkUnknown(ctx)
	}
}

// runAttempts makes one attempt after another, as far as core/retry allows.
func (r *execution) runAttempts(ctx context.Context) error {
	for {
		snap := r.d.deps.View.Snapshot()
		r.route.RemainingMs = max(float64(time.Until(r.w.Deadline))/float64(time.Millisecond), minRemainingMs)
		dec := r.d.deps.Picker.Pick(snap, &r.route, randomSource{})
		if dec.Index < 0 {
			return r.answerWithoutEndpoint(ctx, dec.Reason)
		}
		a := newAttempt(r.d, r.w, r.out, &snap.Endpoints[dec.Index])
		err := r.resolveIncarnation(ctx, a)
		if err == nil {
			if replayed, cerr := r.recordClaim(ctx, a); replayed || cerr != nil {
				return cerr
			}
			err = a.run(ctx)
		}
		if err == nil {
			return nil
		}
		if retrying := r.prepareRetry(ctx, a, err); !retrying {
			return r.lastErr
		}
	}
}

var errNoIncarnation = errors.New("upstream reports no incarnation, or another upstream answered")

// resolveIncarnation finds out the upstream's incarnation for an attempt under a
// claim. A host that has just started may have no report of the upstream yet.
func (r *execution) resolveIncarnation(ctx context.Context, a *attempt) error {
	if r.w.Claim == nil || a.ep.Incarnation != "" {
		return nil
	}
	rep, err := r.d.upstreams.Report(ctx, a.ep.Address)
	if err == nil && (rep.Upstream != a.ep.Upstream || rep.Incarnation == "") {
		err = errNoIncarnation
	}
	if err != nil {
		r.d.deps.View.MarkDown(a.ep.Upstream)
		return fault.NotRun(fault.StepRoute, a.ep.Upstream, fault.CodeNoUpstream, "ask for a report: %w", err)
	}
	ep := *a.ep // the snapshot is shared
	ep.Incarnation = rep.Incarnation
	a.ep = &ep
	a.sentTo.set(rep.Incarnation)
	return nil
}

// recordClaim durably records, for a request that must not run twice, to which
// upstream the attempt goes. A repeat of a request that has run is answered
// here (replayed).
func (r *execution) recordClaim(ctx context.Context, a *attempt) (replayed bool, err error) {
	if r.w.Claim == nil {
		return false, nil
	}
	to := claim.Route{Upstream: a.ep.Upstream, Incarnation: a.ep.Incarnation, Attempt: a.id}
	if r.grant != nil {
		return false, r.grant.RecordDispatch(ctx, to, r.w.Deadline)
	}
	grant, stored, err := r.w.Claim(ctx, to)
	if err != nil {
		return false, err
	}
	if stored != nil {
		return true, r.out.replay(stored)
	}
	r.grant = grant
	return false, grant.RecordDispatch(ctx, to, r.w.Deadline)
}

// prepareRetry reports whether another attempt follows the one that failed. If
// so, it waits for the backoff before it returns.
func (r *execution) prepareRetry(ctx context.Context, a *attempt, err error) bool {
	r.lastErr = fault.From(fault.StepDispatch, err)
	if r.out.started || ctx.Err() != nil {
		return false
	}
	avoid := a.ep.Upstream
	if r.lastErr.Step == fault.StepResume && r.lastErr.Outcome == outcome.NotRun {
		avoid = "" // the upstream answered that the attempt never reached it: the connection failed, not the upstream
	}
	if a.wrongIncarnation {
		avoid = "" // the attempt was meant for an earlier incarnation; that says nothing against the current one
	}
	next := r.d.nextRetry(r.retries, retry.Attempt{Outcome: r.lastErr.Outcome, ExcludeUpstream: avoid,
		RetryAfter: r.lastErr.RetryAfter, TryOthers: true})
	r.lastErr.Outcome = next.Outcome
	if !next.Retry || a.bodyConsumed {
		completeFinalError(r.lastErr, next.Reason)
		return false
	}
	r.route.Excluded = next.Excluded
	return sleep(ctx, next.Backoff) == nil
}

// answerWithoutEndpoint answers a request for which no upstream, or no further
// one, can be tried.
func (r *execution) answerWithoutEndpoint(ctx context.Context, why route.Reason) error {
	if r.w.Claim != nil && r.grant == nil {
		// A repeat of a request that has run gets its stored answer even if no
		// upstream is available now.
		grant, stored, err := r.w.Claim(ctx, claim.Route{})
		if err != nil {
			return err
		}
		if stored != nil {
			return r.out.replay(stored)
		}
		r.grant = grant
	}
	if r.lastErr != nil {
		completeFinalError(r.lastErr, retry.AttemptsExhausted)
		return r.lastErr
	}
	return r.d.refuse(r.w, why)
}

func (d *Dispatcher) countRequest() {
	d.mu.Lock()
	d.budget.CountRequest()
	d.mu.Unlock()
}

func (d *Dispatcher) nextRetry(r *retry.Request, a retry.Attempt) retry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.Next(a, d.budget, time.Now())
}

// completeFinalError sets the code and the Retry-After of the error of a request
// that gets no further attempt.
func completeFinalError(last *fault.Error, why retry.Reason) {
	if why == retry.DeadlineTooClose {
		last.Code = fault.CodeDeadlineExceeded
	}
	if last.RetryAfter == 0 && last.Outcome == outcome.NotRun {
		last.RetryAfter = busyRetryAfter
	}
	if last.Outcome == outcome.Unknown && last.Code == fault.CodeUpstreamFailed {
		last.Code = fault.CodeOutcomeUnknown
	}
}

// refuse returns the error for a request for which there is no upstream.
func (d *Dispatcher) refuse(w *Work, why route.Reason) error {
	if why == route.NoReplica {
		if d.deps.NotifyDemand != nil {
			d.deps.NotifyDemand(w.Pool, w.Key)
		}
		return fault.NotRun(fault.StepRoute, "", fault.CodeNoUpstream, "no upstream of pool %s holds the model now", w.Pool).WithRetryAfter(d.cfg.NoReplicaRetryAfter)
	}
	if why == route.DeadlineUnreachable {
		return fault.NotRun(fault.StepRoute, "", fault.CodeDeadlineExceeded, "no upstream of pool %s would answer before the deadline", w.Pool).WithRetryAfter(busyRetryAfter)
	}
	return fault.NotRun(fault.StepRoute, "", fault.CodeOverloaded, "every upstream of pool %s is busy, leaving or down", w.Pool).WithRetryAfter(busyRetryAfter)
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
// that the answer to an attempt is no longer needed.
func (d *Dispatcher) cancelAttempt(address, attempt string) {
	go func() {
		if err := d.upstreams.Cancel(context.Background(), address, attempt); err != nil {
			d.deps.Log.Emit(event.CancelFailed, zap.String(event.FieldPeer, address), zap.Error(err))
		}
	}()
}
