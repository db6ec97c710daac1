package fleet

import "time"

// Coming is a model that an upstream is loading, or will.
type Coming struct {
	Model string
	At    time.Time // when it can be expected to answer, at the earliest
}

// Expect takes what the host that gives orders has the upstream load. It goes
// for as long as Believe's word does.
func (e *Entry) Expect(all []Coming) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coming = all
}

// comingAt is when a model can be expected here.
func (e *Entry) comingAt(model string, now time.Time) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving || now.Sub(e.believedAt) >= believedFresh {
		return time.Time{}, false
	}
	for _, c := range e.coming {
		if c.Model == model {
			return c.At, true
		}
	}
	return time.Time{}, false
}

// Coming is when a model that no upstream of a service holds can be expected at
// the first of them; false: nobody loads it.
func (f *Fleet) Coming(service, model string) (at time.Time, ok bool) {
	now := f.deps.Now()
	for _, e := range f.Service(service) {
		if here, loads := e.comingAt(model, now); loads && (!ok || here.Before(at)) {
			at, ok = here, true
		}
	}
	return at, ok
}
