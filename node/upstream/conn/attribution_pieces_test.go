package conn_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// pieceKind is what an upstream writes.
type pieceKind int

// The kinds.
const (
	pieceOwn     pieceKind = iota // the answer to the request
	pieceUnnamed                  // a copy of an earlier answer that names no request
	pieceForeign                  // a copy of an earlier answer, or of one of another connection
	pieceInterim
	pieceMalformed
	pieceEndless
)

// pieceKinds are the kinds that may come before the own answer. One that names no request
// comes only where an earlier request could have had it.
var pieceKinds = []pieceKind{pieceUnnamed, pieceForeign, pieceForeign, pieceForeign, pieceInterim, pieceMalformed, pieceEndless}

// pieceFraming is how a piece states where its body ends.
type pieceFraming int

// The framings; the last ones state it wrongly and only come with answers to others.
const (
	framedByLength pieceFraming = iota
	framedByChunks
	framedByTrailers
	framedByClose
	framedByStatus
	framedTooShort
	framedTooLong
	framedTwice
	framedByBadChunks
)

// piece is one thing that an upstream writes.
type piece struct {
	kind    pieceKind
	status  int
	framing pieceFraming
	unnamed bool // an own answer without an id
	closes  bool // it says that the connection ends
	size    int  // bytes of the body of an answer to another
	echoes  bool // this body goes on with what looks like an answer to the request
	of      int  // which of the earlier requests
	text    int  // which malformed or endless form
	wait    time.Duration
	cut     int  // bytes that are written; negative: all
	ends    bool // the connection ends behind the cut
}

func drawPiece(rt *rapid.T, k pieceKind) piece {
	x := piece{
		kind:    k,
		status:  rapid.SampledFrom([]int{200, 503, 503, 429, 421, 408, 400, 500}).Draw(rt, "status"),
		framing: framedByLength,
		unnamed: k == pieceUnnamed || k == pieceOwn && rapid.IntRange(0, 5).Draw(rt, "unnamed") == 0,
		closes:  rapid.IntRange(0, 15).Draw(rt, "closes") == 0,
		size:    rapid.SampledFrom([]int{0, 5, 300, 64<<10 + 1, 100 << 10}).Draw(rt, "size"),
		of:      rapid.IntRange(0, 5).Draw(rt, "of"),
		text:    rapid.IntRange(0, 9).Draw(rt, "text"),
		wait:    time.Duration(rapid.SampledFrom([]int{0, 0, 0, 2, 20, 300, 1200}).Draw(rt, "wait")) * time.Millisecond,
		cut:     -1,
	}
	x.echoes = rapid.IntRange(0, 3).Draw(rt, "echoes") == 0
	last := framedByBadChunks
	if k == pieceOwn {
		last = framedByStatus
	}
	if rapid.Bool().Draw(rt, "framed") {
		x.framing = pieceFraming(rapid.IntRange(0, int(last)).Draw(rt, "framing"))
	}
	if rapid.IntRange(0, 9).Draw(rt, "whole") == 0 {
		x.cut, x.ends = rapid.IntRange(0, 400).Draw(rt, "cut"), rapid.Bool().Draw(rt, "ends")
	}
	return x
}

// ownBody is the body of the answer to attempt n: it looks like an answer that names no
// request and promises that the request did not run.
func ownBody(n int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\nOf: none\r\n\r\nof %d %s", n, strings.Repeat("x", 97*n))
}

// playedConn is the upstream's side of a connection.
type playedConn struct {
	play     *play
	nc       net.Conn
	number   int
	received []sentRequest
	queue    chan []byte // to write; nil: the connection ends
}

// write writes what is queued, since the peer may read none of it for long.
func (w *playedConn) write() {
	defer func() { _ = w.nc.Close() }()
	for b := range w.queue {
		if b == nil {
			return
		}
		if _, err := w.nc.Write(b); err != nil {
			return
		}
	}
}

// answer writes the pieces for s. Those behind a cut are not written.
func (w *playedConn) answer(s sentRequest) {
	mayBeOthers := len(w.received) > 1 // an answer without an id
	for _, x := range s.pieces {
		if x.kind == pieceUnnamed && !mayBeOthers {
			continue // there is no request on this connection that it could be for
		}
		mayBeOthers = mayBeOthers || x.kind == pieceOwn || x.kind == pieceForeign
		time.Sleep(x.wait)
		b := w.bytes(s, x)
		if x.cut >= 0 && x.cut < len(b) {
			w.queue <- b[:x.cut]
			if x.ends {
				w.queue <- nil
			}
			return
		}
		w.queue <- b
		if x.kind == pieceOwn && x.framing == framedByClose {
			w.queue <- nil
			return
		}
	}
}

