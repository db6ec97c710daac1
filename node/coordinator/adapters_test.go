package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/lease"
)

// Guards against requests that end past their deadline, or only with the host's
// process: an upstream does not answer an order, and the requests that wait for
// adapters there each wait for the orders before them, regardless of their own
// deadlines.
func TestAWaitForAnAdapterEndsWithItsRequest(t *testing.T) {
	log := event.NewLog(nil)
	config := follow.NewActiveConfig(log)
	config.ApplyIfNewer(&deploy.Config{Version: 1, Services: []deploy.Service{{Name: "s", Engine: &deploy.Engine{MemoryMB: 100, AdapterSlots: 2,
		Models: []deploy.Model{{Name: "m", WeightsMB: 10, AdapterMB: 1, Adapters: 3}}}}}}, "test")
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	f.Replace([]deploy.Upstream{{ID: "a", Service: "s", Residents: []deploy.Resident{{Model: "m"}}}}, 1)
	c := New(Config{}, Deps{Fleet: f, Config: config, Log: log, Lease: lease.New(lease.Config{Name: "l"}, lease.Deps{Table: noTable{}})})
	c.actingWithoutLease.Store(true)
	c.refresh()
	u, _ := c.upstream("a")
	assert.Assert(t, u.lockOrders(t.Context()))
	defer u.unlockOrders()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	finishesSoon(t, func() {
		assert.ErrorIs(t, u.loadAdapter(ctx, "m", "a1"), context.DeadlineExceeded)
	})
}
