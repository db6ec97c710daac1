package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"peridotpier.example/node/upstream/engineapi"
)

// maxCacheEvents bounds the number of cache events that can still be read.
const maxCacheEvents = 4096

type cacheEvent struct {
	engineapi.CacheEvent
	visibleAt time.Time // when it is published
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	slots int
	byKey map[uint64]*list.Element
	order *list.List // most recently used first; values are uint64
}

func newPrefixCache(slots int) prefixCache {
	return prefixCache{slots: slots, byKey: map[uint64]*list.Element{}, order: list.New()}
}

// touch reports whether key was cached, caches it, and returns the key that was
// evicted for it; 0: none.
func (c *prefixCache) touch(key uint64) (hit bool, evicted uint64) {
	if el, ok := c.byKey[key]; ok {
		c.order.MoveToFront(el)
		return true, 0
	}
	c.byKey[key] = c.order.PushFront(key)
	if c.order.Len() > c.slots {
		evicted = c.order.Remove(c.order.Back()).(uint64)
		delete(c.byKey, evicted)
	}
	return false, evicted
}

// prefillTokens returns how many tokens of the prompt must be computed. The caller
// holds mu.
func (e *Engine) prefillTokens(a *attempt) int {
	if e.cfg.PrefillPerToken == 0 {
		return 0
	}
	if a.prefix == 0 || e.prefixes.slots == 0 {
		return a.promptTokens
	}
	hit, evicted := e.prefixes.touch(a.prefix)
	if evicted != 0 {
		e.publishCacheEvent(evicted, false)
	}
	if !hit {
		e.publishCacheEvent(a.prefix, true)
		return a.promptTokens
	}
	e.records.PrefixHits++
	return a.promptTokens - int(float64(a.promptTokens)*e.cfg.PrefixSavedShare)
}

// publishCacheEvent numbers a cache event and publishes it. A lost event leaves a
// gap in the sequence. The caller holds mu.
func (e *Engine) publishCacheEvent(prefix uint64, stored bool) {
	e.eventSeq++
	if e.rng.Float64() < e.cfg.EventLoss {
		return
	}
	ev := engineapi.CacheEvent{Sequence: e.eventSeq, Prefix: prefix, Stored: stored}
	e.events = append(e.events, cacheEvent{ev, time.Now().Add(e.cfg.EventLag)})
	if len(e.events) > maxCacheEvents {
		e.events = append(e.events[:0], e.events[len(e.events)-maxCacheEvents/2:]...)
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // missing: from the beginning
	now := time.Now()
	out := []engineapi.CacheEvent{}
	e.mu.Lock()
	for _, ev := range e.events {
		if ev.Sequence > after && !ev.visibleAt.After(now) {
			out = append(out, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	e.setHeaders(w.Header())
	writeJSON(w, http.StatusOK, out)
}
