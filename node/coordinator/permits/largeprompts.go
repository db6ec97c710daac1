package permits

import (
	"slices"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/fleet"
)

// largePrompts bounds how long large prompts are passed over. A prompt may be too large to be read
// beside others, while small ones keep coming that fit beside those which are being read: it
// would wait for ever though it is the first. Once others were granted a multiple of its work
// in its place at an upstream, that upstream is kept for it until its prompts are read. It is
// guarded by the mutex of permits.
type largePrompts struct {
	blocked map[string][]*request // by upstream: those that did not fit when they were last tried there
	kept    map[string]*request   // by upstream: for whom it is kept
}

// maxPassedOver is by how much work, as a multiple of its own, others may pass over a prompt
// at an upstream. That work and the reading of the prompts that are there take well
// below the time that a request of usual size waits.
const maxPassedOver = 4.0

func newLargePrompts() largePrompts {
	return largePrompts{blocked: map[string][]*request{}, kept: map[string]*request{}}
}

// isKeptFrom reports whether an upstream is kept for another request that is not less urgent.
func (p *Permits) isKeptFrom(w *request, upstream string) bool {
	k := p.large.kept[upstream]
	if k == nil || k == w || k.event.Priority > w.event.Priority {
		return false
	}
	if p.waiting.find(k.key) != k || k.isOverdue(p.deps.Now()) { // granted elsewhere, or nobody waits for it any more
		delete(p.large.kept, upstream)
		return false
	}
	return true
}

// offered returns the upstreams that a request may be granted at.
func (p *Permits) offered(w *request, entries []*fleet.Entry) []*fleet.Entry {
	if len(p.large.kept) == 0 || !slices.ContainsFunc(entries, func(e *fleet.Entry) bool { return p.isKeptFrom(w, e.ID()) }) {
		return entries
	}
	return slices.DeleteFunc(slices.Clone(entries), func(e *fleet.Entry) bool { return p.isKeptFrom(w, e.ID()) })
}

// tryAt tries a waiting request at one upstream, after those that were tried before it in
// the same scan.
func (p *Permits) tryAt(w *request, e *fleet.Entry, try func() balance.Decision) (granted bool) {
	if p.isKeptFrom(w, e.ID()) {
		return false
	}
	d := try()
	if d.Index < 0 && d.Reason == balance.AllPrefilling && p.waiting.HasTeams() {
		p.large.blocked[e.ID()] = append(p.large.blocked[e.ID()], w)
		p.keepIfPassedOver(w, e.ID())
	}
	if d.Index >= 0 {
		p.countPassedOver(w)
	}
	return d.Index >= 0
}

// countPassedOver counts a grant for those that did not fit at its upstream, and come before
// it by rank.
func (p *Permits) countPassedOver(w *request) {
	if p.large.kept[w.upstream] == w {
		delete(p.large.kept, w.upstream)
	}
	blocked := p.large.blocked[w.upstream]
	if len(blocked) == 0 {
		return
	}
	work := p.grantedWork(w)
	for _, b := range blocked {
		if b != w && b.event.Priority <= w.event.Priority {
			b.passedOver += work
			p.keepIfPassedOver(b, w.upstream)
		}
	}
}

func (p *Permits) keepIfPassedOver(w *request, upstream string) {
	if w.isOverdue(p.deps.Now()) { // nobody is answered in time by it
		return
	}
	if p.large.kept[upstream] == nil && w.passedOver >= maxPassedOver*w.item.Request().Cost && p.waiting.find(w.key) == w {
		p.large.kept[upstream] = w
	}
}

// expire drops the records of upstreams that were removed, or no longer have the model of the
// request that they are kept for.
func (l *largePrompts) expire(f *fleet.Fleet) {
	for id, k := range l.kept {
		if e, ok := f.Entry(id); !ok || !slices.Contains(servedModels(e), k.event.Model) {
			delete(l.kept, id)
			delete(l.blocked, id)
		}
	}
	for id := range l.blocked {
		if _, ok := f.Entry(id); !ok {
			delete(l.blocked, id)
		}
	}
}
