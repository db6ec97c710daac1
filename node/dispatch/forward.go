package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/fault"
	"peridotpier.example/node/bytebudget"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

const (
	// maxBufferedAnswer is up to how many bytes an unstreamed answer is held back
	// until its end, so that another attempt can replace one that broke off. Larger
	// answers are forwarded as they arrive.
	maxBufferedAnswer = 256 << 10
	// streamBufferBytes has room for the events of some twenty tokens.
	streamBufferBytes = 4 << 10
)

// forwardedHeaders lists the headers of an answer that callers receive. All
// others are for the host only.
var forwardedHeaders = []string{"Content-Type", "Content-Language", "Content-Encoding", "Cache-Control", "Etag", "Last-Modified", "Location"}

func (a *attempt) responseHead(resp *conn.Response) Head {
	h := http.Header{}
	for _, k := range forwardedHeaders {
		if v, ok := resp.Header[k]; ok {
			h[k] = v
		}
	}
	return Head{Status: resp.Status, Header: h, Attempt: a.id, Upstream: a.ep.Upstream, Incarnation: a.sentTo.get()}
}

// forward forwards an answer as a stream or unstreamed.
func (a *attempt) forward(ctx context.Context, resp *conn.Response) error {
	if a.w.Stream && isEventStream(resp.Header) {
		if !a.out.started {
			a.out.start(a.responseHead(resp))
			if err := a.out.flush(); err != nil {
				resp.Abort()
				return err
			}
		}
		return a.forwardStream(ctx, resp)
	}
	return a.forwardUnstreamed(resp)
}

// forwardUnstreamed buffers an answer up to maxBufferedAnswer, as far as there is memory for it,
// and forwards the remainder as it arrives.
func (a *attempt) forwardUnstreamed(resp *conn.Response) error {
	body := bodyOf(resp)
	buffered, err := a.d.deps.ResponseMemory.Read(body, resp.Length, maxBufferedAnswer)
	defer buffered.Release() // of what is not written
	if err != nil {
		resp.Abort()
		return a.brokenAnswerError(err)
	}
	h := a.responseHead(resp)
	h.EndsWithConn = resp.Framing == conn.ByConnection
	more := !buffered.Whole
	if !more {
		resp.Finish()
		a.recordCompletion(buffered)
		if !h.EndsWithConn {
			h.Header.Set("Content-Length", strconv.Itoa(buffered.Len()))
		}
	}
	a.out.start(h)
	if _, err := buffered.WriteTo(outputWriter{a.out}); err != nil || !more {
		resp.Abort() // no effect after Finish
		return err
	}
	return a.forwardRemainder(resp, body)
}

// recordCompletion records the length of a model's answer.
func (a *attempt) recordCompletion(answer *bytebudget.Body) {
	if a.w.PlainService {
		return
	}
	if n := completionTokens(answer.Bytes()); n > 0 {
		a.recordLength(n)
	}
}

// outputWriter writes to an output.
type outputWriter struct{ out *output }

// Write implements io.Writer.
func (w outputWriter) Write(p []byte) (int, error) { return len(p), w.out.write(p) }

// forwardRemainder forwards the rest of an answer's body.
func (a *attempt) forwardRemainder(resp *conn.Response, body io.Reader) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		a.watch.recordRead()
		if werr := a.out.write(buf[:n]); werr != nil {
			resp.Abort()
			return werr
		}
		if errors.Is(err, io.EOF) {
			resp.Finish()
			return nil
		}
		if err != nil {
			resp.Abort()
			return a.brokenAnswerError(err)
		}
	}
}

func (a *attempt) brokenAnswerError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Unknown(fault.StepRelay, a.ep.Upstream, fault.CodeDeadlineExceeded, "answer was not whole by the deadline: %w", err)
	}
	return fault.Unknown(fault.StepRelay, a.ep.Upstream, fault.CodeUpstreamFailed, "answer broke off: %w", err)
}

