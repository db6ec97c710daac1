package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Retry bounds for a commit in doubt.
const (
	initialRetryWait = 20 * time.Millisecond // first pause; about one round trip to the service
	maxRetryWait     = time.Second           // longest pause; an outage is not helped by asking faster
)

// CommitResolved commits t and, when the answer is lost, commits it again
// under the same operation id until the service says what became of it or
// ctx ends, which must be within OpMemory: a forgotten id would run again.
// Without this a lost answer would be read as a failure, and the
// caller would act twice on a write that took effect: one would notice a
// claim refused to its own owner, or a reservation leaked for ever.
func CommitResolved(ctx context.Context, tb Table, t Txn) (uint64, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = initialRetryWait, maxRetryWait
	unconfirmed := false
	for {
		v, err := tb.Commit(ctx, t)
		switch {
		case err == nil || errors.Is(err, ErrConflict):
			return v, err
		case errors.Is(err, ErrUnconfirmed):
			unconfirmed = true
		case !unconfirmed:
			return v, err // refused at once: nothing took effect
		}
		// Once in doubt, even a refusal says nothing of the first try.
		timer := time.NewTimer(pauses.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0, errors.Join(ErrUnconfirmed, ctx.Err())
		case <-timer.C:
		}
	}
}
