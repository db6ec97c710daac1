// Package relay sends the other hosts the state of the platform's store that the acting
// coordinator has: the configuration, and the list of upstreams or its changes. It also
// decodes what was sent so.
//
// The list grows with the upstreams, and the configuration with the models, services and
// teams. Both are encoded once for all hosts, so that the work grows with the changes, and
// only the bytes that are sent grow with the hosts.
//
// The encodings, the published changes and the budget of the link each have a mutex of
// their own, which guards them alone. None is held while another of the three is taken;
// the encodings and the published changes read the fleet under theirs.
package relay

import (
	"slices"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
)

// Deps are the dependencies of a Relay.
type Deps struct {
	Fleet    *fleet.Fleet
	Config   *follow.ActiveConfig
	Feed     *follow.Follower
	LinkMbps float64 // speed of this host's link in megabits a second; 0: unknown
	Now      func() time.Time
}

// Relay sends the other hosts the store's state that this host has.
type Relay struct {
	deps      Deps
	encodings encodings
	budget    sendBudget
	published published
}

// New returns a Relay that has encoded nothing yet.
func New(d Deps) *Relay { return &Relay{deps: d} }

// AddTo adds the store's state that this host has and the other does not have yet to an
// answer.
func (y *Relay) AddTo(r *coordpb.HostReport, out *coordpb.SiteState) error {
	out.StoreAgeMs = wire.AgeMs(y.deps.Feed.StoreAge())
	if err := y.relayConfig(r, out); err != nil {
		return err
	}
	if r.BriefList && needsCompactOnly(r, out) {
		return y.relayCompactList(r, out)
	}
	at := y.deps.Feed.UpstreamsVersion() // read before the list, which may thus be newer than this version
	from := y.listState(r)
	if from == 0 && r.PackedList { // avoids a copy of the list for each host that asks
		return y.relayFullList(r, at, out)
	}
	change := y.deps.Fleet.ChangesSince(from, false)
	if change.Complete && r.PackedList {
		return y.relayFullList(r, at, out)
	}
	put, err := y.encodings.upstreams(change.Put)
	out.List, out.ListAt, out.ListFull, out.Put, out.Gone = change.Revision, at, change.Complete, put, change.Removed
	return err
}

// compactFrom is the number of hosts from which on only those that may coordinate next get
// the list with the local copies and residents of each upstream. The others need neither:
// residents are announced, and copies matter to whoever moves models.
const compactFrom = 16

// needsCompactOnly reports whether the compact list is enough for a host.
func needsCompactOnly(r *coordpb.HostReport, out *coordpb.SiteState) bool {
	if wire.Milliseconds(out.PeriodMs) > wire.MinReportPeriod {
		return true
	}
	return out.Hosts >= compactFrom && !slices.Contains(out.Deputies, r.Address)
}

// CompactList returns the list for a host that the acting coordinator has not sent it to.
// The answer is empty while this host has no list, or its link is busy with others.
func (y *Relay) CompactList() (*coordpb.ListAnswer, error) {
	storeVersion := y.deps.Feed.UpstreamsVersion() // read before the list, which may thus be newer than this version
	if storeVersion == 0 {
		return &coordpb.ListAnswer{}, nil
	}
	list, err := y.encodings.packedList(y.deps.Now(), storeVersion, true, y.deps.Fleet)
	if err != nil || !y.budget.reserve(len(list.data), y.deps.LinkMbps, y.deps.Now()) {
		return &coordpb.ListAnswer{}, err
	}
	return &coordpb.ListAnswer{Packed: list.data, At: list.storeVersion}, nil
}

// AddState adds the configuration, if it is newer than a version, and all upstreams.
func (y *Relay) AddState(configAbove uint64, out *coordpb.StateAnswer) (err error) {
	if t := y.deps.Config.Current(); t != nil && t.Config.Version > configAbove {
		if out.Config, _, err = y.encodings.config(t.Config); err != nil {
			return err
		}
	}
	out.Upstreams, err = y.encodings.upstreams(y.deps.Fleet.ChangesSince(0, false).Put)
	return err
}

// listState returns the state of the list after which a host needs the changes; 0: it
// needs the complete list.
func (y *Relay) listState(r *coordpb.HostReport) uint64 {
	return y.deps.Fleet.BaseOf(r.List, r.ListAt)
}

// relayFullList adds the complete list, packed.
func (y *Relay) relayFullList(r *coordpb.HostReport, storeVersion uint64, out *coordpb.SiteState) error {
	list, err := y.encodings.packedList(y.deps.Now(), storeVersion, false, y.deps.Fleet)
	if err != nil {
		return err
	}
	y.addFullList(list, r, out)
	return nil
}

// addFullList adds a complete list, unless this host's link is busy with those for
// others: a host that gets no list asks a deputy, or asks again with its next report.
// Deputies always get it, since they forward it.
func (y *Relay) addFullList(list packedList, r *coordpb.HostReport, out *coordpb.SiteState) {
	if slices.Contains(out.Deputies, r.Address) || y.budget.reserve(len(list.data), y.deps.LinkMbps, y.deps.Now()) {
		out.List, out.ListAt, out.ListFull, out.PackedList = list.state, list.storeVersion, true, list.data
	}
}

// relayCompactList adds the part of the list that every host needs, as published.
func (y *Relay) relayCompactList(r *coordpb.HostReport, out *coordpb.SiteState) error {
	out.ListBrief = true
	p := &y.published
	if err := p.publish(y.deps.Fleet, y.deps.Feed.UpstreamsVersion(), y.deps.Now()); err != nil {
		return err
	}
	changes, to, at, ok := p.since(y.listState(r))
	if ok {
		out.List, out.ListAt, out.PackedChanges = to, at, changes
		return nil
	}
	list, err := p.packedFullList(y.deps.Fleet, y.deps.Now())
	if err != nil {
		return err
	}
	y.addFullList(list, r, out)
	if changes, to, at, ok := p.since(list.state); ok && out.ListFull { // the cached list may be older
		out.List, out.ListAt, out.PackedChanges = to, at, changes
	}
	return nil
}

// relayConfig adds the configuration if it is newer than the other host's.
func (y *Relay) relayConfig(r *coordpb.HostReport, out *coordpb.SiteState) (err error) {
	t := y.deps.Config.Current()
	if t == nil || t.Config.Version <= r.Config {
		return nil
	}
	plain, packed, err := y.encodings.config(t.Config)
	if r.Packed {
		out.PackedConfig = packed
	} else {
		out.Config = plain
	}
	return err
}
