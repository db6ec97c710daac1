package claim

import (
	"context"
	"errors"
	"time"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/node/store"
)

// Grant is the right to run one request. It belongs to one goroutine, and
// ends with Complete, NotRun or Unknown.
type Grant struct {
	store    *Store
	key      string
	row      claim.Row
	version  uint64
	deadline time.Time // with the monotonic clock: the request's deadline
}

// RecordDispatch must return nil before the first byte of an attempt goes out:
// the claim then durably names the attempt, so that another host can ask the
// upstream for its fate if this one dies. It writes nothing when the claim
// named this very route. Any attempt before it must have ended as not run.
// After an error nothing may be dispatched, and the grant must be ended with
// NotRun.
func (g *Grant) RecordDispatch(ctx context.Context, route claim.Route, deadline time.Time) error {
	if !time.Now().Before(g.deadline) {
		// This host was paused. Others look after the claim from now on; the
		// upstream's refusal of an attempt they fenced is the second line.
		return fault.NotRun(fault.StepClaim, "", fault.CodeDeadlineExceeded, "deadline passed before the dispatch")
	}
	if g.row.State == claim.Dispatched && g.row.Route == route {
		return nil
	}
	next, err := g.row.Dispatch(route, deadline.Add(g.store.cfg.Grace))
	if err != nil {
		return fault.NotRun(fault.StepClaim, "", fault.CodeInternal, "%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, g.store.cfg.CallTimeout)
	defer cancel()
	next.Op = newID()
	seen, err := g.store.deps.Records.Swap(ctx, g.key, g.version, &next)
	if errors.Is(err, store.ErrConflict) {
		// Another host took the claim over while this one was paused. It is
		// its to run now; going on would run the request twice.
		return fault.NotRun(fault.StepClaim, "", fault.CodeConflict, "claim was taken over").WithRetryAfter(minProgressRetry)
	}
	if err != nil {
		return storeUnavailableError(err)
	}
	g.row, g.version = next, seen.Version
	return nil
}

// Complete settles the claim with the answer, for repeats of the request.
// The caller has its answer whatever Complete returns: an error says only that
// the settlement was neither written nor kept for later.
func (g *Grant) Complete(ctx context.Context, a Answer) error {
	stored := claim.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Dropped: a.Dropped}
	return g.end(ctx, &stored, func(r claim.Row) (claim.Row, error) { return r.Complete(stored) })
}

// Release frees the key: no attempt ran and none will.
func (g *Grant) Release(ctx context.Context) error { return g.end(ctx, nil, release) }

// MarkUnknown tells that the last attempt may have run; a repeat of the request
// asks the upstream.
func (g *Grant) MarkUnknown(ctx context.Context) error {
	return g.end(ctx, nil, func(r claim.Row) (claim.Row, error) { return r.MarkUnknown() })
}

func release(r claim.Row) (claim.Row, error) { return r.Release() }

// end writes the settlement, at once if the platform allows it, else later.
// The caller's own ctx may have ended with its connection; that must not leave
// the claim open.
func (g *Grant) end(ctx context.Context, answer *claim.Answer, change func(claim.Row) (claim.Row, error)) error {
	st := &outcomeWrite{key: g.key, id: g.row.ID, row: g.row, version: g.version, change: change, answer: answer}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.store.cfg.CallTimeout)
	defer cancel()
	if err := g.store.writeOutcome(ctx, st); err != nil {
		return g.store.enqueue(st, err)
	}
	return nil
}
