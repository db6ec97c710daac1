package fleet

import (
	"slices"
	"time"

	"peridotpier.example/core/deploy"
)

// word says for how long that of the host that gives orders goes before the
// upstreams' own descriptions, which lag.
type word struct {
	of    uint64 // rises with each other host that gives orders
	until time.Time
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
func (f *Fleet) CoordinatorSeen(of uint64, until time.Time) {
	was := f.word.Load()
	f.word.Store(&word{of, until})
	if was.of != of {
		f.mu.Lock()
		f.earlyHeld = nil
		f.mu.Unlock()
	}
}

// ApplyResidency takes what the host that gives orders told of upstreams since its last
// word. What it tells before the list names an upstream is kept until that comes: it
// is told once only.
func (f *Fleet) ApplyResidency(all []Residency, now time.Time) {
	news := false
	for i := range all {
		h := &all[i]
		e, ok := f.Entry(h.Upstream)
		if !ok || e.StartedMs() != h.StartedMs {
			f.keepEarlyHeld(h)
			continue
		}
		news = e.believe(h, now) || news
	}
	if news {
		f.tellHoldings()
	}
}

// earlyHeldMost bounds what is kept of upstreams that the list does not name yet:
// more than come at a time.
const earlyHeldMost = 16384

func (f *Fleet) keepEarlyHeld(h *Residency) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.earlyHeld == nil || len(f.earlyHeld) >= earlyHeldMost {
		f.earlyHeld = map[string]Residency{}
	}
	f.earlyHeld[h.Upstream] = *h
}

// believeEarlyLocked enters what was told of an upstream that has just come; f.mu is held.
func (f *Fleet) believeEarlyLocked(e *Entry, now time.Time) {
	h, ok := f.earlyHeld[e.id]
	if !ok || h.StartedMs != e.born {
		return
	}
	delete(f.earlyHeld, e.id)
	e.believe(&h, now)
}

// believe enters a word; it says whether the upstream holds something else by it.
func (e *Entry) believe(h *Residency, now time.Time) (news bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	news = !slices.EqualFunc(h.Residents, e.believed, deploy.Resident.Equal)
	e.believed, e.believedAt, e.believedOf = h.Residents, now, e.fleet.word.Load().of
	e.expectLocked(h.Loading)
	if news {
		e.reindexLocked()
	}
	return news
}

// believesLocked says whether the word on what the upstream holds goes first.
func (e *Entry) believesLocked(now time.Time) bool {
	if e.believedAt.IsZero() {
		return false
	}
	w := e.fleet.word.Load()
	return w.of == e.believedOf && now.Before(w.until) || now.Sub(e.believedAt) < believedFresh
}
