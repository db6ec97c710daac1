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
func (f *Follower) ApplyRelay(r Relay) {
	if r.Config != nil {
		f.deps.Config.ApplyIfNewer(r.Config, "relay")
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	if r.UpstreamsVersion >= f.upstreams.at.Load() && r.UpstreamsVersion > 0 {
		if r.Complete {
			f.deps.Upstreams.Replace(r.Put, r.UpstreamsVersion)
			f.deps.OnListed()
		} else if len(r.Put)+len(r.Removed) > 0 {
			f.deps.Upstreams.Apply(r.Put, r.Removed, r.UpstreamsVersion)
		}
		f.upstreams.at.Store(r.UpstreamsVersion)
		f.brief.Store(r.Compact || !r.Complete && f.brief.Load())
	}
	if r.StoreAge < f.deps.MaxRelayAge {
		f.relayed.Store(f.sinceStart() - int64(r.StoreAge))
	}
}

// relayFresh is how old the relaying host's last answer from the store may be here. A
// host that should act next finds out soonest that just that one is turned away.
func (f *Follower) relayFresh() time.Duration {
	if f.deps.OthersProbeFirst() {
		return f.deps.MaxRelayAge
	}
	return min(f.deps.MaxRelayAge, defaultRelayFresh)
}

// isRelayed says whether the relay is fresh enough to do without the store.
func (f *Follower) isRelayed() bool {
	at := f.relayed.Load()
	return at != 0 && f.sinceStart()-at < int64(f.relayFresh()) && !f.deps.IsRelaying() && f.deps.Config.Current() != nil && f.upstreams.at.Load() != 0
}

// relayedFor is how long a relay that is fresh stays so, within relayedPause and
// longestRelayedPause. A host that may soon relay itself looks often.
func (f *Follower) relayedFor() time.Duration {
	left := f.deps.MaxRelayAge - time.Duration(f.sinceStart()-f.relayed.Load())
	if !f.deps.OthersProbeFirst() {
		return relayedPause
	}
	return min(max(left, relayedPause), longestRelayedPause)
}

const (
	// startPatience is how long a host that nobody waits for yet leaves the store
	// alone after its start: others read it, take the lease and relay meanwhile.
	startPatience = 1500 * time.Millisecond
	// relayPatience is how long after its start such a host that is linked waits for
	// what the relay has not brought yet, because nobody has written it.
	relayPatience = 20 * time.Second
)

// spared says whether another host asks the store for this one, which nobody
// waits for yet, or where the list has several parts. Hosts that start together would
// each read the store whole, and ask it again several times until they are linked.
func (f *Follower) spared() bool {
	if !f.deps.OthersProbeFirst() {
		return false
	}
	now := f.sinceStart()
	if !f.deps.NotNeededYet() {
		return f.large.Load() && f.deps.Config.Current() == nil && now < int64(startPatience)
	}
	if now < int64(startPatience) {
		return true
	}
	at := f.relayed.Load()
	return at != 0 && now-at < int64(f.deps.MaxRelayAge) && now < int64(relayPatience)
}
