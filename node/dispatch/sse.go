package dispatch

import (
	"bytes"
	"errors"
	"strconv"

	"peridotpier.example/node/upstream/engineapi"
)

var (
	errMismatched   = errors.New("answer belongs to another attempt")
	errGap          = errors.New("stream skips a position")
	errMalformed    = errors.New("stream is malformed")
	errEventTooLong = errors.New("event of the stream is too long")
)

const maxEventBytes = 1 << 20 // maximum size of one event; a token's event takes some 200 bytes

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	streamEnd = []byte(engineapi.StreamEnd)
)

// splitter rewrites the events of one attempt's stream for the caller, each once
// and in order. It is kept across resumptions, so that positions continue.
type splitter struct {
	attempt  []byte
	position int  // position of the last event that was rewritten
	ended    bool // the end marker was rewritten
}

// rewrite appends to dst the caller's form of every complete event in src and
// returns how many bytes of src it used. An upstream's event id is
// "attempt.position"; the caller gets the position alone, which serves as
// Last-Event-ID.
func (s *splitter) rewrite(dst, src []byte) (out []byte, used int, err error) {
	for !s.ended {
		n := bytes.Index(src[used:], eventEnd)
		if n < 0 {
			if len(src)-used > maxEventBytes {
				return dst, used, errEventTooLong
			}
			return dst, used, nil
		}
		if dst, err = s.rewriteEvent(dst, src[used:used+n]); err != nil {
			return dst, used, err
		}
		used += n + len(eventEnd)
	}
	return dst, len(src), nil
}

func (s *splitter) rewriteEvent(dst, ev []byte) ([]byte, error) {
	if len(ev) == 0 || ev[0] == ':' {
		return dst, nil // a comment, sent to keep the connection alive
	}
	id, data, ok := bytes.Cut(ev, []byte{'\n'})
	if !ok || !bytes.HasPrefix(id, idField) || !bytes.HasPrefix(data, dataField) || hasLineBreak(data) {
		return dst, errMalformed
	}
	id = id[len(idField):]
	dot := bytes.LastIndexByte(id, '.')
	if dot < 0 || !bytes.Equal(id[:dot], s.attempt) {
		return dst, errMismatched
	}
	pos, ok := parseNumber(id[dot+1:])
	switch {
	case !ok:
		return dst, errMalformed
	case pos <= s.position:
		return dst, nil // sent again after a resumption
	case pos != s.position+1:
		return dst, errGap
	}
	s.position = pos
	s.ended = bytes.Equal(data[len(dataField):], streamEnd)
	dst = append(dst, idField...)
	dst = strconv.AppendInt(dst, int64(pos), 10)
	dst = append(dst, '\n')
	dst = append(dst, data...)
	return append(dst, eventEnd...), nil
}

// hasLineBreak reports whether b has more than one line. A second line would
// reach the caller as a field of its own: an id there would change the position
// from which the caller resumes.
func hasLineBreak(b []byte) bool {
	return bytes.IndexByte(b, '\n') >= 0 || bytes.IndexByte(b, '\r') >= 0
}

// parseNumber parses a decimal number without allocating.
func parseNumber(b []byte) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > 1<<40 {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, len(b) > 0
}
