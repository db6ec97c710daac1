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

var attemptStates = map[engineapi.AttemptState]claim.AttemptState{
	engineapi.AttemptUnseen:    claim.AttemptUnseen,
	engineapi.AttemptRefused:   claim.AttemptRefused,
	engineapi.AttemptRunning:   claim.AttemptRunning,
	engineapi.AttemptCompleted: claim.AttemptCompleted,
	engineapi.AttemptCancelled: claim.AttemptCancelled,
}

// resolveOutcome asks the upstream what became of the attempt of a claim whose owner
// failed or lost contact with the attempt, and writes the outcome over the row that
// was read. It returns the row for the next decision, or the error for the arrival.
func (s *Store) resolveOutcome(ctx context.Context, key string, seen VersionedRow) (VersionedRow, error) {
	row := *seen.Row
	rep, err := s.queryAttempt(ctx, row)
	if rep.State == claim.AttemptRunning {
		return seen, inProgressError(0)
	}
	next, resolved := claim.ApplyReport(row, rep)
	if resolved || next.State != row.State {
		if seen, err = s.writeRow(ctx, key, seen, next); err != nil {
			// The attempt may have run, so the error must not say that it did not.
			return seen, fault.Unknown(fault.StepClaim, "", fault.CodeStoreUnavailable, "settle claim: %w", err).WithRetryAfter(storeRetryAfter)
		}
	}
	if !resolved {
		s.deps.Log.Emit(event.ClaimOutcomeUnknown, zap.String(event.FieldPeer, row.Route.Upstream), zap.String("attempt", row.Route.Attempt), zap.Error(err))
		return seen, fault.Unknown(fault.StepClaim, row.Route.Upstream, fault.CodeOutcomeUnknown, "the attempt's fate cannot be learned").WithRetryAfter(maxInProgressRetryAfter)
	}
	s.deps.Log.Emit(event.ClaimResolvedByUpstream, zap.String(event.FieldPeer, row.Route.Upstream), zap.String("state", string(next.State)))
	return seen, nil
}

// writeRow replaces the row. After a conflict it returns the row that is there, and
// no error.
func (s *Store) writeRow(ctx context.Context, key string, seen VersionedRow, next claim.Row) (VersionedRow, error) {
	if next.Answer != nil {
		if err := s.storeAnswer(ctx, key, next.ID, next.Answer); err != nil {
			return seen, err
		}
	}
	next.Op = newID()
	current, err := s.deps.Records.Swap(ctx, key, seen.Version, &next)
	if errors.Is(err, store.ErrConflict) {
		err = nil
	}
	return current, err
}

func (s *Store) queryAttempt(ctx context.Context, row claim.Row) (claim.Report, error) {
	if s.deps.Attempts == nil || row.Route.Attempt == "" {
		return claim.Report{}, nil
	}
	a, err := s.deps.Attempts.QueryAttempt(ctx, row.Route.Upstream, row.Route.Attempt)
	if err != nil || a.ID != row.Route.Attempt {
		return claim.Report{}, err // a mismatched answer says nothing about this attempt
	}
	return claim.Report{State: attemptStates[a.State], Incarnation: a.Incarnation,
		Answer: claim.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Dropped: a.Body == nil}}, nil
}
