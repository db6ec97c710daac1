package link

import (
	"context"
	"sync"
	"time"

	"peridotpier.example/node/origin"
	"peridotpier.example/node/pace"
)

// Which versions of their software the upstreams of a service have, or had a short time ago, is kept
// like the streams that they began: every host notes it from its list, and the acting coordinator,
// and whoever begins a stream, tells the hosts that keep records and thus the store.

// versionCheck is how often a host looks at the versions of the listed upstreams: one that has just
// become the acting coordinator tells them soon.
const versionCheck = time.Second

// versionsSent is when this host last told the others of each version.
type versionsSent struct {
	mu sync.Mutex
	at map[serviceVersion]time.Time
}

type serviceVersion struct{ service, software string }

// isDue reports whether a version has to be told again, and records that it is.
func (v *versionsSent) isDue(of serviceVersion, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at, ok := v.at[of]; ok && now.Sub(at) < origin.VersionInterval {
		return false
	}
	if v.at == nil {
		v.at = map[serviceVersion]time.Time{}
	}
	for other, at := range v.at {
		if now.Sub(at) > origin.MaxTTL {
			delete(v.at, other)
		}
	}
	v.at[of] = now
	return true
}

// sendVersion tells the hosts that keep records of a version, unless that was done a short
// time ago.
func (l *Link) sendVersion(service, software string, now time.Time) {
	if software != "" && l.origins.versions.isDue(serviceVersion{service, software}, now) {
		l.record(origin.VersionRecord(service, software), now)
	}
}

// RunVersions notes the versions of the listed upstreams until ctx ends.
func (l *Link) RunVersions(ctx context.Context) error {
	for {
		changed := l.listChanged.Next()
		l.noteVersions()
		if l.own.Acting() {
			l.deps.LoadHistory(ctx) // others ask this host
		}
		if !pace.SleepOrWake(ctx, versionCheck, changed) {
			return ctx.Err()
		}
	}
}

// ListChanged wakes RunVersions: the list has other upstreams, or other versions of them.
func (l *Link) ListChanged() { l.listChanged.Notify() }

func (l *Link) noteVersions() {
	now, noted := l.deps.Now(), map[serviceVersion]bool{}
	for _, e := range l.deps.Fleet.All() {
		of := serviceVersion{e.Service(), e.Software()}
		if of.software == "" || noted[of] {
			continue
		}
		noted[of] = true
		if l.own.Acting() {
			l.sendVersion(of.service, of.software, now)
		}
		l.origins.registry.Adopt(origin.VersionRecord(of.service, of.software), now)
	}
}

// listedVersions returns which version the listed upstreams of a service have. One that states
// none may have any.
func (l *Link) listedVersions(service string) (f origin.Finding) {
	for _, e := range l.deps.Fleet.EntriesOfService(service) {
		software := e.Software()
		f = f.Merge(origin.Finding{Software: software, Several: software == ""})
	}
	return f
}
