// Package attempts is a stand-in's bounded memory of attempt ids. What it
// drops it still knows by hash: an id that may have run must never be
// answered "unseen", since the caller's host would run the request again.
package attempts

import "github.com/cespare/xxhash/v2"

// maxDroppedHashes bounds the hashes of dropped ids, 16 MB or so.
const maxDroppedHashes = 1 << 20

// Log remembers attempts by id, the newest ones in full. It is not safe for
// concurrent use.
type Log[T any] struct {
	byID          map[string]T
	ring          []string // ids, oldest at head
	head          int
	droppedHashes map[uint64]struct{}
	overflowed    bool // so much was dropped that any unknown id may have been here
}

// New makes a log of the given size.
func New[T any](size int) *Log[T] {
	return &Log[T]{byID: map[string]T{}, ring: make([]string, size), droppedHashes: map[uint64]struct{}{}}
}

// Add remembers an attempt and drops the oldest one when the log is full.
func (l *Log[T]) Add(id string, a T) {
	if old := l.ring[l.head]; old != "" {
		delete(l.byID, old)
		if len(l.droppedHashes) < maxDroppedHashes {
			l.droppedHashes[xxhash.Sum64String(old)] = struct{}{}
		} else {
			l.overflowed = true
		}
	}
	l.ring[l.head] = id
	l.head = (l.head + 1) % len(l.ring)
	l.byID[id] = a
}

// Find returns an attempt that is known in full.
func (l *Log[T]) Find(id string) (a T, known bool) {
	a, known = l.byID[id]
	return a, known
}

// WasDropped says that an attempt which is no longer known was here.
func (l *Log[T]) WasDropped(id string) bool {
	_, dropped := l.droppedHashes[xxhash.Sum64String(id)]
	return dropped
}

// FindOrAdd returns a known attempt, or remembers never for an id that never was
// here, so that it cannot run when it arrives later. ok is false when nobody
// can tell any more whether it was here.
func (l *Log[T]) FindOrAdd(id string, ifUnseen T) (a T, ok bool) {
	if a, known := l.byID[id]; known {
		return a, true
	}
	if l.overflowed || l.WasDropped(id) {
		return a, false
	}
	l.Add(id, ifUnseen)
	return ifUnseen, true
}

// VisitNewestFirst calls visit from the newest attempt to the oldest until it returns false.
func (l *Log[T]) VisitNewestFirst(visit func(T) bool) {
	for i := 1; i <= len(l.ring); i++ {
		id := l.ring[(l.head-i+len(l.ring))%len(l.ring)]
		if id == "" {
			return
		}
		if a, known := l.byID[id]; known && !visit(a) {
			return
		}
	}
}
