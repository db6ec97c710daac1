package claim

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// maxCollectBurst is how many commits may follow one another without a wait, so
// that a quiet host adds no time to a claim.
const maxCollectBurst = 3

// collector gathers what arrives until the pace allows the next commit.
type collector[T any] struct {
	in       <-chan T
	limiter  *rate.Limiter
	maxBatch int
}

func newCollector[T any](in <-chan T, window time.Duration, most int) collector[T] {
	return collector[T]{in: in, limiter: rate.NewLimiter(rate.Every(window), maxCollectBurst), maxBatch: most}
}

// next returns the next batch, which starts with what was held back from the
// last; at the end of ctx it returns what it has.
func (c collector[T]) next(ctx context.Context, batch []T) ([]T, error) {
	if len(batch) == 0 {
		select {
		case v := <-c.in:
			batch = append(batch, v)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	timer := time.NewTimer(c.limiter.Reserve().Delay())
	defer timer.Stop()
	for {
		in := c.in
		if len(batch) >= c.maxBatch {
			in = nil
		}
		select {
		case v := <-in:
			batch = append(batch, v)
		case <-timer.C:
			return c.takeReady(batch), nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

// takeReady takes in what already waits: with no wait at all, requests that came
// together would go out in a commit each.
func (c collector[T]) takeReady(batch []T) []T {
	for len(batch) < c.maxBatch {
		select {
		case v := <-c.in:
			batch = append(batch, v)
		default:
			return batch
		}
	}
	return batch
}
