package claim

import (
	"context"
	"errors"
	"time"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/node/store"
)

// Grant is the right to run one request. It must be used by one goroutine, and ends
// with Complete, Release or MarkUnknown.
type Grant struct {
	store    *Store
	key      string
	row      claim.Row
	version  uint64
	deadline time.Time // of the request, with a monotonic clock reading
}

// RecordDispatch must return nil before the first byte of an attempt is sent: the
// claim then durably names the attempt, so that another host can ask the upstream
// what became of it if this host fails. It writes nothing if the claim already names
// this route. An attempt before it must have ended without running. After an error
// nothing may be dispatched, and the grant must end with Release.
func (g *Grant) RecordDispatch(ctx context.Context, route claim.Route, deadline time.Time) error {
	if !time.Now().Before(g.deadline) {
		// This host was paused. Other hosts may resolve the claim from now on; as
		// a second safeguard the upstream refuses an attempt that they fenced.
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
		// Another host took the claim over while this one was paused, and may run
		// the request; going on would run it twice.
		return fault.NotRun(fault.StepClaim, "", fault.CodeConflict, "claim was taken over").WithRetryAfter(minInProgressRetryAfter)
	}
	if err != nil {
		return storeUnavailableError(err)
	}
	g.row, g.version = next, seen.Version
	return nil
}

// Complete stores the answer in the claim, for repeats of the request. The caller
// gets the answer whatever Complete returns: an error only means that the outcome
// was neither written nor queued.
func (g *Grant) Complete(ctx context.Context, a Answer) error {
	stored := claim.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Dropped: a.Dropped}
	return g.end(ctx, &stored, func(r claim.Row) (claim.Row, error) { return r.Complete(stored) })
}

// Release frees the key; no attempt has run and none will.
func (g *Grant) Release(ctx context.Context) error { return g.end(ctx, nil, release) }

// MarkUnknown records that the last attempt may have run. A repeat of the request
// asks the upstream.
func (g *Grant) MarkUnknown(ctx context.Context) error {
	return g.end(ctx, nil, func(r claim.Row) (claim.Row, error) { return r.MarkUnknown() })
}

func release(r claim.Row) (claim.Row, error) { return r.Release() }

// end writes the outcome, now if the platform allows it, else later through the
// queue. It continues after ctx has ended, since the caller may have disconnected
// and the claim must not stay open.
func (g *Grant) end(ctx context.Context, answer *claim.Answer, change func(claim.Row) (claim.Row, error)) error {
	w := &outcomeWrite{key: g.key, id: g.row.ID, row: g.row, version: g.version, change: change, answer: answer}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.store.cfg.CallTimeout)
	defer cancel()
	if err := g.store.writeOutcome(ctx, w); err != nil {
		return g.store.enqueue(w, err)
	}
	return nil
}
