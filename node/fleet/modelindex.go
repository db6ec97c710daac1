package fleet

import (
	"slices"
	"sync"

	"peridotpier.example/core/deploy"
)

// modelIndex finds the upstreams of a service by a model, so that a pick among thousands
// of upstreams visits only the few that matter. The index of residents has all upstreams
// at which the model is resident by any valid source; the entry decides whether it is.
type modelIndex struct {
	mu      sync.RWMutex
	entries map[serviceModel][]*Entry // slices are replaced as a whole, so that readers need no copy
}

type serviceModel struct{ service, model string }

// update replaces the models under which an entry is found. The entry's lock must be
// held.
func (h *modelIndex) update(e *Entry, was, now []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries == nil {
		h.entries = map[serviceModel][]*Entry{}
	}
	for _, model := range was {
		if !slices.Contains(now, model) {
			h.removeLocked(serviceModel{e.service, model}, e)
		}
	}
	for _, model := range now {
		if !slices.Contains(was, model) {
			k := serviceModel{e.service, model}
			h.entries[k] = append(slices.Clone(h.entries[k]), e)
		}
	}
}

func (h *modelIndex) removeLocked(k serviceModel, e *Entry) {
	left := slices.DeleteFunc(slices.Clone(h.entries[k]), func(o *Entry) bool { return o == e })
	if len(left) == 0 {
		delete(h.entries, k)
		return
	}
	h.entries[k] = left
}

// EntriesWithModel returns the upstreams of a service at which a model may be resident;
// without a model, all upstreams of the service.
func (f *Fleet) EntriesWithModel(service, model string) []*Entry {
	if model == "" {
		return f.EntriesOfService(service)
	}
	return f.residentIndex.all(service, model)
}

func (h *modelIndex) all(service, model string) []*Entry {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.entries[serviceModel{service, model}]
}

// HasUsableWithoutModel reports whether a service has usable upstreams, apart from those
// that skip selects, at which a model cannot be resident: then a request for the model
// waits for it to be loaded, and not for an upstream.
func (f *Fleet) HasUsableWithoutModel(service, model string, skip func(*Entry) bool) bool {
	if model == "" {
		return false
	}
	now, withModel := f.deps.Now(), f.EntriesWithModel(service, model)
	return slices.ContainsFunc(f.EntriesOfService(service), func(e *Entry) bool {
		return e.Usable() && !e.isDownAt(now) && !slices.Contains(withModel, e) && !skip(e)
	})
}

// HasUsable reports whether a service has upstreams that take new requests, now or once
// they answer again, among those that suit.
func (f *Fleet) HasUsable(service string, suits func(*Entry) bool) bool {
	return slices.ContainsFunc(f.EntriesOfService(service), func(e *Entry) bool { return e.Usable() && suits(e) })
}

// reindexLocked updates the index of residents by the entry's description and the acting
// coordinator's announcements.
func (e *Entry) reindexLocked() {
	if e.forgotten {
		return
	}
	next := make([]string, 0, len(e.desc.Residents)+len(e.announcedResidents))
	for _, residents := range [][]deploy.Resident{e.desc.Residents, e.announcedResidents} {
		for i := range residents {
			if !slices.Contains(next, residents[i].Model) {
				next = append(next, residents[i].Model)
			}
		}
	}
	if slices.Equal(next, e.indexedModels) { // as for nearly every heartbeat
		return
	}
	e.fleet.residentIndex.update(e, e.indexedModels, next)
	e.indexedModels = next
}

// ResidentModels returns the models that may be resident: those of the upstream's
// description and of the acting coordinator's announcements.
func (e *Entry) ResidentModels() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(make([]string, 0, len(e.indexedModels)+1), e.indexedModels...)
}

// forget removes the entry from the indexes for good.
func (e *Entry) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.residentIndex.update(e, e.indexedModels, nil)
	e.fleet.loadingIndex.update(e, modelsOf(e.loading), nil)
	e.indexedModels, e.loading, e.forgotten = nil, nil, true
}