// buffers hold what was read of a stream but not yet forwarded (in), and the
// same events in the caller's form (out).
type buffers struct{ in, out []byte }

var bufferPool = sync.Pool{New: func() any {
	return &buffers{in: make([]byte, streamBufferBytes), out: make([]byte, 0, streamBufferBytes)}
}}

// forwardStream forwards events up to the end marker. Events that were read
// together are written together, so that a fast stream costs few system calls.
func (a *attempt) forwardStream(ctx context.Context, resp *conn.Response) error {
	b := bufferPool.Get().(*buffers)
	defer func() { bufferPool.Put(b) }()
	buffered := 0
	for {
		if buffered == 0 {
			// Most streams are waiting for their next token at any moment. If they
			// held their buffers, these would be the largest part of their memory.
			bufferPool.Put(b)
			resp.WaitReadable()
			b = bufferPool.Get().(*buffers)
		}
		if buffered == len(b.in) {
			b.in = append(b.in, make([]byte, len(b.in))...)
		}
		n, err := resp.Body.Read(b.in[buffered:])
		buffered += n
		if n > 0 {
			a.watch.recordRead()
			used, perr := a.forwardEvents(b, b.in[:buffered])
			if perr != nil {
				resp.Abort()
				return perr
			}
			buffered = copy(b.in, b.in[used:buffered])
		}
		if a.split.ended {
			a.finishStream(resp, err)
			return nil
		}
		if err != nil {
			resp.Abort()
			if ctx.Err() != nil {
				err = errors.Join(context.Cause(ctx), err)
			}
			return a.brokenAnswerError(err)
		}
	}
}

// forwardEvents writes the complete events in src to the caller and returns how
// many bytes of src it used.
func (a *attempt) forwardEvents(b *buffers, src []byte) (used int, err error) {
	before := a.split.position
	b.out, used, err = a.split.rewrite(b.out[:0], src)
	if err != nil {
		if errors.Is(err, errMismatched) {
			a.d.deps.Metrics.Add(metrics.Mismatched, a.ep.DataCentre, a.ep.Upstream, 1)
			a.d.deps.Log.Emit(event.AnswerMismatched, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("attempt", a.id))
		}
		return used, a.brokenAnswerError(err)
	}
	a.watch.position.Store(int64(a.split.position))
	a.recordPace()
	a.d.deps.Metrics.AddTokens(a.split.position - before)
	if len(b.out) == 0 {
		return used, nil
	}
	if err := a.out.write(b.out); err != nil {
		return used, err
	}
	return used, a.out.flush()
}

// recordPace records the upstream's pace and, at the end, the answer's length.
func (a *attempt) recordPace() {
	now := time.Now()
	if a.pace.at.IsZero() && a.split.position > 0 && a.ep.Running+a.ep.Waiting < a.ep.MaxBatch {
		a.d.deps.View.ObserveFirstToken(a.ep.Upstream, now.Sub(a.startedAt))
	}
	if step, ok := a.pace.sample(a.split.position, now); ok {
		a.d.deps.View.ObserveStepTime(a.ep.Upstream, step)
	}
	if a.split.ended {
		a.recordLength(a.split.position)
	}
}

func (a *attempt) recordLength(tokens int) {
	a.d.lengths.observe(a.w.Key, tokens)
	a.d.deps.View.ObserveAnswerLength(a.ep.Upstream, tokens)
}

// finishStream returns the connection for reuse if only the end of the body is
// left on it.
func (a *attempt) finishStream(resp *conn.Response, err error) {
	var rest [64]byte
	for err == nil {
		var n int
		n, err = resp.Body.Read(rest[:])
		if len(bytes.TrimSpace(rest[:n])) > 0 {
			break
		}
	}
	if errors.Is(err, io.EOF) {
		resp.Finish()
		return
	}
	resp.Abort()
}
