package local

import (
	"context"
	"time"
)

// Leaving lets the first entry host leave gracefully in the middle of a run
// of the given length, and another take its place.
func Leaving(length time.Duration) func(context.Context, *Running) {
	return func(ctx context.Context, r *Running) {
		if !pause(ctx, length/3) {
			return
		}
		_ = r.Stop(0) // what it would have cut shows in the counts
		if ctx.Err() == nil {
			_ = r.Replace(ctx, 0) // the run goes on with one host less
		}
	}
}

// pause lets d pass; false: ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
