package fleet

import (
	"slices"
	"sync"

	"peridotpier.example/core/deploy"
)

// modelIndex finds the upstreams of a service by a model. By what they may hold these
// are all of which any word that counts says so; which of them holds it is for their
// entries to say. A pick among thousands of upstreams looks at the few that matter.
type modelIndex struct {
	mu      sync.RWMutex
	entries map[serviceModel][]*Entry // replaced whole, so that readers need no copy
}

type serviceModel struct{ service, model string }

// update notes which models an entry may hold in place of others. The entry's lock is held.
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

// EntriesWithModel returns the upstreams of a service that may hold a model; with no model
// all of them.
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

// HasUsableWithoutModel says whether upstreams of a service may be sent work that cannot hold a
// model, but for those passed over: what keeps a request for it is then the model.
func (f *Fleet) HasUsableWithoutModel(service, model string, skip func(*Entry) bool) bool {
	if model == "" {
		return false
	}
	now, withModel := f.deps.Now(), f.EntriesWithModel(service, model)
	return slices.ContainsFunc(f.EntriesOfService(service), func(e *Entry) bool {
		return e.Usable() && !e.isDownAt(now) && !slices.Contains(withModel, e) && !skip(e)
	})
}

// reindexLocked notes what the entry may hold, by its list entry and by the word of
// the host that gives orders.
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

// forget takes the entry out of the index for good.
func (e *Entry) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.residentIndex.update(e, e.indexedModels, nil)
	e.fleet.loadingIndex.update(e, modelsOf(e.loading), nil)
	e.indexedModels, e.loading, e.forgotten = nil, nil, true
}
