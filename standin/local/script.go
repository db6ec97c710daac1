package local

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/node/pace"
)

// Script is what happens beside the traffic of a run.
type Script func(ctx context.Context, r *RunningSite) error

// RoutineScript is a run of the given length with an ordinary day's changes: the
// first entry host leaves gracefully and another takes its place, and an
// operator puts another preset in force through a host that stays.
func RoutineScript(length time.Duration) Script {
	return func(ctx context.Context, r *RunningSite) error {
		if !sleep(ctx, length/3) {
			return nil
		}
		stopped := make(chan error, 1)
		go func() { stopped <- r.Stop(0) }() // what it would have cut shows in the counts
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

// sleep lets d pass; false: ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool { return pace.Sleep(ctx, d) }
