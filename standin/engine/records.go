package engine

import (
	"slices"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
)

// Records holds what the engine recorded about its work, over all of its
// incarnations. Tests join them with the records of callers.
type Records struct {
	Executions     []Execution
	Orders         []OrderRecord
	Overcommits    []Overcommit
	Loads          int // models that began to load by an order
	AdapterLoads   int
	Unloads        int
	PrefixHits     int
	Mismatched     int // answers that were replaced by that of another attempt on purpose
	DroppedRecords int // executions and orders beyond the bound, not kept
}

// Execution is one attempt that was accepted, with its outcome.
type Execution struct {
	Attempt     string
	Incarnation string
	Team        string // from the prompt's mark
	Invocation  string
	Key         route.ModelKey
	Class       class.Class
	State       engineapi.AttemptState
	Arrived     time.Time
	Started     time.Time // zero: it ended while it waited
	Ended       time.Time
	Tokens      int // tokens produced
}

// OrderRecord is an order that reached the engine, with its answer.
type OrderRecord struct {
	At     time.Time
	Order  engineapi.Order
	Answer engineapi.OrderAnswer
}

// Overcommit is a moment at which more memory was in use than the engine has.
type Overcommit struct {
	At       time.Time
	Engine   string
	Op       string
	UsedMB   int
	MemoryMB int
}

func (r *Records) addExecution(a *attempt, incarnation string, maxRecords int) {
	if len(r.Executions) >= maxRecords {
		r.DroppedRecords++
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Executions = append(r.Executions, Execution{Attempt: a.id, Incarnation: incarnation, Team: a.team, Invocation: a.invocation,
		Key: a.key, Class: a.class, State: a.outcome.state(), Arrived: a.arrived, Started: a.started, Ended: time.Now(), Tokens: a.produced})
}

func (r *Records) addOrder(o engineapi.Order, ans engineapi.OrderAnswer, maxRecords int) {
	if len(r.Orders) >= maxRecords {
		r.DroppedRecords++
		return
	}
	r.Orders = append(r.Orders, OrderRecord{At: time.Now(), Order: o, Answer: ans})
}

// Records returns a copy of the records so far. Attempts that still wait or run
// are included as running.
func (e *Engine) Records() Records {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records
	r.Executions = slices.Clone(r.Executions)
	r.Orders = slices.Clone(r.Orders)
	r.Overcommits = slices.Clone(r.Overcommits)
	running := Records{}
	e.attempts.VisitNewestFirst(func(a *attempt) bool {
		if a.done != nil && a.outcome != outcomeRefused && !a.ended() {
			running.addExecution(a, e.incarnation, e.cfg.MaxRecords)
			running.Executions[len(running.Executions)-1].Ended = time.Time{}
		}
		return true
	})
	r.Executions = append(r.Executions, running.Executions...)
	return r
}
