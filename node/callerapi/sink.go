package callerapi

import (
	"net/http"
	"time"

	"peridotpier.example/core/token"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/drain"
	"peridotpier.example/node/inflight"
)

const (
	// writeTimeout is how long a caller may leave an answer unread before writing to
	// it fails; without it a stalled caller would occupy an engine's slot.
	writeTimeout = 30 * time.Second
	// writeDeadlineInterval is the minimum time between two extensions of the write
	// deadline; extending it for each token would cost more than the token.
	writeDeadlineInterval = 5 * time.Second
)

// sink writes an answer to a caller; it implements dispatch.Sink.
type sink struct {
	w             http.ResponseWriter
	rc            *http.ResponseController
	api           *API
	call          *call
	entry         *inflight.Entry
	target        string
	stream        bool
	expires       time.Time
	deadlineSetAt time.Time // when the write deadline was last set
	flushed       bool      // whether Flush was called at least once
	endsWithConn  bool      // the caller sees neither a length nor chunks
	failed        bool      // a write failed
}

func (a *API) newSink(c *call, e *inflight.Entry, target string, stream bool, deadline time.Time) *sink {
	w := c.Response()
	return &sink{w: w, rc: http.NewResponseController(w), api: a, call: c, entry: e, target: target, stream: stream, expires: deadline}
}

// WriteHead implements dispatch.Sink.
func (s *sink) WriteHead(h dispatch.Head) {
	header := s.w.Header()
	for k, v := range h.Header {
		header[k] = v
	}
	if h.Attempt == "" {
		header.Set(HeaderReplayed, "true")
	} else {
		s.entry.RecordDispatch(h.Upstream, h.Attempt)
	}
	if s.stream && h.Attempt != "" {
		header["X-Accel-Buffering"] = []string{"no"}
		t, err := s.api.deps.Tokens.Encode(token.Token{Team: s.call.team.Name, Request: s.call.id, Attempt: h.Attempt,
			Upstream: h.Upstream, Incarnation: h.Incarnation, Model: s.target, Expires: s.expires.Unix() + 1})
		if err == nil { // without a token the stream continues, but cannot be resumed elsewhere
			header.Set(HeaderResume, t)
		}
	}
	s.extendWriteDeadline()
	if h.EndsWithConn {
		drain.StateNoEnd(header)
	}
	s.endsWithConn = drain.ResetUntilWhole(s.call.Request(), header)
	s.w.WriteHeader(h.Status)
}

// finish lets the connection of a complete answer end in order.
func (s *sink) finish() {
	if !s.endsWithConn || s.failed || s.rc.Flush() != nil {
		return
	}
	drain.SetResetOnClose(s.call.ctx(), false)
}

func (s *sink) extendWriteDeadline() {
	now := s.api.deps.Now()
	if now.Sub(s.deadlineSetAt) < writeDeadlineInterval {
		return
	}
	s.deadlineSetAt = now
	_ = s.rc.SetWriteDeadline(now.Add(writeTimeout)) // unsupported in tests without a connection
}

// Write implements dispatch.Sink.
func (s *sink) Write(p []byte) error {
	s.extendWriteDeadline()
	_, err := s.w.Write(p)
	s.failed = s.failed || err != nil
	return err
}

// Flush implements dispatch.Sink.
//
// The first flush writes the head, for which net/http needs almost 3 KB of stack
// in addition to what a request already uses. On the request's own goroutine that
// would double its stack to 16 KB, and a stack of which so much is in use is never
// shrunk: 8 KB a stream for as long as it is open. So another goroutine does it.
func (s *sink) Flush() error {
	if s.flushed {
		return s.rc.Flush()
	}
	s.flushed = true
	done := make(chan error)
	go func() { done <- s.rc.Flush() }()
	return <-done
}
