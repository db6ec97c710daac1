package conn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readOnlyConn is a connection on which all the bytes to read have arrived.
type readOnlyConn struct {
	net.Conn
	r io.Reader
}

func (c *readOnlyConn) Read(p []byte) (int, error)      { return c.r.Read(p) }
func (c *readOnlyConn) SetReadDeadline(time.Time) error { return nil }

// fuzzID is the id of the request whose answer is read.
const fuzzID = "own"

// FuzzReadOwn guards against bytes from an upstream that crash the reader, are taken for an
// answer that does not name the request, or are read without a bound.
func FuzzReadOwn(f *testing.F) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok"
	other := "HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	chunks := "HTTP/1.1 429 X\r\nId: other\r\nTransfer-Encoding: chunked\r\nTrailer: Id\r\n\r\n3;a=b\r\nabc\r\n0\r\nId: own\r\n\r\n"
	unnamed := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, s := range []string{own, other + own, chunks + own, unnamed, unnamed + own, other + unnamed, "HTTP/1.1 100 X\r\n\r\n" + own, other[:20] + own, own + other} {
		f.Add([]byte(s), 1, false)
		f.Add([]byte(s), 2, false)
		f.Add([]byte(s), 2, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, exchanges int, head bool) {
		all := bytes.NewReader(data)
		l := newPersistConn(&readOnlyConn{r: all}, nil, 0)
		l.exchanges, l.sentHead = max(exchanges, 1), head
		req := &http.Request{Method: http.MethodPost}
		if head {
			req.Method = http.MethodHead
		}
		foreign := 0
		r := &Request{Owner: fuzzOwner, OnForeign: func(ForeignAnswer) { foreign++ }}
		resp, err := l.readOwn(r, req)
		assert.Assert(t, foreign <= maxForeignAnswers+1)
		assert.Assert(t, len(data)-all.Len() <= (foreign+1)*(maxHeadBytes+maxForeignBytes*chunkOverhead+readBufferSize))
		if err != nil {
			assert.Assert(t, foreign == 0 || errors.Is(err, ErrForeignAnswer), "%v", err)
			return
		}
		owner := fuzzOwner(resp.Header)
		assert.Assert(t, owner == OwnedByRequest || owner == OwnerUnnamed && foreign == 0 && l.exchanges == 1)
		assert.Equal(t, l.foreign, foreign > 0)
		assert.Assert(t, !l.mayHoldAnotherAnswer(r) || !isSpliced(resp))
		body, err := io.ReadAll(resp.Body)
		assert.Assert(t, len(body) <= len(data))
		assert.Assert(t, !head || len(body) == 0 || err != nil)
	})
}

// chunkOverhead is how many bytes a body in chunks may take for each of its own.
const chunkOverhead = 32

func fuzzOwner(h http.Header) Owner {
	switch h.Get("Id") {
	case fuzzID:
		return OwnedByRequest
	case "":
		return OwnerUnnamed
	}
	return OwnedByOther
}
