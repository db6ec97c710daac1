package quarantine

import (
	"hash/maphash"
	"sync"
	"time"

	"peridotpier.example/core/poison"
)

const (
	// answeredFor is for how long at least it is known that a request was answered, unless
	// maxAnswered others were meanwhile.
	answeredFor = 30 * time.Second
	// maxAnswered bounds the answered requests that are known, half of them: 16 bytes each.
	maxAnswered = 8192
)

// answeredRequests knows which requests were answered lately, by their content. It keeps two
// generations, of which the older one is dropped at once.
type answeredRequests struct {
	seed maphash.Seed

	mu             sync.Mutex
	recent, former map[uint64]struct{}
	since          time.Time // of recent
}

func newAnsweredRequests() *answeredRequests {
	return &answeredRequests{seed: maphash.MakeSeed(), recent: map[uint64]struct{}{}}
}

// record records that a request was answered.
func (a *answeredRequests) record(r *poison.Request, now time.Time) {
	hash, ok := r.Hash(a.seed)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.since) > answeredFor || len(a.recent) >= maxAnswered {
		a.recent, a.former, a.since = make(map[uint64]struct{}, len(a.recent)), a.recent, now
	}
	a.recent[hash] = struct{}{}
}

// has reports whether a request was answered lately.
func (a *answeredRequests) has(r *poison.Request, now time.Time) bool {
	hash, ok := r.Hash(a.seed)
	if !ok {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.since) > 2*answeredFor {
		return false
	}
	_, recent := a.recent[hash]
	_, former := a.former[hash]
	return recent || former
}
