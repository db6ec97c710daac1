// Package attempts is the bounded log of attempt ids of a stand-in. It keeps
// hashes of the ids that it drops: an id that may have run must never be answered
// "unseen", because the caller's host would run the request again.
package attempts

import "github.com/cespare/xxhash/v2"

// maxDroppedHashes bounds the hashes of dropped ids to about 16 MB.
const maxDroppedHashes = 1 << 20

// Log holds attempts by id, the newest ones in full. It is not safe for concurrent
// use.
type Log[T any] struct {
	byID          map[string]T
	ring          []string // ids; the oldest is at head
	head          int
	droppedHashes map[uint64]struct{}
	overflowed    bool // more ids were dropped than hashes are kept: any unknown id may have been here
}

// New returns an empty log that holds size attempts in full.
func New[T any](size int) *Log[T] {
	return &Log[T]{byID: map[string]T{}, ring: make([]string, size), droppedHashes: map[uint64]struct{}{}}
}

// Add adds an attempt and drops the oldest one when the log is full.
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

// Find returns an attempt that the log holds in full.
func (l *Log[T]) Find(id string) (a T, known bool) {
	a, known = l.byID[id]
	return a, known
}

// WasDropped reports whether the hash of id is among those of dropped attempts.
func (l *Log[T]) WasDropped(id string) bool {
	_, dropped := l.droppedHashes[xxhash.Sum64String(id)]
	return dropped
}

// FindOrAdd returns the attempt with the given id. When the id has never been
// added it adds ifUnseen, so that the attempt cannot run when its request arrives
// later. ok is false when it can no longer be determined whether the id was here.
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

// VisitNewestFirst calls visit for each attempt, newest first, until visit returns
// false.
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
