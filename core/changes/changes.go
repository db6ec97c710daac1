// Package changes records the order of the last change of each key, so that the
// changes since a revision are found without examining all keys.
package changes

import "sort"

// Log holds the newest change of each key. Its owner must guard it against
// concurrent use. The zero Log is empty.
type Log[K comparable] struct {
	newest map[K]uint64
	order  []change[K] // by revision; changes superseded by a later one of the same key are skipped
}

// change is a change of a key at a revision.
type change[K comparable] struct {
	key      K
	revision uint64
}

// supersededSlack is how many superseded changes are kept in any case before they
// are removed.
const supersededSlack = 64

// Record adds a change of a key. Revisions must not decrease.
func (l *Log[K]) Record(key K, revision uint64) {
	if l.newest == nil {
		l.newest = map[K]uint64{}
	}
	if l.newest[key] == revision {
		return
	}
	l.newest[key] = revision
	l.order = append(l.order, change[K]{key, revision})
	if len(l.order) > 2*len(l.newest)+supersededSlack {
		l.compact()
	}
}

// Forget removes a key.
func (l *Log[K]) Forget(key K) { delete(l.newest, key) }

// compact removes the superseded changes.
func (l *Log[K]) compact() {
	kept := make([]change[K], 0, len(l.newest))
	for _, c := range l.order {
		if l.isNewest(c) {
			kept = append(kept, c)
		}
	}
	l.order = kept
}

// isNewest reports whether a change is the newest of its key.
func (l *Log[K]) isNewest(c change[K]) bool {
	revision, ok := l.newest[c.key]
	return ok && revision == c.revision
}

// Since returns the keys whose newest change is after a revision, oldest change
// first, and the revision of the last one: at most limit keys, but always all keys
// of one revision. to is 0 if there are none; complete is true when there are no
// more.
func (l *Log[K]) Since(revision uint64, limit int) (keys []K, to uint64, complete bool) {
	from := sort.Search(len(l.order), func(i int) bool { return l.order[i].revision > revision })
	for _, c := range l.order[from:] {
		if !l.isNewest(c) {
			continue
		}
		if len(keys) >= limit && c.revision != to {
			return keys, to, false
		}
		keys, to = append(keys, c.key), c.revision
	}
	return keys, to, true
}
