package dispatch

import (
	"mime"
	"net/http"

	"peridotpier.example/core/fault"
)

// output passes an answer to the caller and, for a claim, keeps it.
type output struct {
	sink     Sink
	started  bool // the head went out: no other attempt may answer
	keep     bool
	most     int64
	detached bool // the request goes on when its caller is gone
	gone     bool // the caller is gone
	head     Head
	kept     []byte
	overflow bool
}

func (o *output) start(h Head) {
	o.started, o.head = true, h
	if !o.gone {
		o.sink.Head(h)
	}
}

// write passes p on. A claimed request goes on without its caller, since the
// answer will be asked for again under its key; any other ends.
func (o *output) write(p []byte) error {
	if o.keep {
		if int64(len(o.kept)+len(p)) <= o.most {
			o.kept = append(o.kept, p...)
		} else {
			o.overflow = true
		}
	}
	if o.gone {
		return nil
	}
	return o.lost(o.sink.Write(p))
}

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
func (o *output) answer() Answer {
	a := Answer{Status: o.head.Status, ContentType: o.head.Header.Get("Content-Type"), Body: o.kept, Truncated: o.overflow}
	if a.Truncated {
		a.Body = nil
	}
	return a
}

func isEventStream(h http.Header) bool {
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return t == "text/event-stream"
}
