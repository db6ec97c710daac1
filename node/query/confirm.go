package query

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/revision"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

// confirm notes that the table showed version as the newest when it was asked
// at asked. The time before the call counts: the answer says nothing of what
// was committed while it was on its way.
func (r *ConfigReader) confirm(version uint64, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.Current(); !ok || s.Version != version {
		return
	}
	if requestedAt.After(r.confirmed) {
		r.confirmed = requestedAt
	}
}

// ConfirmByPeer takes a peer's word that the table showed version as the
// newest age ago. It keeps a host that cannot reach the table itself from
// counting as out of date, and tells it when it is.
func (r *ConfigReader) ConfirmByPeer(version uint64, age time.Duration) {
	if s, ok := r.Current(); !ok || s.Version < version {
		r.PollSoon()
		return
	}
	r.confirm(version, r.deps.Now().Add(-age))
}

// Confirmation returns the version in force here and how long ago it was last
// known to be the newest: what this host tells its peers. ok is false when it
// never was.
func (r *ConfigReader) Confirmation() (version uint64, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, has := r.Current()
	if !has || r.confirmed.IsZero() {
		return 0, 0, false
	}
	return s.Version, r.deps.Now().Sub(r.confirmed), true
}

// Freshness says how far this host may rely on its version: callers ask it
// before they admit a request.
func (r *ConfigReader) Freshness() revision.Freshness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return revision.FreshnessAt(r.confirmed, r.deps.Now())
}

// logFreshnessChange logs a change of standing once.
func (r *ConfigReader) logFreshnessChange() {
	current := r.Freshness()
	r.mu.Lock()
	previous := r.loggedFreshness
	r.loggedFreshness = current
	r.mu.Unlock()
	switch {
	case current == previous:
	case current == revision.Confirmed:
		r.deps.Log.Emit(event.ConfigConfirmed)
	default:
		r.deps.Log.Emit(event.ConfigUnconfirmed, zap.Stringer("standing", current))
	}
}

// VersionTracker keeps what other hosts said of the version they have in
// force, for an operator who waits for a change to be in force everywhere.
type VersionTracker struct {
	now func() time.Time

	mu    sync.Mutex
	hosts map[string]HostVersion
}

// HostVersion is one host's word on its version.
type HostVersion struct {
	Host    string    `json:"host"`
	Version uint64    `json:"version"`
	At      time.Time `json:"at"` // when the word came in
}

// NewVersionTracker makes an empty record; now may be nil.
func NewVersionTracker(now func() time.Time) *VersionTracker {
	if now == nil {
		now = time.Now
	}
	return &VersionTracker{now: now, hosts: map[string]HostVersion{}}
}

// Record takes a host's word, from its heartbeat or an answer. A late or
// repeated word with a lower version changes nothing.
func (c *VersionTracker) Record(host string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[host].Version <= version {
		c.hosts[host] = HostVersion{host, version, c.now()}
	}
}

// Forget drops a host that restarted, so that the word of its former process
// does not count for the new one.
func (c *VersionTracker) Forget(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, host)
}

// HostsBelow returns the listed live entry hosts which have not confirmed a
// version, with the one they last had (0: unknown). A change is accepted
// everywhere when none is left.
func (c *VersionTracker) HostsBelow(version uint64, listed []store.Host) []HostVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []HostVersion
	for _, h := range listed {
		v := c.hosts[h.Name]
		if h.Role == store.RoleEntry && h.State == store.HostLive && v.Version < version {
			v.Host = h.Name
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b HostVersion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
