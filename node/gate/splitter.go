package gate

import "bytes"

// splitter cuts a stream at the ends of its events. A stream that may go on at
// another upstream must stop between events: its upstream may break off in the
// middle of one, and the other begins with a whole one.
type splitter struct {
	whole bool   // hold back events that are not whole
	last  string // id of the last event that was passed on
	held  []byte
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// take returns what can be passed on. The result is valid until the next call.
func (s *splitter) take(b []byte) []byte {
	if !s.whole {
		return b
	}
	s.held = append(s.held, b...)
	end := bytes.LastIndex(bytes.ReplaceAll(s.held, []byte("\r"), []byte("\n")), eventEnd)
	if end < 0 {
		return nil
	}
	out := s.held[:end+len(eventEnd)]
	s.held = append([]byte(nil), s.held[end+len(eventEnd):]...)
	s.note(out)
	return out
}

// rest returns what is held back, at the proper end of the stream.
func (s *splitter) rest() []byte {
	out := s.held
	s.held = nil
	s.note(out)
	return out
}

// note remembers the id of the last event.
func (s *splitter) note(b []byte) {
	for line := range bytes.Lines(b) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.last = string(bytes.TrimSpace(value))
		}
	}
}
