package gate

import (
	"bytes"
	"mime"
	"net/http"

	"peridotpier.example/node/eventstream"
)

// splitter cuts a stream at event boundaries. A stream that may be resumed at another
// upstream must stop between events: its upstream may break off in the middle of
// one, and the other starts with a complete one.
type splitter struct {
	opaque         bool   // the bytes are no events; they are returned as they come
	completeEvents bool   // hold back incomplete events
	lastEventID    string // id of the last event that was returned
	scanner        eventstream.Scanner
	incomplete     []byte
	tooLong        bool // the event that is held back exceeds maxEventBytes
	// positionUnknown reports that the last event that was returned has no id: no other
	// upstream can continue after it.
	positionUnknown bool
}

var (
	idField   = []byte("id")
	dataField = []byte("data")
)

// maxEventBytes is the longest event that is held back: far more than an event of some
// tokens takes, and little enough for a host with hundreds of streams.
const maxEventBytes = 1 << 20

// split adds bytes and returns those that can be forwarded. The result is valid until
// the next call, or until b is used again.
func (s *splitter) split(b []byte) []byte {
	if s.opaque {
		return b
	}
	outside := s.scanner.Scan(b)
	if !s.completeEvents {
		return b
	}
	if outside == 0 {
		s.incomplete = append(s.incomplete, b...)
		s.tooLong = len(s.incomplete) > maxEventBytes
		return nil
	}
	out := b[:outside]
	if len(s.incomplete) > 0 {
		out = append(s.incomplete, out...)
	}
	s.incomplete = append([]byte(nil), b[outside:]...)
	s.recordPosition(out)
	return out
}

// hasBegun reports whether bytes that have arrived are part of an answer.
func (s *splitter) hasBegun() bool { return s.opaque || s.scanner.HasData() }

// insideEvent reports whether the stream has so far ended inside an event.
func (s *splitter) insideEvent() bool { return s.scanner.InsideEvent() }

// recordPosition remembers the position after whole events.
func (s *splitter) recordPosition(b []byte) {
	id, hasData := "", false
	for len(b) > 0 {
		var line []byte
		line, b = cutLine(b)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0 && (hasData || id != ""):
			s.positionUnknown = id == ""
			if id != "" {
				s.lastEventID = id
			}
			id, hasData = "", false
		case bytes.Equal(name, idField):
			id = eventID(value)
		case bytes.Equal(name, dataField):
			hasData = true
		}
	}
}

// cutLine returns the first line of b without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	end := bytes.IndexAny(b, "\r\n")
	if end < 0 {
		return b, nil
	}
	line, rest = b[:end], b[end+1:]
	if b[end] == '\r' && len(rest) > 0 && rest[0] == '\n' {
		rest = rest[1:]
	}
	return line, rest
}

// eventID returns the id in the value of an id field; "": none. A NUL makes it invalid.
func eventID(value []byte) string {
	if bytes.IndexByte(value, 0) >= 0 {
		return ""
	}
	return string(bytes.TrimSpace(value))
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether a body is a stream of events, as it is unless its header
// names another type, or a content coding: encoded bytes show no events.
func isEventStream(h http.Header) bool {
	if eventstream.IsEncoded(h) {
		return false
	}
	stated := h.Get("Content-Type")
	if stated == "" || stated == eventStreamType {
		return true
	}
	mediaType, _, _ := mime.ParseMediaType(stated) // with unreadable parameters there is a type, too
	return mediaType == eventStreamType || mediaType == ""
}
