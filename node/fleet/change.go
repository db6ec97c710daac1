package fleet

import (
	"math"
	"time"

	"peridotpier.example/core/deploy"
)

// Change is what changed in the list after an earlier revision.
type Change struct {
	Revision uint64 // revision that the change leads to
	Complete bool   // Put is the complete list
	Put      []Listed
	Removed  []string
}

// Listed is an upstream as the store's list describes it, with the revision of its last
// change: two of one upstream and one revision are equal.
type Listed struct {
	deploy.Upstream
	Revision uint64
}

const (
	// minRemovedKept is how many removals are remembered for ChangesSince in any case. A
	// host that is further behind gets the complete list.
	minRemovedKept = 256
	// removedTTL is how long every removal is remembered: the time of several reports of
	// any host. Of thousands of upstreams, more than minRemovedKept may be replaced within
	// that time.
	removedTTL = 10 * time.Second
)

// removedUpstream is the removal of an upstream's entry, with its revision and time.
type removedUpstream struct {
	id        string
	revision  uint64
	removedAt time.Time
}

// ChangesSince returns what changed in the store's list after a revision, for other
// hosts; revision 0 asks for the complete list. A compact change leaves out upstreams of
// which only residents or local copies changed.
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

// DescribedSince returns the entries whose description changed after a revision, and the
// current revision.
func (f *Fleet) DescribedSince(after uint64) ([]*Entry, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedAfter(after, false, false), f.revision
}

// listedAfter returns the entries whose description changed after a revision, or all
// entries. f.mu must be held.
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

// isListed reports whether a removed upstream is listed again. e is nil if its entry was
// forgotten.
func isListed(e *Entry) bool {
	if e == nil {
		return false
	}
	_, _, delisted := e.listed()
	return !delisted
}

// versionMark is a revision of the list with the version of the store up to which it goes.
type versionMark struct{ revision, version uint64 }

// maxVersionMarks is how many revisions are remembered for RevisionAt. A host that is
// further behind gets the complete list.
const maxVersionMarks = 256

// RevisionAt returns the newest revision of the list that includes nothing newer than a
// version of the store; 0 if none is known.
func (f *Fleet) RevisionAt(version uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revisionAtLocked(version)
}

func (f *Fleet) revisionAtLocked(version uint64) uint64 {
	for i := len(f.versionMarks) - 1; i >= 0; i-- {
		if f.versionMarks[i].version <= version {
			return f.versionMarks[i].revision
		}
	}
	return 0
}

// gap is a point at which the list does not follow from what was known before.
type gap struct {
	revision uint64 // first revision after the gap
	after    uint64 // the store's version that the list was of before
}

// maxGaps is how many gaps are remembered. A host that is further behind gets the complete
// list.
const maxGaps = 16

// BeginGap records that the next list is a complete one, or one of another era of the
// store, and lacks the changes between it and the store's version after. What another
// host has read meanwhile is in no change of the list then.
func (f *Fleet) BeginGap(after uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gaps = append(f.gaps, gap{f.revision + 1, after})
	if len(f.gaps) > maxGaps {
		f.gapsFrom, f.gaps = f.gaps[0].revision, append([]gap(nil), f.gaps[1:]...)
	}
}

// BaseOf returns the revision after which a host needs the changes of the list; 0 if it
// needs the complete list. state is the revision that the host has, 0 if it has none, and
// version is the store's version up to which it has read or received the list.
func (f *Fleet) BaseOf(state, version uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == 0 {
		state = f.revisionAtLocked(version)
	}
	if state < f.gapsFrom {
		return 0
	}
	for _, g := range f.gaps {
		if g.revision <= state {
			continue
		}
		if version > g.after {
			return 0
		}
		break // later gaps are after later versions
	}
	return state
}

func (f *Fleet) recordVersionLocked(version uint64) {
	if version == 0 {
		return // the change has no version of the store
	}
	f.versionMarks = append(f.versionMarks, versionMark{f.revision, version})
	if over := len(f.versionMarks) - maxVersionMarks; over > 0 {
		f.versionMarks = append([]versionMark(nil), f.versionMarks[over:]...)
	}
}
