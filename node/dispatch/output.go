package dispatch

import (
	"mime"
	"net/http"
	"strconv"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/bytebudget"
	nodeclaim "peridotpier.example/node/claim"
)

// output writes an answer to the caller and, for a claim, retains it.
type output struct {
	sink        Sink
	started     bool // the head was written: no other attempt may answer
	retain      bool
	maxRetained int64
	budget      *bytebudget.Budget // of answers that are retained
	detached    bool               // the request continues after its caller has disconnected
	callerGone  bool
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

// write writes p to the caller. A request under a claim continues without its
// caller, since its answer will be requested again under its key; any other
// request ends with an error.
func (o *output) write(p []byte) error {
	if o.retain && !o.overflow {
		o.retainBytes(p)
	}
	if o.callerGone {
		return nil
	}
	return o.handleSinkError(o.sink.Write(p))
}

// retainBytes retains p for the claim, unless the answer exceeds its own maximum
// or the host's budget for all answers.
func (o *output) retainBytes(p []byte) {
	if int64(len(o.retained)+len(p)) > o.maxRetained || !o.budget.Reserve(len(p)) {
		o.releaseRetained()
		o.overflow = true
		return
	}
	o.retained = append(o.retained, p...)
}

// releaseRetained drops the retained answer and returns its bytes to the budget.
func (o *output) releaseRetained() {
	if len(o.retained) > 0 {
		o.budget.Release(len(o.retained))
	}
	o.retained = nil
}

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

// answer returns what the claim stores.
func (o *output) answer() nodeclaim.Answer {
	return nodeclaim.Answer{Status: o.head.Status, ContentType: o.head.Header.Get("Content-Type"), Body: o.retained, Dropped: o.overflow}
}

// replay writes the stored answer of a request that ran before. Its status is not passed on
// if it would deny that.
func (o *output) replay(a *nodeclaim.Answer) error {
	if outcome.PromisesNotRun(a.Status) {
		return fault.Unknown(fault.StepClaim, "", fault.CodeUpstreamFailed, "stored answer has status %d: %w", a.Status, errUnfoundedPromise)
	}
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	o.retain = false // it is stored already
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
