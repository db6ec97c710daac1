package fleet

import "time"

// LoadingModel is a model that an upstream is loading, or will.
type LoadingModel struct {
	Model   string
	ReadyAt time.Time // when it can be expected to answer, at the earliest
}

// setLoadingLocked takes what the host that gives orders has the upstream load. It goes
// for as long as that host's word does.
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

// expectedReady is when a model can be expected here.
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

// ExpectedReady is when a model that no upstream of a service holds can be expected at
// the first of them; false: nobody loads it.
func (f *Fleet) ExpectedReady(service, model string) (at time.Time, ok bool) {
	now := f.deps.Now()
	for _, e := range f.EntriesLoading(service, model) {
		if here, loads := e.expectedReady(model, now); loads && (!ok || here.Before(at)) {
			at, ok = here, true
		}
	}
	return at, ok
}

// EntriesLoading returns the upstreams of a service that are loading a model, as the host
// that gives orders told.
func (f *Fleet) EntriesLoading(service, model string) []*Entry {
	return f.loadingIndex.all(service, model)
}
