package dispatch

import (
	"mime"
	"net/http"
	"strconv"
	"sync/atomic"

	"peridotpier.example/core/fault"
	nodeclaim "peridotpier.example/node/claim"
)

// output passes an answer to the caller and, for a claim, keeps it.
type output struct {
	sink        Sink
	started     bool // the head went out: no other attempt may answer
	retain      bool
	maxRetained int64
	budget      *retainBudget
	detached    bool // the request goes on when its caller is gone
	callerGone  bool // the caller is gone
	head        Head
	retained    []byte
	overflow    bool
}

func (o *output) start(h Head) {
	o.started, o.head = true, h
	if !o.callerGone {
		o.sink.WriteHead(h)
	}
}

// write passes p on. A claimed request goes on without its caller, since the
// answer will be asked for again under its key; any other ends.
func (o *output) write(p []byte) error {
	if o.retain && !o.overflow {
		o.retainBytes(p)
	}
	if o.callerGone {
		return nil
	}
	return o.handleSinkError(o.sink.Write(p))
}

// retainBytes keeps p for the claim, unless the answer gets too large for its own
// bound or for what the host holds of all answers together.
func (o *output) retainBytes(p []byte) {
	if int64(len(o.retained)+len(p)) > o.maxRetained || !o.budget.reserve(len(p)) {
		o.releaseRetained()
		o.overflow = true
		return
	}
	o.retained = append(o.retained, p...)
}

// releaseRetained gives back what the answer took of the host's memory.
func (o *output) releaseRetained() {
	if len(o.retained) > 0 {
		o.budget.release(len(o.retained))
	}
	o.retained = nil
}

// retainBudget bounds the bytes of answers that a host holds for claims while
// their requests run. Without it, many large answers at once would take the
// memory of a small host.
type retainBudget struct {
	used atomic.Int64
	max  int64
}

func (b *retainBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.max {
		return true
	}
	b.release(n)
	return false
}

func (b *retainBudget) release(n int) { b.used.Add(-int64(n)) }

func (o *output) flush() error {
	if o.callerGone {
		return nil
	}
	return o.handleSinkError(o.sink.Flush())
}

func (o *output) handleSinkError(err error) error {
	if err == nil {
		return nil
	}
	o.callerGone = true
	if o.detached {
		return nil
	}
	return fault.Unknown(fault.StepRelay, "caller", fault.CodeInternal, "caller is gone: %w", err)
}

// answer is what a claim keeps.
func (o *output) answer() nodeclaim.Answer {
	return nodeclaim.Answer{Status: o.head.Status, ContentType: o.head.Header.Get("Content-Type"), Body: o.retained, Dropped: o.overflow}
}

// replay hands over the stored answer of a request that ran before.
func (o *output) replay(a *nodeclaim.Answer) error {
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	o.retain = false // it is kept
	o.start(Head{Status: a.Status, Header: h})
	if err := o.write(a.Body); err != nil {
		return err
	}
	return o.flush()
}

func isEventStream(h http.Header) bool {
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return t == "text/event-stream"
}
