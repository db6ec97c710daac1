package claim

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// maxCollectBurst is how many batches may follow one another without a wait, so that
// a host with little load adds no delay to a claim.
const maxCollectBurst = 3

// collector gathers arrivals into batches at a limited rate.
type collector[T any] struct {
	arrivals <-chan T
	limiter  *rate.Limiter
	maxBatch int
}

func newCollector[T any](arrivals <-chan T, interval time.Duration, maxBatch int) collector[T] {
	return collector[T]{arrivals: arrivals, limiter: rate.NewLimiter(rate.Every(interval), maxCollectBurst), maxBatch: maxBatch}
}

// next returns the next batch, which begins with what the caller deferred from the
// last one. When ctx ends, it returns what it has.
func (c collector[T]) next(ctx context.Context, batch []T) ([]T, error) {
	if len(batch) == 0 {
		select {
		case v := <-c.arrivals:
			batch = append(batch, v)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	timer := time.NewTimer(c.limiter.Reserve().Delay())
	defer timer.Stop()
	for {
		in := c.arrivals
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

// takeReady adds what is already waiting. Without it, requests that arrive together
// would get a commit each while no wait is due.
func (c collector[T]) takeReady(batch []T) []T {
	for len(batch) < c.maxBatch {
		select {
		case v := <-c.arrivals:
			batch = append(batch, v)
		default:
			return batch
		}
	}
	return batch
}
