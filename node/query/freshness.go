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

// confirm records that a read of the table that was sent at requestedAt returned
// version as the newest. The time before the call counts: the answer says nothing
// about commits made while it was in transit.
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

// ConfirmByPeer records a peer's report that version was the newest in the table
// age ago. With it, a host that cannot reach the table itself does not count as
// outdated; if this host has a lower version, it polls at once.
func (r *ConfigReader) ConfirmByPeer(version uint64, age time.Duration) {
	if s, ok := r.Current(); !ok || s.Version < version {
		r.PollSoon()
		return
	}
	r.confirm(version, r.deps.Now().Add(-age))
}

// Confirmation returns the version in force on this host and how long ago it was
// last known to be the newest, for this host's messages to its peers. ok is false
// when that was never known.
func (r *ConfigReader) Confirmation() (version uint64, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, has := r.Current()
	if !has || r.confirmed.IsZero() {
		return 0, 0, false
	}
	return s.Version, r.deps.Now().Sub(r.confirmed), true
}

// Freshness returns how far this host may rely on its version of the
// configuration. Callers check it before they admit a request.
func (r *ConfigReader) Freshness() revision.Freshness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return revision.FreshnessAt(r.confirmed, r.deps.Now())
}

// logFreshnessChange logs an event when the freshness differs from the one last
// logged.
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

// VersionTracker records the versions that other hosts report as in force, for an
// operator who waits until a change is in force everywhere.
type VersionTracker struct {
	now func() time.Time

	mu    sync.Mutex
	hosts map[string]HostVersion
}

// HostVersion is the version that one host reported as in force.
type HostVersion struct {
	Host    string    `json:"host"`
	Version uint64    `json:"version"`
	At      time.Time `json:"at"` // when the report was received
}

// NewVersionTracker returns an empty tracker. now may be nil: then time.Now is
// used.
func NewVersionTracker(now func() time.Time) *VersionTracker {
	if now == nil {
		now = time.Now
	}
	return &VersionTracker{now: now, hosts: map[string]HostVersion{}}
}

// Record records a version that a host reported. A late or repeated report with a
// lower version changes nothing.
func (t *VersionTracker) Record(host string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hosts[host].Version <= version {
		t.hosts[host] = HostVersion{host, version, t.now()}
	}
}

// Forget deletes the record of a host that restarted, so that the report of its
// former process does not count for the new one.
func (t *VersionTracker) Forget(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hosts, host)
}

// HostsBelow returns the live entry hosts of a list that have not reported version
// or a higher one, sorted by name, each with the version that it last reported (0:
// unknown). When none is left, the change is in force everywhere.
func (t *VersionTracker) HostsBelow(version uint64, listed []store.Host) []HostVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []HostVersion
	for _, h := range listed {
		v := t.hosts[h.Name]
		if h.Role == store.RoleEntry && h.State == store.HostLive && v.Version < version {
			v.Host = h.Name
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b HostVersion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
