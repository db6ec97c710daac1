package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
)

func testConfig(slots int) Config {
	return Config{
		Preset: config.Preset{UrgentHeadroom: 0.2, BulkShare: 0.5, AcceptBulk: true},
		Teams:  []config.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}, {Name: "limited", Weight: 1, Limits: config.TeamLimits{Concurrent: 1}}},
		Slots:  map[string]int{"p": slots}, Hosts: 1,
	}
}

func request(team string, c class.Class, within time.Duration) Request {
	return Request{Team: team, Class: c, Pool: "p", Deadline: time.Now().Add(within)}
}

func assertNotRun(t *testing.T, err error, code fault.Code) {
	t.Helper()
	var f *fault.Error
	assert.Assert(t, errors.As(err, &f))
	assert.Equal(t, f.Step, fault.StepAdmit)
	assert.Equal(t, f.Outcome, outcome.NotRun)
	assert.Equal(t, f.Code, code)
	assert.Assert(t, f.RetryAfter > 0)
}

func TestAdmitWaitsAndReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(testConfig(1))
		first, err := c.Admit(t.Context(), request("a", class.Standard, time.Minute))
		assert.NilError(t, err)
		go func() {
			time.Sleep(3 * time.Second)
			first.Release()
			first.Release() // must not free a second slot
		}()
		second, err := c.Admit(t.Context(), request("a", class.Standard, time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, second.WaitTime(), 3*time.Second)
		assert.Equal(t, c.PoolLoad("p").Used[class.Standard], 1)
		second.Release()
		assert.Equal(t, c.PoolLoad("p").Used[class.Standard], 0)
	})
}

// Guards against a request that can't be served in time but keeps its caller waiting
// until the deadline. Slots are in use for a minute; requests with 20 s left are
// queued, since no release has shown yet how long a slot is in use; then one does.
// The queued requests must be refused at that time.
func TestUnservableRequestsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(testConfig(5))
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = c.Run(ctx) })
		var tickets []*Ticket
		for range 4 {
			ticket, err := c.Admit(ctx, request("a", class.Standard, time.Hour))
			assert.NilError(t, err)
			tickets = append(tickets, ticket)
		}
		time.Sleep(time.Minute)
		begun, refusals := time.Now(), make(chan error, 8)
		for range 8 {
			wg.Go(func() {
				ticket, err := c.Admit(context.WithoutCancel(ctx), request("a", class.Standard, 20*time.Second))
				if err == nil {
					<-ctx.Done()
					ticket.Release()
					return
				}
				assert.Check(t, time.Since(begun) <= 2*time.Second+expiryInterval)
				refusals <- err
			})
		}
		time.Sleep(2 * time.Second)
		tickets[0].Release()
		time.Sleep(expiryInterval)
		synctest.Wait()
		assert.Assert(t, len(refusals) > 0)
		assertNotRun(t, <-refusals, fault.CodeDeadlineExceeded)
		stop()
		for _, ticket := range tickets {
			ticket.Release()
		}
		wg.Wait()
		assert.Equal(t, c.PoolLoad("p"), PoolLoad{})
	})
}

// Guards against slots that leak until the pool admits no request. Callers cancel at
// the very moment at which they are granted a slot, so that the grant goes to a
// request that was already withdrawn.
func TestCancelledWaitersLeakNoSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(testConfig(2))
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7+1)*time.Second)
				defer cancel()
				ticket, err := c.Admit(ctx, request("a", class.Class(i%3), time.Hour))
				if err != nil {
					return
				}
				time.Sleep(time.Second) // so that releases coincide with the timeouts
				ticket.Release()
			})
		}
		wg.Wait()
		assert.Equal(t, c.PoolLoad("p"), PoolLoad{})
	})
}

func TestTeamLimitAndUnknowns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(testConfig(5))
		ticket, err := c.Admit(t.Context(), request("limited", class.Urgent, time.Minute))
		assert.NilError(t, err)
		_, err = c.Admit(t.Context(), request("limited", class.Urgent, time.Minute))
		assertNotRun(t, err, fault.CodeTeamLimit)
		ticket.Release()
		ticket, err = c.Admit(t.Context(), request("limited", class.Urgent, time.Minute))
		assert.NilError(t, err)
		ticket.Release()
		_, err = c.Admit(t.Context(), Request{Team: "a", Pool: "none"})
		assertNotRun(t, err, fault.CodeNoUpstream)
		cfg := testConfig(5)
		cfg.Preset.AcceptBulk = false
		c.Reconfigure(cfg)
		_, err = c.Admit(t.Context(), request("a", class.Bulk, time.Minute))
		assertNotRun(t, err, fault.CodeOverloaded)
	})
}

func BenchmarkAdmitParallel(b *testing.B) {
	cfg := testConfig(1000)
	c := New(cfg)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, err := c.Admit(b.Context(), Request{Team: "a", Class: class.Standard, Pool: "p"})
			if err == nil {
				ticket.Release()
			}
		}
	})
}
