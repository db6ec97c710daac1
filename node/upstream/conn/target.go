package conn

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
)

// targetPlaceholder is the target that net/http writes where targetWriter puts another one.
const targetPlaceholder = "*"

// ErrInvalidTarget means that a request target holds bytes that would end it.
var ErrInvalidTarget = errors.New("request target holds blanks or control bytes")

// write writes the request to bw, and flushes it.
func (r *Request) write(bw *bufio.Writer, req *http.Request) error {
	if r.Target == "" {
		if err := req.Write(bw); err != nil {
			return err
		}
		return bw.Flush()
	}
	if err := req.Write(&targetWriter{Writer: bw, line: req.Method + " " + r.Target + " HTTP/1.1\r\n"}); err != nil {
		return err
	}
	return bw.Flush()
}

// targetWriter writes a request with a request line of its own in place of the first one:
// net/http has no form of a URL for each target, and escapes some again.
type targetWriter struct {
	*bufio.Writer
	line    string
	written bool
}

// Write implements io.Writer.
func (w *targetWriter) Write(p []byte) (int, error) {
	if w.written {
		return w.Writer.Write(p)
	}
	end := bytes.IndexByte(p, '\n') + 1
	if end == 0 {
		return len(p), nil
	}
	w.written = true
	if _, err := w.WriteString(w.line); err != nil {
		return 0, err
	}
	n, err := w.Writer.Write(p[end:])
	return end + n, err
}

// checkTarget returns an error if the target may not stand in a request line.
func (r *Request) checkTarget() error {
	for _, b := range []byte(r.Target) {
		if b <= ' ' || b == 0x7f {
			return ErrInvalidTarget
		}
	}
	return nil
}
