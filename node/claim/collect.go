package claim

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// collectBurst is how many commits may follow one another without a wait, so
// that a quiet host adds no time to a claim.
const collectBurst = 3

// collector gathers what arrives until the pace allows the next commit.
type collector[T any] struct {
	in   <-chan T
	pace *rate.Limiter
	most int
}

func newCollector[T any](in <-chan T, window time.Duration, most int) collector[T] {
	return collector[T]{in: in, pace: rate.NewLimiter(rate.Every(window), collectBurst), most: most}
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
	timer := time.NewTimer(c.pace.Reserve().Delay())
	defer timer.Stop()
	for {
		in := c.in
		if len(batch) >= c.most {
			in = nil
		}
		select {
		case v := <-in:
			batch = append(batch, v)
		case <-timer.C:
			return c.rest(batch), nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

// rest takes in what already waits: with no wait at all, requests that came
// together would go out in a commit each.
func (c collector[T]) rest(batch []T) []T {
	for len(batch) < c.most {
		select {
		case v := <-c.in:
			batch = append(batch, v)
		default:
			return batch
		}
	}
	return batch
}
