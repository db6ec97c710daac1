package gate

import "bytes"

// splitter cuts a stream at event boundaries. A stream that may be resumed at another
// upstream must stop between events: its upstream may break off in the middle of
// one, and the other starts with a complete one.
type splitter struct {
	completeEvents bool   // hold back incomplete events
	lastEventID    string // id of the last event that was returned
	incomplete     []byte
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// split adds bytes and returns those that can be forwarded. The result is valid until
// the next call.
func (s *splitter) split(b []byte) []byte {
	if !s.completeEvents {
		return b
	}
	s.incomplete = append(s.incomplete, b...)
	end := bytes.LastIndex(bytes.ReplaceAll(s.incomplete, []byte("\r"), []byte("\n")), eventEnd)
	if end < 0 {
		return nil
	}
	out := s.incomplete[:end+len(eventEnd)]
	s.incomplete = append([]byte(nil), s.incomplete[end+len(eventEnd):]...)
	s.recordID(out)
	return out
}

// flush returns the bytes held back, at the proper end of the stream.
func (s *splitter) flush() []byte {
	out := s.incomplete
	s.incomplete = nil
	s.recordID(out)
	return out
}

// recordID remembers the id of the last event.
func (s *splitter) recordID(b []byte) {
	for line := range bytes.Lines(b) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.lastEventID = string(bytes.TrimSpace(value))
		}
	}
}
