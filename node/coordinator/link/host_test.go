package link

import (
	"context"
	"errors"
	"net"

	leasing "peridotpier.example/core/lease"
	"peridotpier.example/node/coordinator"
	"peridotpier.example/node/coordinator/conns"
	"peridotpier.example/node/coordinator/coordtest"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/store"
)

// noTable is a store that no test here reaches.
type noTable struct{ store.Table }

// testHost is a host that reaches no other one.
type testHost struct {
	*coordinator.Coordinator
	fleet  *fleet.Fleet
	config *follow.ActiveConfig
	feed   *follow.Follower
	lease  *lease.Lease
	log    *event.Log
}

// newTestHost returns a host whose lease is in a table.
func newTestHost(address string, table store.Table, policy leasing.Policy) *testHost {
	log := event.NewLog(nil)
	h := &testHost{fleet: fleet.New(fleet.Config{}, fleet.Deps{}), config: follow.NewActiveConfig(log), log: log}
	h.lease = lease.New(lease.Config{Name: "l", Policy: policy}, lease.Deps{Table: table})
	h.follow(nil)
	h.Coordinator = coordinator.New(coordinator.Config{Address: address}, coordinator.Deps{Fleet: h.fleet, Config: h.config, Lease: h.lease, Feed: h.feed, Log: log})
	return h
}

// follow makes the host's links apply what they receive; onListed is called for the first
// complete list.
func (h *testHost) follow(onListed func()) {
	h.feed = follow.New(follow.Deps{Log: h.log, Config: h.config, Upstreams: h.fleet, OnListed: onListed})
}

// newLink returns a link of the host.
func (h *testHost) newLink(cfg Config) *Link {
	unreachable := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	l := New(cfg, Deps{Own: h.Coordinator, Fleet: h.fleet, Config: h.config, Feed: h.feed, Lease: h.lease, Dial: unreachable, Log: h.log})
	h.LinkedAddress, h.FormerHostCount, h.LastTeamState = l.CoordinatorAddress, l.FormerHostCount, l.TeamState
	return l
}

// newHolder returns a host that is acting, knows upstreams that have three models each
// resident, and has got the reports of other hosts.
func newHolder(hosts, upstreams, models int) *testHost {
	h := newTestHost("a", noTable{}, leasing.Policy{})
	h.config.ApplyIfNewer(coordtest.Config(models), "test")
	h.fleet.Apply(coordtest.Upstreams(upstreams, models), nil, 1)
	h.StartActing()
	for i := range hosts {
		h.Report(coordtest.ReportOf(i, upstreams, models))
	}
	return h
}

// newDialingConns returns connections to hosts that listen in the test.
func newDialingConns() *conns.Conns { return conns.New((&net.Dialer{}).DialContext) }
