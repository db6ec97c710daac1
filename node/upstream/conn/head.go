package conn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"peridotpier.example/node/answerhead"
)

// ErrMalformedHead means that what came is no head of an HTTP answer. Nothing that it says is
// used, and its connection carries no other exchange.
var ErrMalformedHead = answerhead.ErrMalformed

// maxHeadBytes bounds the head of an answer, with those of the interim answers before it, so
// that a faulty upstream cannot exhaust the memory of a small host.
const maxHeadBytes = 64 << 10

var errHeaderTooLarge = errors.New("head of the answer is too large")

// readHead reads the head of the answer to req, passing over interim answers.
func (l *persistConn) readHead(r *Request, req *http.Request) (*http.Response, error) {
	for left := maxHeadBytes; ; {
		length, err := l.awaitHead(left)
		if err != nil {
			return nil, err
		}
		left -= length
		resp, err := http.ReadResponse(l.br, req)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformedHead, err)
		}
		if l.mayHoldAnotherAnswer(r) && isSpliced(resp) {
			r.reportForeign(ForeignAnswer{Status: resp.StatusCode, Header: resp.Header, Owner: OwnerUnnamed, Use: l.use()})
			return nil, errSplicedHead
		}
		if resp.StatusCode >= http.StatusOK {
			checkTrailers(resp)
			return resp, nil
		}
		l.interim++
	}
}

// awaitHead reads until the buffer holds a whole head of at most limit bytes, and returns its
// length. Each line is checked when it is there: what is no head may never end as one.
func (l *persistConn) awaitHead(limit int) (length int, err error) {
	var head answerhead.Checker
	for {
		seen, _ := l.br.Peek(l.br.Buffered()) // no more than is there
		for {
			n := bytes.IndexByte(seen[length:], '\n') + 1
			if n == 0 {
				break
			}
			end, err := head.Line(seen[length : length+n])
			if err != nil {
				return 0, err
			}
			length += n
			if end {
				return length, nil
			}
		}
		if len(seen) >= limit {
			return 0, errHeaderTooLarge
		}
		if err := l.fillBuffer(len(seen)); err != nil {
			return 0, err
		}
	}
}

// fillBuffer reads more than the n bytes that are buffered, into a larger buffer if they fill
// the present one.
func (l *persistConn) fillBuffer(n int) error {
	if n == l.br.Size() {
		l.unread, _ = l.br.Peek(n)
		l.br = bufio.NewReaderSize(l, 2*n)
	}
	_, err := l.br.Peek(n + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// shrinkBuffer replaces a buffer that a large head has enlarged, once nothing is in it.
func (l *persistConn) shrinkBuffer() {
	if l.br.Size() > readBufferSize {
		l.br = bufio.NewReaderSize(l, readBufferSize)
	}
}

// trailedBody is a body in chunks, whose trailers are checked at its end.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// checkTrailers makes the end of a body in chunks fail if the names of its trailers are
// malformed.
func checkTrailers(resp *http.Response) {
	if framingOf(resp) == ByChunks {
		resp.Body = trailedBody{resp.Body, resp}
	}
}

// Read implements io.Reader.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if bad := answerhead.CheckFields(b.resp.Trailer); bad != nil {
			return n, bad
		}
	}
	return n, err
}
