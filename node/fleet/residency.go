package fleet

import (
	"slices"
	"time"

	"peridotpier.example/core/deploy"
)

// coordinatorTerm says for how long that of the host that gives orders goes before the
// upstreams' own descriptions, which lag.
type coordinatorTerm struct {
	number     uint64 // rises with each other host that gives orders
	validUntil time.Time
}

// Residency is what one process of an upstream holds and is loading, as the host that
// gives orders knows it.
type Residency struct {
	Upstream  string
	StartedMs int64
	Residents []deploy.Resident
	Loading   []LoadingModel
}

// CoordinatorSeen says that the host that gives orders, the of-th one that is heard here, was
// heard. What it told goes until then, and so does what it tells later.
func (f *Fleet) CoordinatorSeen(number uint64, validUntil time.Time) {
	was := f.coordinator.Load()
	f.coordinator.Store(&coordinatorTerm{number, validUntil})
	if was.number != number {
		f.mu.Lock()
		f.earlyResidency = nil
		f.mu.Unlock()
	}
}

// ApplyResidency takes what the host that gives orders told of upstreams since its last
// word. What it tells before the list names an upstream is kept until that comes: it
// is told once only.
func (f *Fleet) ApplyResidency(all []Residency, now time.Time) {
	changed := false
	for i := range all {
		r := &all[i]
		e, ok := f.Entry(r.Upstream)
		if !ok || e.StartedMs() != r.StartedMs {
			f.keepEarlyResidency(r)
			continue
		}
		changed = e.applyResidency(r, now) || changed
	}
	if changed {
		f.notifyResidencyChanged()
	}
}

// maxEarlyResidency bounds what is kept of upstreams that the list does not name yet:
// more than come at a time.
const maxEarlyResidency = 16384

func (f *Fleet) keepEarlyResidency(r *Residency) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.earlyResidency == nil || len(f.earlyResidency) >= maxEarlyResidency {
		f.earlyResidency = map[string]Residency{}
	}
	f.earlyResidency[r.Upstream] = *r
}

// applyEarlyResidencyLocked enters what was told of an upstream that has just come; f.mu is held.
func (f *Fleet) applyEarlyResidencyLocked(e *Entry, now time.Time) {
	r, ok := f.earlyResidency[e.id]
	if !ok || r.StartedMs != e.startedMs {
		return
	}
	delete(f.earlyResidency, e.id)
	e.applyResidency(&r, now)
}

// applyResidency enters a word; it says whether the upstream holds something else by it.
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

// usesAnnouncedLocked says whether the word on what the upstream holds goes first.
func (e *Entry) usesAnnouncedLocked(now time.Time) bool {
	if e.announcedAt.IsZero() {
		return false
	}
	w := e.fleet.coordinator.Load()
	return w.number == e.announcedBy && now.Before(w.validUntil) || now.Sub(e.announcedAt) < announcedResidentsTTL
}
