package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"peridotpier.example/node/upstream/engineapi"
)

const bufferSize = 16 << 10 // large enough for a write of FlushTokens events

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}

// frame is the part of an event that is the same for all tokens of a stream.
type frame struct{ head, middle, tail []byte }

func (a *attempt) frame() frame {
	object, open, closing := "text_completion", `"text":"`, `"`
	if a.chat {
		object, open, closing = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	name, _ := json.Marshal(a.name) // encoding a string cannot fail
	return frame{
		head:   []byte("id: " + a.id + "."),
		middle: []byte("\ndata: {\"id\":\"gen\",\"object\":\"" + object + "\",\"created\":0,\"model\":" + string(name) + ",\"choices\":[{\"index\":0," + open),
		tail:   []byte(closing + `,"finish_reason":`),
	}
}

// appendEvent appends the event at a position. The event after the last token is
// the end marker.
func (a *attempt) appendEvent(buf []byte, f *frame, position int) []byte {
	buf = append(buf, f.head...)
	buf = strconv.AppendInt(buf, int64(position), 10)
	if position > a.answer.Tokens {
		return append(buf, "\ndata: "+engineapi.StreamEnd+"\n\n"...)
	}
	buf = append(buf, f.middle...)
	buf = a.answer.AppendToken(buf, position)
	buf = append(buf, f.tail...)
	if position == a.answer.Tokens {
		return append(buf, "\"length\"}]}\n\n"...)
	}
	return append(buf, "null}]}\n\n"...)
}

// completeBody returns the body of an answer that is not streamed.
func (a *attempt) completeBody() []byte {
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": a.answer.Text()}
	} else {
		choice["text"] = a.answer.Text()
	}
	body, _ := json.Marshal(map[string]any{ // encoding strings and numbers cannot fail
		"id": "gen", "object": object, "created": 0, "model": a.name, "choices": []any{choice},
		"usage": map[string]int{"prompt_tokens": a.promptTokens, "completion_tokens": a.answer.Tokens, "total_tokens": a.promptTokens + a.answer.Tokens},
	})
	return body
}

// stream writes the attempt's events after a position to its only reader as they
// are produced.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, reader chan struct{}, after int) {
	defer e.abandon(a, reader)
	out := e.newStreamWriter(w, a, after)
	defer out.close()
	for {
		events, o := a.position()
		if !out.writeUpTo(events) {
			return
		}
		switch {
		case out.pos > a.answer.Tokens:
			return
		case o != outcomeRunning && o != outcomeCompleted:
			panic(http.ErrAbortHandler) // cancelled or terminated: the stream breaks off without its end marker
		case o == outcomeCompleted:
			continue
		}
		select {
		case _, mine := <-reader:
			if !mine {
				panic(http.ErrAbortHandler) // another connection took the stream over
			}
		case <-a.done:
		case <-r.Context().Done():
			return
		}
	}
}

type streamWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	a       *attempt
	frame   frame
	foreign *attempt // attempt whose event is written into this stream next; nil: none
	buf     *[]byte
	pos     int
	flush   int
	cutAt   int // position after which the connection is broken; 0: none
}

func (e *Engine) newStreamWriter(w http.ResponseWriter, a *attempt, after int) *streamWriter {
	e.setHeaders(w.Header())
	w.Header().Set(engineapi.HeaderAttempt, a.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	s := &streamWriter{w: w, rc: http.NewResponseController(w), a: a, pos: after, flush: e.cfg.FlushTokens, buf: buffers.Get().(*[]byte)}
	if other := e.answerSource(a); other != a {
		s.foreign = other
	}
	if n := int(e.faults.cutAfter.Load()); n > 0 {
		s.cutAt = after + n
	}
	s.frame = a.frame()
	w.WriteHeader(http.StatusOK)
	_ = s.rc.Flush() // so that the host of the caller receives at once that the attempt was accepted
	return s
}

// writeUpTo writes the events up to a position. It returns false when the
// connection is closed.
func (s *streamWriter) writeUpTo(events int) bool {
	if s.foreign != nil && s.pos < events {
		s.writeForeignEvent()
	}
	for s.pos < events {
		buf := (*s.buf)[:0]
		for n := 0; n < s.flush && s.pos < events; n++ {
			s.pos++
			buf = s.a.appendEvent(buf, &s.frame, s.pos)
			if s.pos == s.cutAt {
				_, _ = s.w.Write(buf)
				_ = s.rc.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		*s.buf = buf
		if _, err := s.w.Write(buf); err != nil {
			return false
		}
		if err := s.rc.Flush(); err != nil {
			return false
		}
	}
	return true
}

// writeForeignEvent writes one event of another attempt into this stream.
func (s *streamWriter) writeForeignEvent() {
	f := s.foreign.frame()
	_, _ = s.w.Write(s.foreign.appendEvent(nil, &f, s.pos+1))
	s.foreign = nil
}

func (s *streamWriter) close() {
	buffers.Put(s.buf)
}
