package fleet

import (
	"math"
	"time"

	"peridotpier.example/core/deploy"
)

// Change is what came after an earlier state of the list.
type Change struct {
	Revision uint64 // state that it brings to
	Complete bool   // Put is the whole list
	Put      []Listed
	Removed  []string
}

// Listed is an upstream as the platform's list has it, with the state of the list
// since which it does: two of one upstream and one state are the same.
type Listed struct {
	deploy.Upstream
	Revision uint64
}

const (
	// minRemovedKept is how many vanished upstreams are remembered for Since in any case.
	// A host that is farther behind gets the whole list.
	minRemovedKept = 256
	// removedTTL is how long all of them are: several reports of any host. Of
	// thousands of upstreams more than goneMost may be replaced in less.
	removedTTL = 10 * time.Second
)

// removedUpstream is an upstream whose entry is gone, with the state since which it is.
type removedUpstream struct {
	id        string
	revision  uint64
	removedAt time.Time
}

// ChangesSince returns what changed in the platform's list after a state, for other
// hosts; 0 asks for all of it. Brief leaves out upstreams of which nothing changed
// but what they hold or have copies of.
func (f *Fleet) ChangesSince(from uint64, compact bool) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Change{Revision: f.revision, Complete: from == 0 || from < f.removedFrom || from > f.revision}
	if from == f.revision && !out.Complete {
		return out // as for nearly every report
	}
	byID := f.index.Load().byID
	for _, e := range f.listedAfter(from, out.Complete, compact) {
		if u, revision, delisted := e.listed(); !delisted {
			out.Put = append(out.Put, Listed{u, revision})
		}
	}
	for _, v := range f.removed {
		if !out.Complete && v.revision > from && !isListed(byID[v.id]) {
			out.Removed = append(out.Removed, v.id)
		}
	}
	return out
}

// DescribedSince returns the entries of which the list said something else after a state,
// and the state that it is at.
func (f *Fleet) DescribedSince(after uint64) ([]*Entry, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedAfter(after, false, false), f.revision
}

// listedAfter returns the entries of which the list said something else after a
// state, or all; f.mu is held.
func (f *Fleet) listedAfter(from uint64, all, compact bool) []*Entry {
	if all {
		return f.All()
	}
	log := &f.listedLog
	if compact {
		log = &f.identityLog
	}
	changed, _, _ := log.Since(from, math.MaxInt)
	return changed
}

// isListed says whether an entry that vanished has come again; nil: forgotten.
func isListed(e *Entry) bool {
	if e == nil {
		return false
	}
	_, _, delisted := e.listed()
	return !delisted
}

// versionMark says up to which version of the store a state of the list goes.
type versionMark struct{ revision, version uint64 }

// maxVersionMarks is how many states are remembered for StateAt. A host that is
// farther behind gets the whole list.
const maxVersionMarks = 256

// RevisionAt returns the newest state of the list that holds nothing newer than a
// version of the store; 0: none is known.
func (f *Fleet) RevisionAt(version uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.versionMarks) - 1; i >= 0; i-- {
		if f.versionMarks[i].version <= version {
			return f.versionMarks[i].revision
		}
	}
	return 0
}

func (f *Fleet) recordVersionLocked(version uint64) {
	if version == 0 {
		return // a list that is not of the store's own word
	}
	f.versionMarks = append(f.versionMarks, versionMark{f.revision, version})
	if over := len(f.versionMarks) - maxVersionMarks; over > 0 {
		f.versionMarks = append([]versionMark(nil), f.versionMarks[over:]...)
	}
}
