// Package pace provides waits that end with a context, waits that a signal ends, and
// jitter, so that hosts that started together do not call the platform in step.
package pace

import (
	"context"
	"math/rand/v2"
	"time"
)

// Rand is a source of random numbers in [0, 1).
type Rand func() float64

// DefaultRand returns the Rand of the process's global random source.
func DefaultRand() Rand { return rand.Float64 }

// Jitter returns a random duration between d*(1-share) and d*(1+share).
func (r Rand) Jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*r()-1)))
}

// Sleep waits for d, or until ctx is done, and reports whether ctx is still active.
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
