// Package eventstream reads the event stream format of HTML.
package eventstream

import "bytes"

// Scanner follows a stream of events (the event stream format of HTML) and
// finds where its events end. Lines end with LF, CR or CRLF, and an event ends with
// an empty line. The zero value is at the start of a stream.
type Scanner struct {
	started  bool // a line has begun or ended: no byte order mark follows
	afterCR  bool // a following LF belongs to the same line end
	crlf     bool // lines have ended with CRLF, so that an LF is due after a CR
	inLine   bool // a line has begun and not ended
	inEvent  bool // a field has begun since the last event ended
	bomBytes int  // bytes of a byte order mark at the start
	hasData  bool // a line of data has begun
	matched  int  // bytes of dataStart with which the present line begins; -1: it begins otherwise
}

var byteOrderMark = []byte("\xef\xbb\xbf")

// dataStart is how a line with data begins, unless its value is empty.
const dataStart = "data:"

// Scan reads the next bytes of the stream. It returns up to where the stream is outside
// an event: the number of bytes up to and including the last line end after which none
// has begun; 0: there is none.
func (s *Scanner) Scan(b []byte) (outside int) {
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case s.skipMark(c):
		case c == '\n' && s.afterCR:
			s.afterCR, s.crlf = false, true
		case c == '\n' || c == '\r':
			s.afterCR = c == '\r'
			s.endLine()
		default:
			s.beginLine(c)
			end := lineRest(b, i)
			s.readName(b[i : end+1])
			i = end
			continue
		}
		if !s.InsideEvent() {
			outside = i + 1
		}
	}
	return outside
}

// lineRest returns the index of the last byte of the line that b[i] belongs to.
func lineRest(b []byte, i int) int {
	rest := bytes.IndexAny(b[i:], "\r\n")
	if rest < 0 {
		return len(b) - 1
	}
	return i + rest - 1
}

// skipMark reports whether c belongs to a byte order mark at the start of the stream.
func (s *Scanner) skipMark(c byte) bool {
	if s.started || s.bomBytes >= len(byteOrderMark) || c != byteOrderMark[s.bomBytes] {
		s.started = true
		return false
	}
	s.bomBytes++
	return true
}

// beginLine reads the first byte of a line, or of the rest of one.
func (s *Scanner) beginLine(c byte) {
	s.afterCR = false
	if s.inLine {
		return
	}
	s.inLine = true
	s.inEvent = s.inEvent || c != ':' // a line with a colon first is a comment
}

// readName reads what a line begins with, until the stream has data.
func (s *Scanner) readName(b []byte) {
	for i := 0; i < len(b) && !s.hasData && s.matched >= 0; i++ {
		if b[i] != dataStart[s.matched] {
			s.matched = -1
			return
		}
		s.matched++
		s.hasData = s.matched == len(dataStart)
	}
}

// endLine ends a line. An empty one ends the event.
func (s *Scanner) endLine() {
	s.inEvent = s.inEvent && s.inLine
	s.inLine = false
	s.hasData = s.hasData || s.matched == len(dataStart)-1 // a field without a colon has an empty value
	s.matched = 0
}

// HasData reports whether a line of data has begun. Comments and other fields are no part of
// an answer: some servers send them while a request waits.
func (s *Scanner) HasData() bool { return s.hasData }

// InsideEvent reports whether the bytes so far end inside an event or a line.
func (s *Scanner) InsideEvent() bool { return s.inEvent || s.inLine || s.afterCR && s.crlf }
