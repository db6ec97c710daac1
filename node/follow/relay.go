package follow

import (
	"time"

	"peridotpier.example/core/deploy"
)

// Relay is what the host that follows the store closely hands on.
type Relay struct {
	Config           *deploy.Config // nil: none newer
	StoreAge         time.Duration  // since the store last answered that host, for the older of its two feeds
	UpstreamsVersion uint64         // version that the list is of
	Complete         bool           // Put is the whole list
	Compact          bool           // Put lacks copies, and upstreams of which nothing changed but what they hold
	UpstreamUpdate
}

// ApplyRelay enters what was relayed. An upstreams' list that is older than what
// this host has itself is passed over.
func (f *Follower) ApplyRelay(relay Relay) {
	if relay.Config != nil {
		f.deps.Config.ApplyIfNewer(relay.Config, "relay")
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	if relay.UpstreamsVersion >= f.upstreams.version.Load() && relay.UpstreamsVersion > 0 {
		if relay.Complete {
			f.deps.Upstreams.Replace(relay.Put, relay.UpstreamsVersion)
			f.deps.OnListed()
		} else if len(relay.Put)+len(relay.Removed) > 0 {
			f.deps.Upstreams.Apply(relay.Put, relay.Removed, relay.UpstreamsVersion)
		}
		f.upstreams.version.Store(relay.UpstreamsVersion)
		f.listIsCompact.Store(relay.Compact || !relay.Complete && f.listIsCompact.Load())
	}
	if relay.StoreAge < f.deps.MaxRelayAge {
		f.relayedAt.Store(f.sinceStart() - int64(relay.StoreAge))
	}
}

// maxRelayAge is how old the relaying host's last answer from the store may be here. A
// host that should act next finds out soonest that just that one is turned away.
func (f *Follower) maxRelayAge() time.Duration {
	if f.deps.OthersProbeFirst() {
		return f.deps.MaxRelayAge
	}
	return min(f.deps.MaxRelayAge, defaultMaxRelayAge)
}

// isRelayed says whether the relay is fresh enough to do without the store.
func (f *Follower) isRelayed() bool {
	relayedAt := f.relayedAt.Load()
	return relayedAt != 0 && f.sinceStart()-relayedAt < int64(f.maxRelayAge()) && !f.deps.IsRelaying() && f.deps.Config.Current() != nil && f.upstreams.version.Load() != 0
}

// relayCheckInterval is how long a relay that is fresh stays so, within relayedPause and
// longestRelayedPause. A host that may soon relay itself looks often.
func (f *Follower) relayCheckInterval() time.Duration {
	freshFor := f.deps.MaxRelayAge - time.Duration(f.sinceStart()-f.relayedAt.Load())
	if !f.deps.OthersProbeFirst() {
		return minRelayCheckInterval
	}
	return min(max(freshFor, minRelayCheckInterval), maxRelayCheckInterval)
}

const (
	// startupRelayWait is how long a host that nobody waits for yet leaves the store
	// alone after its start: others read it, take the lease and relay meanwhile.
	startupRelayWait = 1500 * time.Millisecond
	// linkedRelayWait is how long after its start such a host that is linked waits for
	// what the relay has not brought yet, because nobody has written it.
	linkedRelayWait = 20 * time.Second
)

// shouldWaitForRelay says whether another host asks the store for this one, which nobody
// waits for yet, or where the list has several parts. Hosts that start together would
// each read the store whole, and ask it again several times until they are linked.
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
