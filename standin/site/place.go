package site

import (
	"cmp"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/config"
	"peridotpier.example/standin/engine"
)

// errNoMemory means that the deployment's initial replicas don't fit on its engines.
var errNoMemory = errors.New("no engine has enough free memory")

// slot is an engine with the memory that is still free on it and the models placed
// there.
type slot struct {
	engine *engine.Engine
	pool   string
	freeMB int
	models map[string]bool
}

// placeInitialReplicas loads the initial replicas of every model, largest model first,
// each with its adapters on the engine with the most free memory. Operators do the same
// before the system first starts; the static baseline keeps this placement for the
// whole run.
func (u *Upstreams) placeInitialReplicas() error {
	slots := u.slots()
	models := slices.Clone(u.Config.Models)
	slices.SortStableFunc(models, func(a, b config.Model) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
	for _, m := range models {
		adapters := slices.DeleteFunc(slices.Clone(u.Config.Adapters), func(a config.Adapter) bool { return a.Model != m.Name })
		need := m.MemoryMB
		for _, a := range adapters {
			need += a.MemoryMB
		}
		for range max(m.InitialReplicas, m.MinReplicas) {
			s := emptiestSlot(slots, m, need)
			if s == nil {
				return eris.Wrapf(errNoMemory, "model %s with %d MB", m.Name, need)
			}
			s.freeMB -= need
			s.models[m.Name] = true
			s.engine.Preload(m.Name, "", m.Version, m.MemoryMB)
			for _, a := range adapters {
				s.engine.Preload(m.Name, a.Name, a.Version, a.MemoryMB)
			}
		}
	}
	return nil
}

func (u *Upstreams) slots() []*slot {
	var out []*slot
	for _, up := range u.Config.Upstreams {
		if e, err := u.Engine(up.Name); err == nil {
			out = append(out, &slot{engine: e, pool: up.Pool, freeMB: up.MemoryMB, models: map[string]bool{}})
		}
	}
	return out
}

// emptiestSlot returns the slot with the most free memory among those of the model's
// pool that have need MB free and don't have the model yet, or nil if there is none.
func emptiestSlot(slots []*slot, m config.Model, need int) *slot {
	var best *slot
	for _, s := range slots {
		if s.pool == m.Pool && !s.models[m.Name] && s.freeMB >= need && (best == nil || s.freeMB > best.freeMB) {
			best = s
		}
	}
	return best
}
