// Package answerhead checks heads of HTTP/1.1 answers by RFC 9110 and RFC 9112. The parser of
// net/http accepts more: statuses below 100, blanks in the names of fields, lines that continue
// the one before. What such a head says of the end of its body depends on who reads it, so that
// one reader takes for the body what is the next answer to another.
package answerhead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed means that a head is none of an HTTP/1.1 answer.
var ErrMalformed = errors.New("malformed head of an answer")

// The statuses that answers have.
const (
	minStatus = 100
	maxStatus = 599
)

// maxQuoted is how many bytes of a malformed line an error quotes.
const maxQuoted = 80

// Checker checks one head, line by line. The zero value expects the status line.
type Checker struct {
	begun     bool // the status line was read
	oldServer bool // the answer is of HTTP/1.0
	hasLength bool
	hasCoding bool // a transfer coding
}

// Line checks the next line, which ends with a line feed. It reports whether the head ends
// with it.
func (c *Checker) Line(line []byte) (end bool, err error) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case !c.begun:
		c.begun = true
		return false, c.statusLine(line)
	case len(line) == 0:
		return true, c.framing()
	default:
		return false, c.field(line)
	}
}

const (
	versionPrefix = "HTTP/1."
	statusLength  = 3 // digits
)

// statusLine checks a version, a status and a reason, which may be missing.
func (c *Checker) statusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	if !ok || len(rest) < len("1 ")+statusLength || !isDigit(rest[0]) || rest[1] != ' ' {
		return malformed("status line", line)
	}
	c.oldServer = rest[0] == '0'
	status, reason := rest[2:2+statusLength], rest[2+statusLength:]
	if !isFinalOrInterim(status) {
		return malformed("status", line)
	}
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return malformed("reason", line)
	}
	return nil
}

// isFinalOrInterim reports whether digits are a status that an answer to a request may have.
// Nobody asks for another protocol, so that no answer may switch to one.
func isFinalOrInterim(digits []byte) bool {
	status := 0
	for _, d := range digits {
		if !isDigit(d) {
			return false
		}
		status = 10*status + int(d-'0')
	}
	return isStatus(status)
}

func isStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// field checks a name and a value. A line that begins with a blank, which continues the one
// before, has no name.
func (c *Checker) field(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return malformed("field name", line)
	}
	if !isText(value) {
		return malformed("field value", line)
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		c.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.hasCoding = true
	}
	return nil
}

// framing checks that the head states at most one end of its body.
func (c *Checker) framing() error {
	if c.hasCoding && (c.hasLength || c.oldServer) {
		return fmt.Errorf("%w: a transfer coding beside a length, or from HTTP/1.0", ErrMalformed)
	}
	return nil
}

// CheckFields checks the names of fields, such as trailers, that net/http has parsed.
func CheckFields(h http.Header) error {
	for name := range h {
		if !isToken([]byte(name)) {
			return malformed("field name", []byte(name))
		}
	}
	return nil
}

// CheckParsed checks what is left of a head that a client of net/http has parsed.
func CheckParsed(resp *http.Response) error {
	if !isStatus(resp.StatusCode) {
		return fmt.Errorf("%w: status %d", ErrMalformed, resp.StatusCode)
	}
	return CheckFields(resp.Header)
}

// malformed returns an error that quotes a line.
func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s in %q", ErrMalformed, what, line[:min(len(line), maxQuoted)])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether b holds no control characters but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// tokenBytes are the bytes of tokens.
var tokenBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}
	return is
}()
