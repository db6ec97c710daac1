package server

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/config"
	"peridotpier.example/core/fault"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/engineapi"
)

// claims adapts the claim store to callerapi.Claims and runs its background work.
type claims struct {
	store   *nodeclaim.Store
	batcher *nodeclaim.Batcher
	rows    *nodeclaim.Rows // writes through batcher, for this host and for others
	log     *event.Log
	killed  <-chan struct{}
}

func newClaims(s *Server) *claims {
	p := s.cfg.Platform
	batch := nodeclaim.NewBatcher(nodeclaim.DefaultBatchConfig(), p.Table)
	rows := nodeclaim.NewRows(batch)
	cfg := nodeclaim.DefaultConfig()
	if s.cfg.ClaimGrace > 0 {
		cfg.Grace = s.cfg.ClaimGrace
	}
	store := nodeclaim.New(cfg, nodeclaim.Deps{
		Records: claimRecords{s, rows}, Objects: p.Objects, Attempts: attemptQuerier{s}, Log: s.log,
		Owner: claim.Owner{Host: s.cfg.Settings.Host, Incarnation: s.incarnation}, Now: time.Now})
	s.metrics.SetFunc(metrics.UnresolvedClaims, func() any { n, _ := store.Pending(); return n })
	s.metrics.SetFunc(metrics.UnresolvedClaimBytes, func() any { _, bytes := store.Pending(); return bytes })
	return &claims{store: store, batcher: batch, rows: rows, log: s.log, killed: s.killed}
}

// claimDrainTimeout bounds how long a host that has otherwise shut down keeps
// writing the outcomes of claims: long enough for a short outage of the table
// service, but not so long that the host's replacement waits for it. Outcomes
// not written by then are left as after a crash: a repeat of the request is
// resolved by asking the upstream.
const claimDrainTimeout = 10 * time.Second

// run writes the outcomes of claims that could not be written at once. When
// ctx ends, which is after the last request, it drains those still pending.
func (c *claims) run(ctx context.Context) error {
	batching, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return c.batcher.Run(batching) })
	_ = c.store.Run(ctx) // ends with ctx only
	c.drain(batching)
	stop()
	return g.Wait()
}

func (c *claims) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimDrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-c.killed: // Kill simulates a crash: a dead process writes nothing
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := c.store.Drain(ctx); err != nil {
		c.log.Emit(event.ClaimOutcomeDropped, zap.Int("count", c.unresolved()), zap.Error(err))
	}
}

// unresolved returns how many outcomes of claims are not yet written to the platform.
func (c *claims) unresolved() int {
	n, _ := c.store.Pending()
	return n
}

// setLimits applies the limits of a configuration.
func (c *claims) setLimits(l config.Limits) {
	c.store.SetLimits(nodeclaim.Limits{TTL: time.Duration(l.ClaimTTLSeconds) * time.Second, MaxAnswerBytes: int(l.AnswerBytes)})
}

// Claim implements callerapi.Claims.
func (c *claims) Claim(ctx context.Context, r nodeclaim.Request) (dispatch.Grant, *nodeclaim.Answer, error) {
	g, a, err := c.store.Claim(ctx, r)
	if g == nil {
		return nil, a, err // a nil *Grant must not become a non-nil interface
	}
	return g, a, err
}

// attemptQuerier asks upstreams, given by name, for the outcome of attempts.
type attemptQuerier struct{ s *Server }

var errUpstreamRemoved = errors.New("upstream is not in the configuration any more")

// QueryAttempt implements claim.AttemptQuerier.
func (f attemptQuerier) QueryAttempt(ctx context.Context, upstream, attempt string) (engineapi.Attempt, error) {
	address, ok := f.s.addressOf(upstream)
	if !ok {
		return engineapi.Attempt{}, fault.Unknown(fault.StepClaim, upstream, fault.CodeOutcomeUnknown, "%w", errUpstreamRemoved)
	}
	return f.s.dispatch.UpstreamClient().AttemptOutcome(ctx, address, attempt)
}
