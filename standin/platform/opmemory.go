package platform

import (
	"time"

	"peridotpier.example/node/store"
)

type opResult struct {
	version uint64
	err     error
}

// opMemory keeps the answer of each operation id for at least
// store.OpMemory and at most twice that, in two generations.
type opMemory struct {
	now      func() time.Time
	since    time.Time
	new, old map[string]opResult
}

func (m *opMemory) find(op string) (opResult, bool) {
	if r, ok := m.new[op]; ok {
		return r, true
	}
	r, ok := m.old[op]
	return r, ok
}

func (m *opMemory) keep(op string, r opResult) {
	if op == "" {
		return
	}
	if now := m.now(); m.new == nil || now.Sub(m.since) >= store.OpRetention {
		m.old, m.new, m.since = m.new, map[string]opResult{}, now
	}
	m.new[op] = r
}
