package query_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/query"
)

// Guards against a change that reaches some hosts only after minutes, and against a
// fleet whose polls use up the table's read limit. Every push is lost, and 420 hosts
// that started together poll: too rarely, or at the same moments.
func TestPollAloneReachesTheFleetInTime(t *testing.T) {
	const (
		hosts             = 420
		changes           = 5
		maxDelay          = 16 * time.Second
		maxReadsPerSecond = 200 // polls may use a tenth of the table's 2,000
	)
	synctest.Test(t, func(t *testing.T) {
		s := smallSite(t)
		s.apply(t, 0, s.doc)
		ctx, stop := context.WithCancel(t.Context())
		readers := make([]*query.ConfigReader, hosts)
		var wg sync.WaitGroup
		for i := range readers {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			readers[i] = query.NewConfigReader(0, query.Deps{Table: s.table, Objects: s.objects, Rand: rng.Float64})
			wg.Go(func() { _ = readers[i].Run(ctx) })
		}
		time.Sleep(time.Minute)
		start, reads := time.Now(), s.table.Faults.Reads()
		var took []time.Duration
		for c := range changes {
			h := s.use(t, []string{"peak", "ordinary"}[c%2])
			changed := time.Now()
			for _, r := range readers {
				_, err := r.Next(ctx, h.Version-1)
				assert.NilError(t, err)
			}
			took = append(took, time.Since(changed))
			time.Sleep(time.Minute)
		}
		perSecond := float64(s.table.Faults.Reads()-reads) / time.Since(start).Seconds()
		slices.Sort(took)
		t.Logf("%d hosts, polls alone: last host after %v to %v, %.0f reads/s", hosts, took[0], took[changes-1], perSecond)
		assert.Assert(t, took[changes-1] <= maxDelay)
		assert.Assert(t, perSecond <= maxReadsPerSecond)
		stop()
		wg.Wait()
	})
}
