package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The bounds of the wait between two attempts at an unconfirmed commit.
const (
	initialRetryWait = 20 * time.Millisecond // about one round trip to the service
	maxRetryWait     = time.Second           // retrying more often doesn't help in an outage
)

// CommitResolved commits t. When the answer is lost, it retries under the same
// operation id until the service answers or ctx ends; then the error is
// ErrUnconfirmed. ctx must end within OpRetention, since the service would
// execute a forgotten id again. Without the retries a caller would treat a lost
// answer as a failure and repeat a write that took effect: a claim would be
// refused to its own owner, or a reservation would leak for ever.
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
			return v, err // refused at the first attempt: nothing took effect
		}
		// After a lost answer a refusal says nothing about the earlier attempt.
		timer := time.NewTimer(pauses.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0, errors.Join(ErrUnconfirmed, ctx.Err())
		case <-timer.C:
		}
	}
}
