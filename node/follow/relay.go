package follow

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// Relay is what the relaying host sends to the others.
type Relay struct {
	Config           *deploy.Config // nil: none is newer
	StoreAge         time.Duration  // time since the store last answered the relaying host, for the older of its two feeds
	UpstreamsVersion uint64         // store's version of the list
	Base             uint64         // version of this host's list when it asked for the changes
	Complete         bool           // Put is the complete list
	Compact          bool           // Put lacks local copies, and upstreams of which only residents or local copies changed
	UpstreamUpdate
}

// ApplyRelay applies what was relayed. A list of upstreams that is older than this host's
// own is ignored, and so are changes if this host has read the list itself since it asked:
// they may not mention what it has read. followed reports whether later changes may follow
// the relayed list.
func (f *Follower) ApplyRelay(relay Relay) (followed bool) {
	if relay.Config != nil {
		f.deps.Config.ApplyIfNewer(relay.Config, "relay")
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	known := f.upstreams.version.Load()
	f.logIgnored(relay.UpstreamsVersion, known)
	ofEarlierEra := relay.UpstreamsVersion > 0 && store.EraOf(relay.UpstreamsVersion) < store.EraOf(known)
	if !ofEarlierEra && relay.StoreAge < f.deps.MaxRelayAge {
		f.relayedAt.Store(f.sinceStart() - int64(relay.StoreAge))
	}
	switch {
	case relay.UpstreamsVersion == 0 || ofEarlierEra || !relay.Complete && relay.Base != known:
		return false
	case relay.UpstreamsVersion < known:
		return true
	}
	f.deps.Eras.Observe(store.EraOf(relay.UpstreamsVersion))
	f.beginGap(known, relay.UpstreamsVersion, relay.Complete)
	if relay.Complete {
		f.deps.Upstreams.Replace(relay.Put, relay.UpstreamsVersion)
		f.deps.OnListed()
	} else if len(relay.Put)+len(relay.Removed) > 0 {
		f.deps.Upstreams.Apply(relay.Put, relay.Removed, relay.UpstreamsVersion)
	}
	f.upstreams.version.Store(relay.UpstreamsVersion)
	f.listIsCompact.Store(relay.Compact || !relay.Complete && f.listIsCompact.Load())
	return true
}

// logIgnored logs that a relayed list is older than this host's own, once until one is
// not.
func (f *Follower) logIgnored(version, known uint64) {
	ignored := version > 0 && version < known
	if f.relayIgnored.Swap(ignored) != ignored && ignored {
		f.deps.Log.Emit(event.RelayIgnored, zap.Uint64("era", store.EraOf(version)), zap.Uint64("version", store.NumberOf(version)),
			zap.Uint64("known_era", store.EraOf(known)), zap.Uint64("known", store.NumberOf(known)))
	}
}

// maxRelayAge returns how old the relaying host's last answer from the store may be at
// this host. A host that should coordinate next must be the first to find out that the
// store rejects only the relaying host.
func (f *Follower) maxRelayAge() time.Duration {
	if f.deps.OthersProbeFirst() {
		return f.deps.MaxRelayAge
	}
	return min(f.deps.MaxRelayAge, defaultMaxRelayAge)
}

// isRelayed reports whether the relay is fresh enough for this host not to call the
// store.
func (f *Follower) isRelayed() bool {
	relayedAt := f.relayedAt.Load()
	return relayedAt != 0 && f.sinceStart()-relayedAt < int64(f.maxRelayAge()) && !f.deps.IsRelaying() && f.deps.Config.Current() != nil && f.upstreams.version.Load() != 0
}

// relayCheckInterval returns how long a fresh relay remains fresh, from
// minRelayCheckInterval to maxRelayCheckInterval. A host that may soon relay itself
// checks often.
func (f *Follower) relayCheckInterval() time.Duration {
	freshFor := f.deps.MaxRelayAge - time.Duration(f.sinceStart()-f.relayedAt.Load())
	if !f.deps.OthersProbeFirst() {
		return minRelayCheckInterval
	}
	return min(max(freshFor, minRelayCheckInterval), maxRelayCheckInterval)
}

const (
	// startupRelayWait is how long after its start a host that nobody waits for yet does
	// not call the store: others read it, take the lease and relay in the meantime.
	startupRelayWait = 1500 * time.Millisecond
	// linkedRelayWait is how long after its start such a host, when linked, waits for
	// data that the relay lacks because nobody has written it yet.
	linkedRelayWait = 20 * time.Second
)

// shouldWaitForRelay reports whether another host asks the store for this one, which
// nobody waits for yet or for which the list has several parts. Hosts that start together
// would each read the complete store, and ask it several more times until they are
// linked.
func (f *Follower) shouldWaitForRelay() bool {
	if !f.deps.OthersProbeFirst() {
		return false
	}
	now := f.sinceStart()
	if !f.deps.NotNeededYet() {
		return f.listIsLarge.Load() && f.deps.Config.Current() == nil && now < int64(startupRelayWait)
	}
	if now < int64(startupRelayWait) {
		return true
	}
	relayedAt := f.relayedAt.Load()
	return relayedAt != 0 && now-relayedAt < int64(f.deps.MaxRelayAge) && now < int64(linkedRelayWait)
}
