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
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

const (
	// wholeHold is how much of an unstreamed answer is held back until its
	// end, so that a broken one can still be had from another attempt. Larger
	// answers are passed on as they come.
	wholeHold = 256 << 10
	// relayBuffer holds some twenty tokens' events.
	relayBuffer = 4 << 10
)

// passedOn are the answer's headers that callers see. All others are between
// hosts and upstreams.
var passedOn = []string{"Content-Type", "Content-Language", "Content-Encoding", "Cache-Control", "Etag", "Last-Modified", "Location"}

func (a *attempt) head(resp *conn.Response) Head {
	h := http.Header{}
	for _, k := range passedOn {
		if v, ok := resp.Header[k]; ok {
			h[k] = v
		}
	}
	return Head{Status: resp.Status, Header: h, Attempt: a.id, Upstream: a.ep.Upstream, Incarnation: a.sent.get()}
}

// relay passes an answer on, by its kind.
func (a *attempt) relay(ctx context.Context, resp *conn.Response) error {
	if a.w.Stream && isEventStream(resp.Header) {
		if !a.out.started {
			a.out.start(a.head(resp))
			if err := a.out.flush(); err != nil {
				resp.Abort()
				return err
			}
		}
		return a.relayStream(ctx, resp)
	}
	return a.relayWhole(resp)
}

// relayWhole holds an answer back up to wholeHold and passes the rest on as
// it comes.
func (a *attempt) relayWhole(resp *conn.Response) error {
	held, err := io.ReadAll(io.LimitReader(resp.Body, wholeHold))
	if err != nil {
		resp.Abort()
		return a.broken(err)
	}
	h := a.head(resp)
	rest := len(held) == wholeHold
	if !rest {
		resp.Finish()
		if n := usedTokens(held); n > 0 && !a.w.PlainService {
			a.learnLength(n)
		}
		h.Header.Set("Content-Length", strconv.Itoa(len(held)))
	}
	a.out.start(h)
	if err := a.out.write(held); err != nil || !rest {
		resp.Abort() // no effect after Finish
		return err
	}
	return a.relayRest(resp)
}

func (a *attempt) relayRest(resp *conn.Response) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		a.watch.touch()
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
			return a.broken(err)
		}
	}
}

func (a *attempt) broken(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.Unknown(fault.StepRelay, a.ep.Upstream, fault.CodeDeadlineExceeded, "answer was not whole by the deadline: %w", err)
	}
	return fault.Unknown(fault.StepRelay, a.ep.Upstream, fault.CodeUpstreamFailed, "answer broke off: %w", err)
}

// buffers hold what was read of a stream but not yet passed on, and the form
// in which it goes to the caller.
type buffers struct{ in, out []byte }

var bufferPool = sync.Pool{New: func() any {
	return &buffers{in: make([]byte, relayBuffer), out: make([]byte, 0, relayBuffer)}
}}

// relayStream passes events on until the end marker. Whatever was read at
// once is written at once, so that a fast stream costs few system calls.
func (a *attempt) relayStream(ctx context.Context, resp *conn.Response) error {
	b := bufferPool.Get().(*buffers)
	defer func() { bufferPool.Put(b) }()
	have := 0
	for {
		if have == 0 {
			// Most streams are between two tokens at any moment: buffers held
			// meanwhile would be the largest part of their memory.
			bufferPool.Put(b)
			resp.WaitReadable()
			b = bufferPool.Get().(*buffers)
		}
		if have == len(b.in) {
			b.in = append(b.in, make([]byte, len(b.in))...)
		}
		n, err := resp.Body.Read(b.in[have:])
		have += n
		if n > 0 {
			a.watch.touch()
			used, perr := a.pass(b, b.in[:have])
			if perr != nil {
				resp.Abort()
				return perr
			}
			have = copy(b.in, b.in[used:have])
		}
		if a.split.done {
			a.endStream(resp, err)
			return nil
		}
		if err != nil {
			resp.Abort()
			if ctx.Err() != nil {
				err = errors.Join(context.Cause(ctx), err)
			}
			return a.broken(err)
		}
	}
}

// pass hands the whole events in src to the caller.
func (a *attempt) pass(b *buffers, src []byte) (used int, err error) {
	before := a.split.position
	b.out, used, err = a.split.pass(b.out[:0], src)
	if err != nil {
		if errors.Is(err, errForeign) {
			a.d.deps.Metrics.Add(metrics.Mismatched, a.ep.DataCentre, a.ep.Upstream, 1)
			a.d.deps.Log.Emit(event.AnswerMismatched, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("attempt", a.id))
		}
		return used, a.broken(err)
	}
	a.watch.position.Store(int64(a.split.position))
	a.measure()
	a.d.deps.Metrics.AddTokens(a.split.position - before)
	if len(b.out) == 0 {
		return used, nil
	}
	if err := a.out.write(b.out); err != nil {
		return used, err
	}
	return used, a.out.flush()
}

// measure learns the upstream's pace, and how long its model's answers are.
func (a *attempt) measure() {
	now := time.Now()
	if a.pace.at.IsZero() && a.split.position > 0 && a.ep.Running+a.ep.Waiting < a.ep.MaxBatch {
		a.d.deps.View.ObserveFirstToken(a.ep.Upstream, now.Sub(a.begun))
	}
	if step, ok := a.pace.note(a.split.position, now); ok {
		a.d.deps.View.ObserveStepTime(a.ep.Upstream, step)
	}
	if a.split.done {
		a.learnLength(a.split.position)
	}
}

func (a *attempt) learnLength(tokens int) {
	a.d.lengths.learn(a.w.Key, tokens)
	a.d.deps.View.ObserveAnswerLength(a.ep.Upstream, tokens)
}

// endStream gives the connection back if nothing but the end of the body is
// left on it.
func (a *attempt) endStream(resp *conn.Response, err error) {
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
