package platform

import (
	"maps"
	"time"

	"peridotpier.example/node/store"
)

type opResult struct {
	version uint64
	err     error
}

// recentOps keeps the result of each operation id for at least store.OpRetention
// and at most twice that time, in two generations.
type recentOps struct {
	now               func() time.Time
	currentSince      time.Time
	current, previous map[string]opResult
}

func (m *recentOps) clone() recentOps {
	return recentOps{m.now, m.currentSince, maps.Clone(m.current), maps.Clone(m.previous)}
}

func (m *recentOps) find(op string) (opResult, bool) {
	if r, ok := m.current[op]; ok {
		return r, true
	}
	r, ok := m.previous[op]
	return r, ok
}

func (m *recentOps) add(op string, r opResult) {
	if op == "" {
		return
	}
	if now := m.now(); m.current == nil || now.Sub(m.currentSince) >= store.OpRetention {
		m.previous, m.current, m.currentSince = m.current, map[string]opResult{}, now
	}
	m.current[op] = r
}
