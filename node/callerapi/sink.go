package callerapi

import (
	"net/http"
	"time"

	"peridotpier.example/core/token"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/inflight"
)

const (
	// writeBound is how long a caller may leave an answer unread before its
	// connection is given up; otherwise a stalled caller holds an engine's slot.
	writeBound = 30 * time.Second
	// writeBoundEach is how often the bound is pushed on; doing it for each
	// token would cost more than the token.
	writeBoundEach = 5 * time.Second
)

// sink hands an answer to a caller.
type sink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	api     *API
	call    *call
	entry   *inflight.Entry
	target  string
	stream  bool
	expires time.Time
	bounded time.Time // when the write bound was set last
	flushed bool      // once at least
}

func (a *API) newSink(c *call, e *inflight.Entry, target string, stream bool, deadline time.Time) *sink {
	w := c.Response()
	return &sink{w: w, rc: http.NewResponseController(w), api: a, call: c, entry: e, target: target, stream: stream, expires: deadline}
}

// WriteHead implements dispatch.Sink.
func (s *sink) WriteHead(h dispatch.Head) {
	to := s.w.Header()
	for k, v := range h.Header {
		to[k] = v
	}
	if h.Attempt == "" {
		to.Set(HeaderReplayed, "true")
	} else {
		s.entry.RecordDispatch(h.Upstream, h.Attempt)
	}
	if s.stream && h.Attempt != "" {
		to["X-Accel-Buffering"] = []string{"no"}
		t, err := s.api.deps.Tokens.Encode(token.Token{Team: s.call.team.Name, Request: s.call.id, Attempt: h.Attempt,
			Upstream: h.Upstream, Incarnation: h.Incarnation, Model: s.target, Expires: s.expires.Unix() + 1})
		if err == nil { // without it the stream goes on, but cannot be resumed elsewhere
			to.Set(HeaderResume, t)
		}
	}
	s.bound()
	s.w.WriteHeader(h.Status)
}

func (s *sink) bound() {
	now := s.api.deps.Now()
	if now.Sub(s.bounded) < writeBoundEach {
		return
	}
	s.bounded = now
	_ = s.rc.SetWriteDeadline(now.Add(writeBound)) // unsupported in tests without a connection
}

// Write implements dispatch.Sink.
func (s *sink) Write(p []byte) error {
	s.bound()
	_, err := s.w.Write(p)
	return err
}

// Flush implements dispatch.Sink.
//
// The first flush writes the head, for which net/http needs almost 3 KB of
// stack on top of what a request already uses. On the request's own goroutine
// that would double its stack to 16 KB, and a stack in use that deep is never
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
