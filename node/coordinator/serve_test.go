package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/store"
)

// Guards against traffic between data centres that grows with hosts times upstreams
// times orders: an adapter is loaded at one upstream, and each of 80 hosts is sent the
// holdings of all 60 upstreams.
func TestAReportIsAnsweredWithChangesOnly(t *testing.T) {
	log := event.NewLog(nil)
	config := follow.NewActiveConfig(log)
	config.ApplyIfNewer(&deploy.Config{Version: 1, Services: []deploy.Service{{Name: "s", Engine: &deploy.Engine{MemoryMB: 100, AdapterSlots: 2,
		Models: []deploy.Model{{Name: "m", WeightsMB: 10, AdapterMB: 1, Adapters: 3}}}}}}, "test")
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	f.Replace([]deploy.Upstream{{ID: "a", Service: "s", Residents: []deploy.Resident{{Model: "m"}}},
		{ID: "b", Service: "s", Residents: []deploy.Resident{{Model: "m"}}}}, 1)
	c := New(Config{}, Deps{Fleet: f, Config: config, Log: log, Lease: lease.New(lease.Config{Name: "l"}, lease.Deps{Table: noTable{}})})
	c.actingWithoutLease.Store(true)
	c.refresh()
	all := c.report(&coordpb.HostReport{Host: "h"})
	assert.Equal(t, len(all.Holdings), 2)
	assert.Equal(t, len(c.report(&coordpb.HostReport{Host: "h", Revision: all.Revision}).Holdings), 0)
	u, _ := c.upstream("b")
	u.record.Reconcile(residency.Report{Residents: []deploy.Resident{{Model: "m", Adapters: []string{"x"}}}}, time.Now())
	c.publishChange(u)
	some := c.report(&coordpb.HostReport{Host: "h", Revision: all.Revision})
	assert.Equal(t, len(some.Holdings), 1)
	assert.Equal(t, some.Holdings[0].Upstream, "b")
	assert.DeepEqual(t, some.Holdings[0].Residents[0].Adapters, []string{"x"})
}

// noTable is a store that no test here reaches.
type noTable struct{ store.Table }

// Guards against a host that dispatches by an outdated description for as long as
// nothing changes at an upstream: the coordinator sends the holdings of a new upstream
// before this host's list contains it. If they are dropped, they are not sent again.
func TestHoldingsOfAnUnlistedUpstreamAreKept(t *testing.T) {
	log := event.NewLog(nil)
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	own := New(Config{}, Deps{Fleet: f, Config: follow.NewActiveConfig(log), Log: log, Lease: lease.New(lease.Config{Name: "l"}, lease.Deps{Table: noTable{}})})
	link := NewLink(LinkConfig{Host: "h"}, own, nil, log)
	holds := func(id string) bool {
		e, ok := f.Entry(id)
		return ok && e.Endpoint(&fleet.Request{Model: "m"}, time.Now()).ModelResident
	}
	link.applyAnswer(&coordpb.SiteState{Revision: 1, Holdings: []*coordpb.Holding{{Upstream: "u", Residents: []*coordpb.Resident{{Model: "m"}}}}})
	f.Apply([]deploy.Upstream{{ID: "u", Service: "s"}}, nil, 1)
	link.applyAnswer(&coordpb.SiteState{Revision: 1})
	assert.Assert(t, holds("u"))
	link.applyAnswer(&coordpb.SiteState{Revision: 2, Holdings: []*coordpb.Holding{{Upstream: "v", Residents: []*coordpb.Resident{{Model: "m"}}}}})
	f.Apply(nil, []string{"v"}, 2)
	f.Apply([]deploy.Upstream{{ID: "v", Service: "s"}}, nil, 3)
	assert.Assert(t, !holds("v"), "holdings of a removed upstream are not kept")
}

// Guards against requests for models that an upstream does not have resident: its
// process restarts empty under the same ID, this host learns that from the list before
// the coordinator sends the new process's holdings, and uses those of the former
// process.
func TestHoldingsOfAFormerProcessAreNotUsedForItsSuccessor(t *testing.T) {
	log := event.NewLog(nil)
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	own := New(Config{}, Deps{Fleet: f, Config: follow.NewActiveConfig(log), Log: log, Lease: lease.New(lease.Config{Name: "l"}, lease.Deps{Table: noTable{}})})
	link := NewLink(LinkConfig{Host: "h"}, own, nil, log)
	holds := func() bool {
		e, ok := f.Entry("u")
		return ok && e.Endpoint(&fleet.Request{Model: "m"}, time.Now()).ModelResident
	}
	f.Apply([]deploy.Upstream{{ID: "u", Service: "s", Born: 1}}, nil, 1)
	link.applyAnswer(&coordpb.SiteState{Revision: 1, Holdings: []*coordpb.Holding{{Upstream: "u", Born: 1, Residents: []*coordpb.Resident{{Model: "m"}}}}})
	assert.Assert(t, holds())
	f.Apply([]deploy.Upstream{{ID: "u", Service: "s", Born: 2}}, nil, 2)
	link.applyAnswer(&coordpb.SiteState{Revision: 1})
	assert.Assert(t, !holds())
	link.applyAnswer(&coordpb.SiteState{Revision: 2, Holdings: []*coordpb.Holding{{Upstream: "u", Born: 2, Residents: []*coordpb.Resident{{Model: "m"}}}}})
	assert.Assert(t, holds())
}
