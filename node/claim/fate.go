package claim

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/engineapi"
)

var fates = map[engineapi.AttemptState]claim.AttemptState{
	engineapi.AttemptUnseen:    claim.AttemptUnseen,
	engineapi.AttemptRefused:   claim.AttemptRefused,
	engineapi.AttemptRunning:   claim.AttemptRunning,
	engineapi.AttemptCompleted: claim.AttemptCompleted,
	engineapi.AttemptCancelled: claim.AttemptCancelled,
}

// settleByFate asks the upstream of a claim whose owner is out of sight what
// became of the attempt, and writes it over the row that was seen. The answer
// is the row to decide on next; an error ends the arrival.
func (s *Store) settleByFate(ctx context.Context, key string, seen VersionedRow) (VersionedRow, error) {
	row := *seen.Row
	rep, err := s.ask(ctx, row)
	if rep.State == claim.AttemptRunning {
		return seen, inProgress(0)
	}
	next, settled := claim.ApplyReport(row, rep)
	if settled || next.State != row.State {
		if seen, err = s.write(ctx, key, seen, next); err != nil {
			// The attempt may have run, so this must not read as "not run".
			return seen, fault.Unknown(fault.StepClaim, "", fault.CodeStoreUnavailable, "settle claim: %w", err).WithRetryAfter(storeDownAfter)
		}
	}
	if !settled {
		s.deps.Log.Emit(event.ClaimOutcomeUnknown, zap.String(event.FieldPeer, row.Route.Upstream), zap.String("attempt", row.Route.Attempt), zap.Error(err))
		return seen, fault.Unknown(fault.StepClaim, row.Route.Upstream, fault.CodeOutcomeUnknown, "the attempt's fate cannot be learned").WithRetryAfter(progressMost)
	}
	s.deps.Log.Emit(event.ClaimResolvedByUpstream, zap.String(event.FieldPeer, row.Route.Upstream), zap.String("state", string(next.State)))
	return seen, nil
}

// write swaps in the row; a conflict is no error: the row there is answered.
func (s *Store) write(ctx context.Context, key string, seen VersionedRow, next claim.Row) (VersionedRow, error) {
	if next.Answer != nil {
		if err := s.keep(ctx, key, next.ID, next.Answer); err != nil {
			return seen, err
		}
	}
	next.Op = newID()
	now, err := s.deps.Records.Swap(ctx, key, seen.Version, &next)
	if errors.Is(err, store.ErrConflict) {
		err = nil
	}
	return now, err
}

func (s *Store) ask(ctx context.Context, row claim.Row) (claim.Report, error) {
	if s.deps.Attempts == nil || row.Route.Attempt == "" {
		return claim.Report{}, nil
	}
	a, err := s.deps.Attempts.QueryAttempt(ctx, row.Route.Upstream, row.Route.Attempt)
	if err != nil || a.ID != row.Route.Attempt {
		return claim.Report{}, err // an answer about another attempt says nothing of this one
	}
	return claim.Report{State: fates[a.State], Incarnation: a.Incarnation,
		Answer: claim.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Dropped: a.Body == nil}}, nil
}
