package link

import (
	"errors"
	"time"

	"go.uber.org/zap"

	leasing "peridotpier.example/core/lease"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/relay"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// This file contains what a host applies from the answer to its report.

// storeReachableFor is the maximum age of the store's last answer at which the store
// counts as reachable. A long poll for changes lasts 2 s, at a host that gets no relay.
const storeReachableFor = 2500 * time.Millisecond

// StoreReachable reports whether the store itself answered this host recently.
func (l *Link) StoreReachable() bool { return l.deps.Feed.StoreAge() < storeReachableFor }

// restoredLeaseWait is how long after a restore of the store nobody may be able to take the
// lease: candidates wait until the term of a holder that the store has forgotten would
// have expired, and then campaign.
const restoredLeaseWait = 2500 * time.Millisecond

// accepts reports whether this host uses the answer of another. It uses one that is
// acting without the lease only while the store does not answer this host, or has not
// since it answered that one, or was just restored: otherwise somebody can take the lease.
func (l *Link) accepts(s *coordpb.SiteState) bool {
	feed := l.deps.Feed
	return s.Holding || s.Acting && (!l.StoreReachable() || feed.StoreAge() >= wire.Milliseconds(s.StoreAgeMs) || feed.StoreRestoredWithin(restoredLeaseWait))
}

// errActsWithoutLease means that a host acts without the lease although somebody can take it.
var errActsWithoutLease = errors.New("the host acts without the lease, and the store answers")

// rejection returns why accepts does not accept an answer.
func rejection(s *coordpb.SiteState) error {
	if s.Acting {
		return errActsWithoutLease
	}
	return wire.ErrNotActing
}

// LinkedWithoutLease reports whether this host is linked to another that is acting
// without the lease.
func (l *Link) LinkedWithoutLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator != "" && l.linkedWithoutLease
}

// applyRelay applies the store's state that the coordinator relays in the answer to a
// report.
func (l *Link) applyRelay(sent *coordpb.HostReport, s *coordpb.SiteState) {
	r := follow.Relay{StoreAge: wire.Milliseconds(s.StoreAgeMs), UpstreamsVersion: s.ListAt, Base: sent.ListAt, Complete: s.ListFull, Compact: s.ListBrief}
	var err error
	if r.Config, err = relay.DecodeConfig(s); err == nil {
		r.Put, r.Removed, err = relay.DecodeList(s)
	}
	if err != nil {
		l.log.Emit(event.RoutesUnusable, zap.Error(err))
		return
	}
	followed := l.deps.Feed.ApplyRelay(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.list = s.List; !followed {
		l.list = 0 // the changes that were sent are not in this host's list
	}
}

// applyAnswer applies the other hosts' loads and the holdings of the upstreams.
func (l *Link) applyAnswer(s *coordpb.SiteState) {
	now := l.deps.Now()
	if record, err := leasing.Decode(s.Grant); err == nil && len(s.Grant) > 0 && !l.own.HoldsLease() {
		l.deps.Lease.Observe(leasing.Rows{Grant: s.GrantRow, Heartbeat: s.BeatRow}, record)
	}
	l.mu.Lock()
	l.failedReports, l.linkedWithoutLease = 0, !s.Holding
	l.countIsNew, l.countID = s.QuarantineId != l.countID, s.QuarantineId
	if !s.ModelsLater {
		l.modelLoadsAt = now
	}
	if len(s.Deputies) > 0 {
		l.deputies = s.Deputies
	}
	l.maxHosts, l.revision = max(l.maxHosts, int(s.Hosts)), s.Revision
	l.detours.apply(s.Detours, now)
	changes := l.coordinatorChanges
	l.mu.Unlock()
	if t := l.deps.Config.Current(); t != nil {
		l.teams.followTeams(t.Config.Teams, now)
	}
	until := now.Add(wire.FreshFor(wire.Milliseconds(s.PeriodMs)))
	l.teams.apply(s, now, until)
	l.applyOthers(s, until)
	l.deps.Fleet.SetRemoteRoundTrip(time.Duration(s.RemoteUs) * time.Microsecond)
	l.deps.Fleet.CoordinatorSeen(changes, until)
	l.deps.Fleet.ApplyResidency(wire.DecodeResidency(s, now), now)
	l.deps.Fleet.NotifyChanged()
}

// applyOthers applies the other hosts' loads, which count until the given time.
func (l *Link) applyOthers(s *coordpb.SiteState, until time.Time) {
	t := l.deps.Config.Current()
	if t == nil {
		return
	}
	loads := map[string]map[string]fleet.Load{}
	for _, o := range s.Others {
		e, ok := l.deps.Fleet.Entry(o.Upstream)
		if !ok {
			continue
		}
		if loads[e.Service()] == nil {
			loads[e.Service()] = map[string]fleet.Load{}
		}
		loads[e.Service()][o.Upstream] = wire.LoadOf(o)
		if !l.own.Acting() { // it knows better than its answer to itself
			e.RecordRelayedSlowdown(wire.Multiple(o.Slowdown), l.deps.Now())
		}
	}
	for i := range t.Config.Services {
		service := &t.Config.Services[i]
		if s.ModelsLater && service.Engine != nil {
			continue
		}
		l.deps.Fleet.SetOtherHostsLoad(service.Name, loads[service.Name], until)
	}
}
