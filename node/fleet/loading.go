package fleet

import "time"

// LoadingModel is a model that an upstream is loading, or is going to load.
type LoadingModel struct {
	Model   string
	ReadyAt time.Time // earliest time at which it can be expected to answer
}

// setLoadingLocked records what the acting coordinator has the upstream load. It is valid
// for as long as that coordinator's announcements are.
func (e *Entry) setLoadingLocked(all []LoadingModel) {
	if e.forgotten {
		return
	}
	e.fleet.loadingIndex.update(e, modelsOf(e.loading), modelsOf(all))
	e.loading = all
}

func modelsOf(all []LoadingModel) []string {
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].Model
	}
	return out
}

// expectedReady returns when a model can be expected to be ready here.
func (e *Entry) expectedReady(model string, now time.Time) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || !e.usesAnnouncedLocked(now) {
		return time.Time{}, false
	}
	for _, c := range e.loading {
		if c.Model == model {
			return c.ReadyAt, true
		}
	}
	return time.Time{}, false
}

// ExpectedReady returns when a model that is resident at no upstream of a service can be
// expected at the first of them; false if no upstream is loading it.
func (f *Fleet) ExpectedReady(service, model string) (at time.Time, ok bool) {
	now := f.deps.Now()
	for _, e := range f.EntriesLoading(service, model) {
		if here, loads := e.expectedReady(model, now); loads && (!ok || here.Before(at)) {
			at, ok = here, true
		}
	}
	return at, ok
}

// EntriesLoading returns the upstreams of a service that are loading a model, as
// announced by the acting coordinator.
func (f *Fleet) EntriesLoading(service, model string) []*Entry {
	return f.loadingIndex.all(service, model)
}
