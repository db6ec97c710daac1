package site

import (
	"cmp"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/config"
	"peridotpier.example/standin/engine"
)

// errNoRoom says that the deployment's initial replicas don't fit.
var errNoRoom = errors.New("no engine has room")

// slot is an engine and the memory that is still free on it.
type slot struct {
	e      *engine.Engine
	pool   string
	free   int
	models map[string]bool
}

// place gives every model its initial replicas, largest first, each with its
// adapters on the engine with the most room. It is what operators do before
// the system first starts; the static baseline keeps it for ever.
func (u *Upstreams) place() error {
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
			s := roomiest(slots, m, need)
			if s == nil {
				return eris.Wrapf(errNoRoom, "model %s with %d MB", m.Name, need)
			}
			s.free -= need
			s.models[m.Name] = true
			s.e.Preload(m.Name, "", m.Version, m.MemoryMB)
			for _, a := range adapters {
				s.e.Preload(m.Name, a.Name, a.Version, a.MemoryMB)
			}
		}
	}
	return nil
}

func (u *Upstreams) slots() []*slot {
	var out []*slot
	for _, up := range u.Config.Upstreams {
		if e, err := u.Engine(up.Name); err == nil {
			out = append(out, &slot{e: e, pool: up.Pool, free: up.MemoryMB, models: map[string]bool{}})
		}
	}
	return out
}

// roomiest finds the engine of the model's pool with the most room that does not hold it yet.
func roomiest(slots []*slot, m config.Model, need int) *slot {
	var best *slot
	for _, s := range slots {
		if s.pool == m.Pool && !s.models[m.Name] && s.free >= need && (best == nil || s.free > best.free) {
			best = s
		}
	}
	return best
}
