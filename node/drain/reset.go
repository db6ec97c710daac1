package drain

import (
	"context"
	"net/http"
)

// SetResetOnClose makes the connection of a request end with a reset, whatever ends it,
// also the end of this process, or undoes that. It is for answers that end with their
// connection: until one is complete, only a reset tells its end from a break. ctx is the
// request's context.
func SetResetOnClose(ctx context.Context, on bool) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.setResetOnClose(on)
	}
}

// StateNoEnd makes net/http end an answer with its connection: the answer has no end of its
// own, and chunks would state one.
func StateNoEnd(h http.Header) { h.Set("Transfer-Encoding", "identity") }

// ResetUntilWhole makes the connection of a request end with a reset if its answer ends with
// it: the answer, whose header is about to be written, states neither a length nor chunks. It
// reports whether that is so; SetResetOnClose undoes it when all of the answer is written.
func ResetUntilWhole(r *http.Request, answer http.Header) bool {
	endsWithConn := answer.Get("Content-Length") == "" && (answer.Get("Transfer-Encoding") != "" || !r.ProtoAtLeast(1, 1))
	if endsWithConn {
		SetResetOnClose(r.Context(), true)
	}
	return endsWithConn
}

// lingerDefault as the argument of SetLinger is the system's default.
const lingerDefault = -1

func (c *conn) setResetOnClose(on bool) {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	c.resetOnClose.Store(on)
	linger := lingerDefault
	if on {
		linger = 0
	}
	_ = tcp.SetLinger(linger) // fails only on a closed connection
}
