package fleet

import (
	"time"

	"peridotpier.example/core/deploy"
)

// AdapterLoaded records an adapter that was just loaded there, before that is announced
// to all hosts.
func (e *Entry) AdapterLoaded(model, adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.fleet.deps.Now()
	delete(e.notResidentUntil, model+"/"+adapter)
	next := append([]deploy.Resident(nil), e.residentsLocked(now)...)
	for i := range next {
		if next[i].Model == model && !contains(next[i].Adapters, adapter) {
			next[i].Adapters = append(append([]string(nil), next[i].Adapters...), adapter)
		}
	}
	e.announcedResidents, e.announcedAt = next, now
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// residentsLocked returns the upstream's residents by the latest information.
func (e *Entry) residentsLocked(now time.Time) []deploy.Resident {
	if e.usesAnnouncedLocked(now) || e.announcedAt.After(e.describedAt) {
		return e.announcedResidents
	}
	return e.desc.Residents
}

// hasResidentLocked reports whether a model, and an adapter if one is named, is resident.
// A recent answer of the upstream that it is not takes precedence over the residents.
func (e *Entry) hasResidentLocked(model, adapter string, now time.Time) bool {
	if len(e.notResidentUntil) > 0 && now.Before(e.notResidentUntil[model+"/"+adapter]) {
		return false
	}
	residents := deploy.Upstream{Residents: e.residentsLocked(now)}
	return residents.HasResident(model, adapter)
}

// MarkNotResident records the upstream's answer that a model or adapter is not resident.
func (e *Entry) MarkNotResident(model, adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notResidentUntil == nil {
		e.notResidentUntil = map[string]time.Time{}
	}
	now := e.fleet.deps.Now()
	for k, until := range e.notResidentUntil {
		if now.After(until) {
			delete(e.notResidentUntil, k)
		}
	}
	e.notResidentUntil[model+"/"+adapter] = now.Add(notResidentTTL)
}
