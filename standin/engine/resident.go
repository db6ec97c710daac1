package engine

import (
	"slices"
	"time"

	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
)

// resident is one model or adapter in memory. All fields are guarded by Engine.mu.
type resident struct {
	key      route.ModelKey
	version  string
	memoryMB int
	op       string // id of the order that loaded it
	loadName string // of its load at the weight store
	state    engineapi.ModelState
	users    int  // attempts that wait or run on it
	freeing  bool // its memory is about to be freed
}

func (r *resident) describe() engineapi.Resident {
	return engineapi.Resident{Model: r.key.Model, Adapter: r.key.Adapter, Version: r.version, State: r.state, MemoryMB: r.memoryMB, Op: r.op}
}

// Preload makes a model or adapter ready at once, as operators of a site do before
// the system starts.
func (e *Engine) Preload(model, adapter, version string, memoryMB int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &resident{key: route.ModelKey{Model: model, Adapter: adapter}, version: version, memoryMB: memoryMB, op: "preload"}
	e.addResident(r)
	r.state = engineapi.StateReady
	e.reports = nil
	e.addReport()
}

// addResident allocates memory for r and records an overcommit. The caller holds
// mu.
func (e *Engine) addResident(r *resident) {
	r.state = engineapi.StateLoading
	e.residents = append(e.residents, r)
	if used := e.usedMB(); e.cfg.MemoryMB > 0 && used > e.cfg.MemoryMB {
		e.records.Overcommits = append(e.records.Overcommits,
			Overcommit{At: time.Now(), Engine: e.cfg.Name, Op: r.op, UsedMB: used, MemoryMB: e.cfg.MemoryMB})
	}
}

func (e *Engine) usedMB() int {
	n := 0
	for _, r := range e.residents {
		n += r.memoryMB
	}
	return n
}

// findServing returns the resident that serves a model or adapter name: the newest
// ready one. An adapter also needs a ready base model.
func (e *Engine) findServing(name string) *resident {
	for i := len(e.residents) - 1; i >= 0; i-- {
		r := e.residents[i]
		served := r.key.Model
		if r.key.Adapter != "" {
			served = r.key.Adapter
		}
		if served == name && r.state == engineapi.StateReady && (r.key.Adapter == "" || e.findServing(r.key.Model) != nil) {
			return r
		}
	}
	return nil
}

// findResident returns the newest resident with a key; an empty version matches
// any.
func (e *Engine) findResident(key route.ModelKey, version string) *resident {
	for i := len(e.residents) - 1; i >= 0; i-- {
		if r := e.residents[i]; r.key == key && (version == "" || r.version == version) {
			return r
		}
	}
	return nil
}

// freeIdleOfModel frees the idle residents of a model and its adapters that are
// being unloaded.
func (e *Engine) freeIdleOfModel(model string) {
	for _, r := range slices.Clone(e.residents) {
		if r.key.Model == model {
			e.freeIfIdle(r)
		}
	}
}

// isIdle reports whether no attempt uses r, directly or through an adapter.
func (e *Engine) isIdle(r *resident) bool {
	if r.key.Adapter != "" || r.users > 0 {
		return r.users == 0
	}
	return !slices.ContainsFunc(e.residents, func(a *resident) bool { return a.key.Model == r.key.Model && a.key.Adapter != "" && a.users > 0 })
}

// freeIfIdle frees a resident that is being unloaded when its last attempt has
// ended.
func (e *Engine) freeIfIdle(r *resident) {
	if r.state != engineapi.StateUnloading || r.freeing || !e.isIdle(r) {
		return
	}
	r.freeing = true
	if e.cfg.UnloadTime == 0 {
		e.removeResident(r)
		return
	}
	incarnationEnded := e.incarnationEnded
	time.AfterFunc(e.cfg.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if incarnationEnded == e.incarnationEnded {
			e.removeResident(r)
		}
	})
}

func (e *Engine) removeResident(r *resident) {
	for i, have := range e.residents {
		if have == r {
			e.residents = append(e.residents[:i:i], e.residents[i+1:]...)
			return
		}
	}
}
