// Package pace waits: with jitter, so that hosts that started together do not
// call the platform in step, and with a context, so that a wait ends with its
// owner.
package pace

import (
	"context"
	"math/rand/v2"
	"time"
)

// Rand draws from [0, 1).
type Rand func() float64

// DefaultRand draws from the process's own source.
func DefaultRand() Rand { return rand.Float64 }

// Jitter returns a time from d*(1-share) to d*(1+share).
func (r Rand) Jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*r()-1)))
}

// Sleep waits for d and says whether ctx is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