// bytes returns a piece as it is written for s.
func (w *playedConn) bytes(s sentRequest, x piece) []byte {
	switch x.kind {
	case pieceOwn:
		return ownAnswer(s, x)
	case pieceInterim:
		return bytes.Repeat([]byte("HTTP/1.1 103 X\r\nNot-Run: 1\r\nLink: </a>\r\n\r\n"), 1+x.text)
	case pieceMalformed:
		return []byte(malformed[x.text%len(malformed)])
	case pieceEndless:
		e := endless[x.text%len(endless)]
		return append([]byte(fmt.Sprintf(e.head, w.otherID(s, x))), bytes.Repeat([]byte(e.repeated), 200<<10/len(e.repeated))...)
	default:
		id := ""
		if !x.unnamed {
			id = w.otherID(s, x)
		}
		return frame(s.method, x, id, "Of: other\r\nNot-Run: 1\r\n", otherBody(s, x))
	}
}

// otherBody is the body of an answer to another request. Only where it has a stated end can
// it hold what looks like an answer.
func otherBody(s sentRequest, x piece) []byte {
	b := bytes.Repeat([]byte("y"), x.size)
	if x.echoes && x.framing <= framedByTrailers {
		b = fmt.Appendf(b, "HTTP/1.1 503 X\r\nId: %s\r\nOf: echo\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", s.id)
	}
	return b
}

// otherID returns the id of another request that was sent before s.
func (w *playedConn) otherID(s sentRequest, x piece) string {
	w.play.mu.Lock()
	defer w.play.mu.Unlock()
	for i := range w.play.sent {
		o := w.play.sent[(i+x.of)%len(w.play.sent)]
		if o.id != s.id {
			return o.id
		}
	}
	return "other"
}

// ownAnswer is the answer to s.
func ownAnswer(s sentRequest, x piece) []byte {
	id, headers := s.id, fmt.Sprintf("Of: %d\r\n", s.attempt)
	if x.unnamed {
		id = ""
	}
	if !s.ran {
		headers += "Not-Run: 1\r\n"
	}
	return frame(s.method, x, id, headers, ownBody(s.attempt))
}

// frame writes an answer with a body.
func frame(method string, x piece, id, headers string, body []byte) []byte {
	if id != "" {
		headers += "Id: " + id + "\r\n"
	}
	if x.closes {
		headers += "Connection: close\r\n"
	}
	status := x.status
	if x.framing == framedByStatus {
		status = http.StatusNoContent
	}
	b := fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%s", status, headers)
	length, chunk := "Content-Length: %d\r\n", fmt.Appendf(nil, "%x\r\n%s\r\n", len(body), body)
	if len(body) == 0 {
		chunk = nil
	}
	switch x.framing {
	case framedByLength:
		b = fmt.Appendf(b, length, len(body))
	case framedTooShort:
		b = fmt.Appendf(b, length, len(body)/2)
	case framedTooLong:
		b = fmt.Appendf(b, length, len(body)+70)
	case framedTwice:
		b = fmt.Appendf(b, length+length, len(body), len(body)+1)
	case framedByChunks:
		b, body = append(b, "Transfer-Encoding: chunked\r\n"...), append(chunk, "0\r\n\r\n"...)
	case framedByTrailers:
		b, body = append(b, "Transfer-Encoding: chunked\r\nTrailer: Not-Run\r\n"...), append(chunk, "0\r\nNot-Run: 1\r\nId: a\r\n\r\n"...)
	case framedByBadChunks:
		b, body = append(b, "Transfer-Encoding: chunked\r\n"...), append(chunk, "zz\r\n\r\n"...)
	case framedByStatus:
		body = nil
	}
	b = append(b, "\r\n"...)
	if method == http.MethodHead && x.kind == pieceOwn {
		return b
	}
	return append(b, body...)
}

// malformed are bytes that are no answer.
var malformed = []string{
	"\r\n\r\n", "HTTP/1.1\r\n\r\n", "HTTP/1.1 503\r\nNot-Run 1\r\n\r\n", "HTTP/9.9 200 X\r\nId: other\r\nContent-Length: 0\r\n\r\n",
	"POST / HTTP/1.1\r\n\r\n", "HTTP/1.1 200 X\r\nId: other\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 503 X\r\n Not-Run: 1\r\n\r\n",
	"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\n", "\x00\xff\x00", "HTTP/1.1 99999 X\r\n\r\n",
}

// endless are pieces whose last bytes come again and again.
var endless = []struct{ head, repeated string }{
	{"HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n", "A: b\r\n"},
	{"HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nA: ", "b"},
	{"HTTP/1.1 103 X\r\nA: %s\r\n\r\n", "HTTP/1.1 103 X\r\nNot-Run: 1\r\n\r\n"},
	{"HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	{"HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "ext=1;"},
	{"HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: a\r\n"},
	{"HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n\r\n", "body"},
	{"HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 X\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
}
