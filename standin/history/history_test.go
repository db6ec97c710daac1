package history

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/outcome"
)

// run records an invocation that executes with an answer.
func run(h *History, call, key, answer string) {
	h.Invoke(call, key)
	h.Finish(h.Begin(Execution{InvocationID: call, Key: key, Attempt: call}), answer)
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		make func(h *History)
		ok   bool
		want Counts
	}{
		{"once, then replayed", func(h *History) {
			run(h, "c1", "k", "abc")
			h.Answered("c1", outcome.Completed, "abc")
			h.Invoke("c2", "k")
			h.Answered("c2", outcome.Completed, "abc")
		}, true, Counts{Requests: 2, Completed: 2}},
		{"ran twice", func(h *History) {
			run(h, "c1", "k", "abc")
			h.Answered("c1", outcome.Unknown, "")
			run(h, "c2", "k", "abc")
			h.Answered("c2", outcome.Completed, "abc")
		}, false, Counts{Requests: 2, Completed: 1, Unknown: 1, Duplicated: 1}},
		{"not run, but ran", func(h *History) {
			run(h, "c1", "k", "abc")
			h.Answered("c1", outcome.NotRun, "")
		}, false, Counts{Requests: 1, NotRun: 1, FalseNotRun: 1}},
		{"not run, then ran after all", func(h *History) {
			h.Invoke("c1", "k")
			h.Answered("c1", outcome.NotRun, "")
			h.Begin(Execution{InvocationID: "c1", Key: "k", Attempt: "late"})
		}, false, Counts{Requests: 1, NotRun: 1, FalseNotRun: 1}},
		{"mismatched answer", func(h *History) {
			run(h, "c1", "k", "abc")
			h.Answered("c1", outcome.Completed, "xyz")
		}, false, Counts{Requests: 1, Completed: 1, Mismatched: 1}},
		{"truncated answer", func(h *History) {
			run(h, "c1", "k", "abc")
			h.Answered("c1", outcome.Completed, "ab")
		}, false, Counts{Requests: 1, Completed: 1, Truncated: 1}},
		{"answered before it ran", func(h *History) {
			h.Invoke("c1", "k")
			h.Answered("c1", outcome.Completed, "abc")
			h.Finish(h.Begin(Execution{InvocationID: "c1", Key: "k"}), "abc")
		}, false, Counts{Requests: 1, Completed: 1}},
		{"unknown explains anything", func(h *History) {
			run(h, "c1", "k", "abc")
			h.Answered("c1", outcome.Unknown, "")
			h.Invoke("c2", "k")
			h.CallerLeft("c2")
		}, true, Counts{Requests: 2, Unknown: 1}},
		{"in progress while no other invocation can run", func(h *History) {
			h.Invoke("c1", "k")
			h.Answered("c1", outcome.NotRun, "")
			h.Invoke("c2", "k")
			h.AnsweredInProgress("c2")
			h.Invoke("c3", "k")
		}, true, Counts{Requests: 3, NotRun: 1, InProgress: 1, FalseInProgress: 1, Lost: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := New()
			c.make(h)
			assert.Equal(t, Check(h) == nil, c.ok)
			assert.Equal(t, h.Count(), c.want)
		})
	}
}
