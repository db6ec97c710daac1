package quarantine

import (
	"hash/maphash"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
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

// reportAnswered reports a barred request that was answered at this host, unless it is known.
// The host that reported its crashes may have just started.
func (g *Guard) reportAnswered(e *poison.Entry, r *poison.Request, now time.Time) {
	if e.IsPart() || e.Answered || !g.answered.has(r, now) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answeredReported[e.Digest].After(now.Add(-answeredFor)) {
		return
	}
	maps.DeleteFunc(g.answeredReported, func(_ poison.Digest, at time.Time) bool { return now.Sub(at) > answeredFor })
	g.answeredReported[e.Digest] = now
	d := e.Digest
	g.local.RecordAnsweredBefore(d, now)
	g.addLocked(Event{Answered: &d, At: now})
	g.deps.Log.Emit(event.BarredWasAnswered, zap.Stringer("content", d))
	g.refreshLocked(now)
}

// AnsweredBefore reports whether the same request was answered at this host not long ago.
func (g *Guard) AnsweredBefore(r *poison.Request) bool { return g.answered.has(r, g.deps.Now()) }
