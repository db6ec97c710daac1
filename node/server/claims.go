package server

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/settings"
	"peridotpier.example/node/upstream/engineapi"
)

// claims lets the callers' interface use the claim store.
type claims struct {
	store *nodeclaim.Store
	batch *nodeclaim.Batcher
}

func newClaims(p Platform, s *Server, set *settings.Settings) *claims {
	batch := nodeclaim.NewBatcher(nodeclaim.DefaultBatchConfig(), p.Table)
	store := nodeclaim.New(nodeclaim.DefaultConfig(), nodeclaim.Deps{
		Records: nodeclaim.NewRows(batch), Objects: p.Objects, Fates: fates{s}, Log: s.log,
		Owner: claim.Owner{Host: set.Host, Incarnation: uuid.NewString()}, Now: time.Now})
	return &claims{store: store, batch: batch}
}

// run settles what could not be settled at once.
func (c *claims) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.batch.Run(ctx) })
	g.Go(func() error { return c.store.Run(ctx) })
	return g.Wait()
}

// Claim implements callerapi.Claims.
func (c *claims) Claim(ctx context.Context, r nodeclaim.Request) (dispatch.Grant, *nodeclaim.Answer, error) {
	g, a, err := c.store.Claim(ctx, r)
	if g == nil {
		return nil, a, err // a nil *Grant must not become a non-nil interface
	}
	return g, a, err
}

// fates asks upstreams by name for the fate of attempts.
type fates struct{ s *Server }

var errUpstreamGone = errors.New("upstream is not in the configuration any more")

// Fate implements claim.Fates.
func (f fates) Fate(ctx context.Context, upstream, attempt string) (engineapi.Attempt, error) {
	st, ok := f.s.config.Current()
	if !ok {
		return engineapi.Attempt{}, errUpstreamGone
	}
	u, ok := st.Index.Upstream(upstream)
	if !ok {
		return engineapi.Attempt{}, fault.Unknown(fault.StepClaim, upstream, fault.CodeUnknownOutcome, "%w", errUpstreamGone)
	}
	return f.s.dispatch.Upstreams().Fate(ctx, u.Address, attempt)
}
