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
	sink     Sink
	started  bool // the head went out: no other attempt may answer
	keep     bool
	most     int64
	budget   *keepBudget
	detached bool // the request goes on when its caller is gone
	gone     bool // the caller is gone
	head     Head
	kept     []byte
	overflow bool
}

func (o *output) start(h Head) {
	o.started, o.head = true, h
	if !o.gone {
		o.sink.WriteHead(h)
	}
}

// write passes p on. A claimed request goes on without its caller, since the
// answer will be asked for again under its key; any other ends.
func (o *output) write(p []byte) error {
	if o.keep && !o.overflow {
		o.hold(p)
	}
	if o.gone {
		return nil
	}
	return o.lost(o.sink.Write(p))
}

// hold keeps p for the claim, unless the answer gets too large for its own
// bound or for what the host holds of all answers together.
func (o *output) hold(p []byte) {
	if int64(len(o.kept)+len(p)) > o.most || !o.budget.take(len(p)) {
		o.release()
		o.overflow = true
		return
	}
	o.kept = append(o.kept, p...)
}

// release gives back what the answer took of the host's memory.
func (o *output) release() {
	if len(o.kept) > 0 {
		o.budget.give(len(o.kept))
	}
	o.kept = nil
}

// keepBudget bounds the bytes of answers that a host holds for claims while
// their requests run. Without it, many large answers at once would take the
// memory of a small host.
type keepBudget struct {
	used atomic.Int64
	most int64
}

func (b *keepBudget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.most {
		return true
	}
	b.give(n)
	return false
}

func (b *keepBudget) give(n int) { b.used.Add(-int64(n)) }

func (o *output) flush() error {
	if o.gone {
		return nil
	}
	return o.lost(o.sink.Flush())
}

func (o *output) lost(err error) error {
	if err == nil {
		return nil
	}
	o.gone = true
	if o.detached {
		return nil
	}
	return fault.Unknown(fault.StepRelay, "caller", fault.CodeInternal, "caller is gone: %w", err)
}

// answer is what a claim keeps.
func (o *output) answer() nodeclaim.Answer {
	return nodeclaim.Answer{Status: o.head.Status, ContentType: o.head.Header.Get("Content-Type"), Body: o.kept, Dropped: o.overflow}
}

// replay hands over the stored answer of a request that ran before.
func (o *output) replay(a *nodeclaim.Answer) error {
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	o.keep = false // it is kept
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
