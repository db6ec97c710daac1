package lease_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	decide "peridotpier.example/core/lease"
	"peridotpier.example/node/lease"
	standin "peridotpier.example/standin/platform"
)

// vacancyAfterHolderStops measures how long the role has no holder after its
// holder shuts down or crashes, and the rate of writes before that.
func vacancyAfterHolderStops(t *testing.T, seed uint64, crash bool) (vacant time.Duration, writesPerSecond float64) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		g := &gate{}
		var wg sync.WaitGroup
		start := func(holder string, i uint64, g *gate) (*lease.Lease, context.CancelFunc) {
			ctx, stop := context.WithCancel(t.Context())
			rng := rand.New(rand.NewPCG(seed, i))
			l := lease.New(lease.Config{Name: "r", Holder: holder}, lease.Deps{Table: gatedTable{tb, g}, Rand: rng.Float64})
			wg.Go(func() { _ = l.Run(ctx) })
			return l, stop
		}
		_, stopA := start("a", 0, g)
		synctest.Wait()
		b, stopB := start("b", 1, &gate{})
		time.Sleep(time.Minute + time.Duration(seed)*137*time.Millisecond)
		writesPerSecond = float64(tb.Faults.Writes()) / time.Minute.Seconds()
		if crash {
			g.set(true)
		} else {
			stopA()
		}
		stoppedAt := time.Now()
		for {
			if _, ok := b.Term(); ok {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		vacant = time.Since(stoppedAt)
		stopA()
		g.set(false)
		stopB()
		wg.Wait()
	})
	return vacant, writesPerSecond
}

// Symptom: a pool has no planner for minutes after a host was replaced.
// Sequence: the holder shuts down or crashes. Cause: the lease is not released
// on shutdown, or candidates poll too rarely.
func TestTheRoleIsSoonHeldAgain(t *testing.T) {
	const runs = 60
	p := decide.DefaultPolicy()
	for _, c := range []struct {
		name  string
		crash bool
		max   time.Duration
	}{{"shutdown", false, p.TTL / 3}, {"death", true, p.TTL * 3 / 2}} {
		t.Run(c.name, func(t *testing.T) {
			var took []time.Duration
			var writes float64
			for seed := range uint64(runs) {
				d, w := vacancyAfterHolderStops(t, seed, c.crash)
				took, writes = append(took, d), w
			}
			slices.Sort(took)
			t.Logf("without a holder for p50 %v, max %v; %.2f writes/s", took[runs/2], took[runs-1], writes)
			assert.Assert(t, took[runs-1] <= c.max)
		})
	}
}
