package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
)

// Reasons for refusing an order.
const (
	reasonOldEpoch         = "old_epoch"
	reasonWrongIncarnation = "wrong_incarnation"
	reasonUnknownModel     = "unknown_model"
)

// admissionRetry is the time between requests after the weight store failed to
// answer.
const admissionRetry = 100 * time.Millisecond

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		e.refuse(w, refusal{status: http.StatusBadRequest, text: "malformed order: " + err.Error()})
		return
	}
	if e.faults.intercept(e, o) {
		panic(http.ErrAbortHandler) // dropped or delayed: the planner receives no answer
	}
	ans := e.execute(o)
	if e.faults.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	e.setHeaders(w.Header())
	writeJSON(w, http.StatusOK, ans)
}

// execute executes an order. An order that needs more memory than is free is not
// refused: the overcommit is recorded, so that tests of the accounting of the
// system do not depend on checks of the engine.
func (e *Engine) execute(o engineapi.Order) engineapi.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	ans := engineapi.OrderAnswer{Incarnation: e.incarnation}
	ans.Reason = e.refusalReason(o)
	ans.Accepted = ans.Reason == ""
	e.records.addOrder(o, ans, e.cfg.MaxRecords)
	if !ans.Accepted {
		return ans
	}
	if e.lastOps = append(e.lastOps, o.Op); len(e.lastOps) > maxLastOps {
		e.lastOps = e.lastOps[1:]
	}
	if e.cfg.Fencing == config.FencingChecked {
		e.epoch = max(e.epoch, o.Epoch)
	}
	key := route.ModelKey{Model: o.Model, Adapter: o.Adapter}
	switch o.Kind {
	case engineapi.OrderLoad, engineapi.OrderLoadAdapter:
		e.beginLoad(key, o)
	case engineapi.OrderUnload, engineapi.OrderUnloadAdapter:
		e.beginUnload(key, o.Version)
	case engineapi.OrderRole:
		e.role = o.Role
	}
	return ans
}

func (e *Engine) refusalReason(o engineapi.Order) string {
	switch {
	case o.Incarnation != "" && o.Incarnation != e.incarnation:
		return reasonWrongIncarnation
	case e.cfg.Fencing == config.FencingChecked && o.Epoch < e.epoch:
		return reasonOldEpoch
	case o.Kind == engineapi.OrderLoadAdapter && e.findResident(route.ModelKey{Model: o.Model}, "") == nil:
		return reasonUnknownModel
	}
	return ""
}

func (e *Engine) beginLoad(key route.ModelKey, o engineapi.Order) {
	if r := e.findResident(key, o.Version); r != nil && r.state != engineapi.StateUnloading {
		return // loaded or being loaded
	}
	r := &resident{key: key, version: o.Version, memoryMB: o.MemoryMB, op: o.Op, loadName: o.LoadName()}
	e.addResident(r)
	if key.Adapter == "" {
		e.records.Loads++
	} else {
		e.records.AdapterLoads++
	}
	incarnationEnded := e.incarnationEnded
	e.spawn(func() { e.load(r, incarnationEnded) })
}

// load waits until the weight store admits the load, and then for as long as the
// weights take to load.
func (e *Engine) load(r *resident, incarnationEnded chan struct{}) {
	if e.cfg.Weights != nil {
		defer func() { _ = e.cfg.Weights.ReleaseLoad(context.Background(), r.loadName) }() // when the call is lost, the admission expires at the store
		if !e.awaitAdmission(r.loadName, incarnationEnded) {
			return
		}
	}
	if rate := e.cfg.MBPerSecond; rate > 0 {
		duration := time.Duration(float64(r.memoryMB) / float64(rate) * float64(time.Second))
		if !e.wait(duration, incarnationEnded) {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnationEnded == e.incarnationEnded && r.state == engineapi.StateLoading {
		r.state = engineapi.StateReady
	}
}

// awaitAdmission returns false when the incarnation or the engine ended before the
// weight store admitted the load.
func (e *Engine) awaitAdmission(load string, incarnationEnded chan struct{}) bool {
	for {
		wait, err := e.cfg.Weights.AcquireLoad(e.ctx, load)
		switch {
		case err != nil:
			wait = admissionRetry
		case wait <= 0:
			return true
		}
		if !e.wait(wait, incarnationEnded) {
			return false
		}
	}
}

// wait waits for d. It returns false when the incarnation or the engine ended
// before.
func (e *Engine) wait(d time.Duration, incarnationEnded chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-incarnationEnded:
	case <-e.ctx.Done():
	}
	return false
}

// beginUnload takes a model or an adapter out of service. Adapters are unloaded
// with the last version of their base model. The memory is free when the last
// attempt that uses it has ended.
func (e *Engine) beginUnload(key route.ModelKey, version string) {
	e.records.Unloads++
	match := func(r *resident) bool { return r.key == key && (version == "" || r.version == version) }
	e.startUnloading(match)
	if key.Adapter == "" && !slices.ContainsFunc(e.residents, func(r *resident) bool { return r.key == key && r.state != engineapi.StateUnloading }) {
		e.startUnloading(func(r *resident) bool { return r.key.Model == key.Model && r.key.Adapter != "" })
	}
}

func (e *Engine) startUnloading(match func(*resident) bool) {
	for _, r := range slices.Clone(e.residents) {
		if match(r) && r.state != engineapi.StateUnloading {
			r.state = engineapi.StateUnloading
			e.freeIfIdle(r)
		}
	}
}
