package quarantine

import (
	"maps"
	"slices"
	"time"

	"peridotpier.example/core/poison"
)

// view is the read-only state that requests are checked against.
type view struct {
	shapes                   map[poison.Shape]bool
	fromCoordinator, local   map[poison.Digest]poison.Entry
	former                   map[poison.Digest]formerBar
	partsSince               map[poison.Digest]time.Time // since when this host knows that a part is suspected
	coordinatorHasQuarantine bool                        // the acting coordinator keeps a quarantine; earlier releases keep none
}

// entriesFor returns the entries that apply to a suspect now: those of the acting
// coordinator, those that former ones announced a moment ago, and without its quarantine
// also those of this host.
func (g *Guard) entriesFor(v *view, f poison.Fingerprint, now time.Time) []poison.Entry {
	all := []poison.Entry{v.fromCoordinator[f.Digest]}
	if b := v.former[f.Digest]; now.Before(b.until) {
		all = append(all, b.Entry)
	}
	if !v.coordinatorHasQuarantine || !g.deps.Connected() {
		all = append(all, v.local[f.Digest])
	}
	return slices.DeleteFunc(all, func(e poison.Entry) bool { return e.IsPart() != f.IsPart() })
}

// isSuspect reports whether a suspect is suspected or barred.
func (v *view) isSuspect(f poison.Fingerprint) bool {
	return v.fromCoordinator[f.Digest].State != poison.Cleared || v.local[f.Digest].State != poison.Cleared || v.former[f.Digest].State != poison.Cleared
}

// refreshLocked rebuilds the view that requests are checked against.
func (g *Guard) refreshLocked(now time.Time) {
	for _, d := range g.local.TakeTransitions() {
		if d.State == poison.Barred && !g.deps.Connected() {
			g.logLocked(d.Entry, "own", now)
		}
	}
	local, formerBars := g.local.All(now), g.formerLocked(now)
	if len(local)+len(g.fromCoordinator)+len(formerBars) == 0 {
		g.view.Store(nil)
		return
	}
	v := &view{shapes: map[poison.Shape]bool{}, fromCoordinator: make(map[poison.Digest]poison.Entry, len(g.fromCoordinator)),
		local: make(map[poison.Digest]poison.Entry, len(local)), former: maps.Clone(g.former), partsSince: map[poison.Digest]time.Time{}, coordinatorHasQuarantine: g.quarantineID != 0}
	before := g.view.Load()
	for d, e := range g.fromCoordinator {
		v.fromCoordinator[d] = e
		v.add(&e, before, now)
	}
	for _, e := range local {
		v.local[e.Digest] = e
		v.add(&e, before, now)
	}
	for _, e := range formerBars {
		v.add(&e, before, now)
	}
	g.view.Store(v)
}

// add makes the view know a suspect, since now or as long as the view before.
func (v *view) add(e *poison.Entry, before *view, now time.Time) {
	v.shapes[e.Shape] = true
	if !e.IsPart() {
		return
	}
	v.partsSince[e.Digest] = now
	if before != nil {
		if since, ok := before.partsSince[e.Digest]; ok {
			v.partsSince[e.Digest] = since
		}
	}
}
