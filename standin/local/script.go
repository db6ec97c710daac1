package local

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/node/pace"
)

// Script carries out actions on a site during the traffic of a run.
type Script func(ctx context.Context, r *RunningSite) error

// RoutineScript returns a script for a run of the given length with the changes of an
// ordinary day: the first entry host shuts down gracefully and another replaces it, and
// an operator puts another preset in force through a host that stays.
func RoutineScript(length time.Duration) Script {
	return func(ctx context.Context, r *RunningSite) error {
		if !sleep(ctx, length/3) {
			return nil
		}
		stopped := make(chan error, 1)
		go func() { stopped <- r.Stop(0) }() // requests that the shutdown cuts show in the counts
		err := r.switchPreset(ctx)
		if stopErr := <-stopped; err == nil {
			err = eris.Wrap(stopErr, "stop a host")
		}
		if err != nil || ctx.Err() != nil {
			return err
		}
		return eris.Wrap(r.Replace(ctx, 0), "replace a host")
	}
}

// sleep waits for d and reports whether it did so in full; it returns false if ctx ends
// first.
func sleep(ctx context.Context, d time.Duration) bool { return pace.Sleep(ctx, d) }
