// Package history records what callers requested and received, and what upstreams
// executed, each from its own side, and checks the two against each other: a
// request that may not be repeated is modelled as a register that is written at
// most once.
package history

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/anishathalye/porcupine"

	"peridotpier.example/core/outcome"
)

// Invocation is one request as its caller saw it.
type Invocation struct {
	ID         string // unique
	Key        string // idempotency key with its team; "": the request may be repeated
	Start      int64  // by the history's logical clock
	End        int64
	Outcome    outcome.Outcome
	Answer     string // of a completed request: the answer's bytes or their hash
	Unanswered bool   // no answer came
	CallerGone bool   // the caller left or its connection broke; no answer was due
	InProgress bool   // the answer was that another request with the key is in progress
}

// Execution is one attempt as its upstream executed it, in part or completely.
type Execution struct {
	InvocationID string // "": the upstream cannot determine it
	Key          string
	Attempt      string
	Start        int64
	End          int64 // 0: never ended
	Answer       string
}

// History collects the records of both sides. It is safe for concurrent use.
type History struct {
	clock atomic.Int64
	mu    sync.Mutex
	calls map[string]*Invocation
	order []*Invocation
	execs []*Execution
}

// New returns an empty history.
func New() *History { return &History{calls: map[string]*Invocation{}} }

// Now advances the logical clock of the history and returns it. The clock orders
// events and does not measure time.
func (h *History) Now() int64 { return h.clock.Add(1) }

// Invoke records that a caller sends a request.
func (h *History) Invoke(call, key string) {
	inv := &Invocation{ID: call, Key: key, Start: h.Now(), Unanswered: true}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[call] = inv
	h.order = append(h.order, inv)
}

// Answered records the outcome and answer that the caller received.
func (h *History) Answered(call string, o outcome.Outcome, answer string) {
	h.setEnd(call, func(i *Invocation) { i.Outcome, i.Answer, i.Unanswered = o, answer, false })
}

// AnsweredInProgress records the answer that another request with the key is in
// progress.
func (h *History) AnsweredInProgress(call string) {
	h.setEnd(call, func(i *Invocation) { i.InProgress, i.Unanswered = true, false })
}

// CallerLeft records that the caller left or that its connection broke.
func (h *History) CallerLeft(call string) {
	h.setEnd(call, func(i *Invocation) { i.CallerGone = true })
}

func (h *History) setEnd(call string, set func(*Invocation)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	inv := h.calls[call]
	inv.End = h.Now()
	set(inv)
}

// Begin records that an upstream starts to execute an attempt.
func (h *History) Begin(e Execution) *Execution {
	e.Start = h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.execs = append(h.execs, &e)
	return &e
}

// Finish records that an execution ended with an answer.
func (h *History) Finish(e *Execution, answer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.End, e.Answer = h.Now(), answer
}

// Counts holds counts over a history, for reports.
type Counts struct {
	Requests        int `json:"requests"`
	Completed       int `json:"completed"`
	NotRun          int `json:"not_run"`
	Unknown         int `json:"unknown"`
	InProgress      int `json:"in_progress"`
	Lost            int `json:"lost"`       // no answer, although the caller had not left
	Duplicated      int `json:"doubled"`    // executions of a key after the first
	Truncated       int `json:"cut"`        // answered "completed" with only a beginning of the true answer
	Mismatched      int `json:"crossed"`    // answered "completed" with an answer that no execution of the request gave
	FalseNotRun     int `json:"false_no"`   // answered "not run" although an upstream ran this invocation
	FalseInProgress int `json:"false_busy"` // answered "in progress" after every other invocation with the key had ended as not run or in progress
}

// Count returns the counts of the history.
func (h *History) Count() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := Counts{Requests: len(h.order)}
	byKey, byCall := h.index()
	for key, execs := range byKey {
		if key != "" {
			c.Duplicated += len(execs) - 1
		}
	}
	for _, i := range h.order {
		execs := byCall[i.ID]
		if i.Key != "" {
			execs = byKey[i.Key]
		}
		c.add(i, execs, byCall[i.ID])
		if i.InProgress && h.isFalseInProgress(i) {
			c.FalseInProgress++
		}
	}
	return c
}

func (h *History) index() (byKey, byCall map[string][]*Execution) {
	byKey, byCall = map[string][]*Execution{}, map[string][]*Execution{}
	for _, e := range h.execs {
		byKey[e.Key] = append(byKey[e.Key], e)
		if e.InvocationID != "" {
			byCall[e.InvocationID] = append(byCall[e.InvocationID], e)
		}
	}
	return byKey, byCall
}

func (c *Counts) add(i *Invocation, sources, own []*Execution) {
	switch {
	case i.CallerGone:
	case i.Unanswered:
		c.Lost++
	case i.InProgress:
		c.InProgress++
	case i.Outcome == outcome.Completed:
		c.Completed++
		c.addMismatch(i, sources)
	case i.Outcome == outcome.NotRun:
		c.NotRun++
		if len(own) > 0 {
			c.FalseNotRun++
		}
	default:
		c.Unknown++
	}
}

// addMismatch counts an answer that differs from those of all its executions as
// truncated or mismatched.
func (c *Counts) addMismatch(i *Invocation, sources []*Execution) {
	cut := false
	for _, e := range sources {
		if e.Answer == i.Answer {
			return
		}
		cut = cut || strings.HasPrefix(e.Answer, i.Answer)
	}
	if cut {
		c.Truncated++
	} else {
		c.Mismatched++
	}
}

// isFalseInProgress reports whether no other invocation with the key can have been
// in progress.
func (h *History) isFalseInProgress(i *Invocation) bool {
	for _, o := range h.order {
		if o == i || o.Key != i.Key || o.Start > i.End {
			continue
		}
		ended := !o.Unanswered && !o.CallerGone && (o.InProgress || o.Outcome == outcome.NotRun)
		if !ended || o.End > i.Start {
			return false
		}
	}
	return true
}

// Check verifies the history of each key against the register model. The error
// names a key whose history cannot be explained.
func Check(h *History) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	ops := map[string][]porcupine.Operation{}
	for n, e := range h.execs {
		if e.Key == "" {
			continue
		}
		end := e.End
		if end == 0 {
			end = unended
		}
		ops[e.Key] = append(ops[e.Key], porcupine.Operation{ClientId: n, Input: event{ran, e.InvocationID}, Call: e.Start, Output: e.Answer, Return: end})
	}
	for n, i := range h.order {
		if op, ok := answerOperation(i); ok {
			op.ClientId = len(h.execs) + n
			ops[i.Key] = append(ops[i.Key], op)
		}
	}
	for key, o := range ops {
		if !porcupine.CheckOperations(register, o) {
			return fmt.Errorf("key %s: no order of its %d events explains the answers that callers received", key, len(o))
		}
	}
	return nil
}

// FromRecords returns a history of calls and executions that were recorded
// elsewhere, all by the same clock.
func FromRecords(calls []Invocation, runs []Execution) *History {
	h := New()
	for i := range calls {
		h.calls[calls[i].ID] = &calls[i]
		h.order = append(h.order, &calls[i])
	}
	for i := range runs {
		h.execs = append(h.execs, &runs[i])
	}
	return h
}
