package fleet

import (
	"slices"
	"time"

	"peridotpier.example/core/deploy"
)

// coordinatorTerm is the time in which the announcements of one acting coordinator take
// precedence over the upstreams' own descriptions, which lag.
type coordinatorTerm struct {
	number     uint64 // rises with each change of the acting coordinator
	validUntil time.Time
}

// Residency holds the models that one process of an upstream has resident and is loading,
// as announced by the acting coordinator.
type Residency struct {
	Upstream  string
	StartedMs int64
	Residents []deploy.Resident
	Loading   []LoadingModel
}

// CoordinatorSeen records contact with the acting coordinator; number counts the
// coordinators that this host had contact with. Its earlier and later announcements are
// valid until validUntil.
func (f *Fleet) CoordinatorSeen(number uint64, validUntil time.Time) {
	was := f.coordinator.Load()
	f.coordinator.Store(&coordinatorTerm{number, validUntil})
	if was.number != number {
		f.mu.Lock()
		f.earlyResidency = nil
		f.mu.Unlock()
	}
}

// ApplyResidency applies an announcement of the acting coordinator, which names the
// upstreams that have changed. A change that arrives before the list names its upstream
// is kept until then, since it is sent only once.
func (f *Fleet) ApplyResidency(all []Residency, now time.Time) {
	changed := false
	for i := range all {
		r := &all[i]
		e, ok := f.Entry(r.Upstream)
		if !ok || e.StartedMs() != r.StartedMs {
			changed = f.keepEarlyResidency(r, now) || changed
			continue
		}
		changed = e.applyResidency(r, now) || changed
	}
	if changed {
		f.notifyResidencyChanged()
	}
}

// maxEarlyResidency bounds the announcements kept for upstreams that the list does not
// name yet: more than are added at a time.
const maxEarlyResidency = 16384

// keepEarlyResidency keeps an announcement until the list names its process, unless a later
// one is known already. It reports whether it changes the residents of one that was added meanwhile.
func (f *Fleet) keepEarlyResidency(r *Residency, now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.Entry(r.Upstream); ok {
		if e.startedMs == r.StartedMs {
			return e.applyResidency(r, now)
		}
		if e.startedMs > r.StartedMs {
			return false
		}
	}
	if kept, ok := f.earlyResidency[r.Upstream]; ok && kept.StartedMs > r.StartedMs {
		return false
	}
	if f.earlyResidency == nil || len(f.earlyResidency) >= maxEarlyResidency {
		f.earlyResidency = map[string]Residency{}
	}
	f.earlyResidency[r.Upstream] = *r
	return false
}

// applyEarlyResidencyLocked applies the kept announcement of an upstream that was just
// added. f.mu must be held.
func (f *Fleet) applyEarlyResidencyLocked(e *Entry, now time.Time) {
	r, ok := f.earlyResidency[e.id]
	if !ok || r.StartedMs != e.startedMs {
		return
	}
	delete(f.earlyResidency, e.id)
	e.applyResidency(&r, now)
}

// applyResidency applies an announcement and reports whether it changes the upstream's
// residents.
func (e *Entry) applyResidency(r *Residency, now time.Time) (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed = !slices.EqualFunc(r.Residents, e.announcedResidents, deploy.Resident.Equal)
	e.announcedResidents, e.announcedAt, e.announcedBy = r.Residents, now, e.fleet.coordinator.Load().number
	e.setLoadingLocked(r.Loading)
	if changed {
		e.reindexLocked()
	}
	return changed
}

// usesAnnouncedLocked reports whether announced residents take precedence over the
// description.
func (e *Entry) usesAnnouncedLocked(now time.Time) bool {
	if e.announcedAt.IsZero() {
		return false
	}
	term := e.fleet.coordinator.Load()
	return term.number == e.announcedBy && now.Before(term.validUntil) || now.Sub(e.announcedAt) < announcedResidentsTTL
}
