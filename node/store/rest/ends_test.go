package rest

import (
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/answerhead"
	"peridotpier.example/node/store"
)

// object is an object in the store.
const object = "a stored answer"

// answerText serves one answer, given as bytes, on each connection.
func answerText(t *testing.T, text string) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096) // the request has fewer bytes
			_, _ = c.Read(buf)
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}()
	c := New(Config{BaseURL: "http://" + ln.Addr().String()})
	t.Cleanup(c.Close)
	return c
}

// Guards against an object whose rest is lost and that is taken as whole: an object has no
// end of its own, so the end of its connection does not show that it is whole.
func TestObjectCutWithItsConnection(t *testing.T) {
	c := answerText(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+object[:5])
	data, err := c.Objects().Get(t.Context(), "k")
	assert.Assert(t, err != nil, "read %q as whole", data)
	assert.ErrorIs(t, err, ErrNoEnd)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a whole object that is refused because of a content coding in transit.
func TestObjectIsAskedForWithoutContentCoding(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") == "identity" {
			_, _ = io.WriteString(w, object)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		_, _ = io.WriteString(z, object)
		_ = z.Close()
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	c := New(Config{BaseURL: "http://" + ln.Addr().String()})
	t.Cleanup(c.Close)
	data, err := c.Objects().Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(data), object)
}

// Guards against the same for an object that is larger than what is read of it.
func TestObjectLargerThanTheLimit(t *testing.T) {
	body := strings.Repeat("x", maxAnswerBytes+1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	c := New(Config{BaseURL: "http://" + ln.Addr().String(), Timeout: 30 * time.Second}) // longer than the transfer takes
	t.Cleanup(c.Close)
	data, err := c.Objects().Get(t.Context(), "k")
	assert.Assert(t, err != nil, "read %d of %d bytes as whole", len(data), len(body))
	assert.ErrorIs(t, err, ErrAnswerTooLarge)
}

// Guards against lists that are cut short with their connection and taken as whole: the
// end of a list is in its bytes.
func TestListCutWithItsConnection(t *testing.T) {
	list := `{"rows":[{"key":"a"},{"key":"b"}]}`
	for n := range len(list) {
		c := answerText(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list[:n])
		_, err := c.List(t.Context(), "", "", 10)
		assert.Assert(t, err != nil, "%q", list[:n])
	}
}

// Guards against an answer whose head is none of HTTP and that is taken for the service's word.
func TestAMalformedHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 200 OK\r\nA B: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Type : text/plain\r\n"} {
		c := answerText(t, head+"Connection: close\r\nContent-Length: 14\r\n\r\n"+`{"version": 7}`)
		_, err := c.Commit(t.Context(), store.Txn{})
		assert.ErrorIs(t, err, store.ErrUnconfirmed, "%q", head)
		_, err = c.Objects().Get(t.Context(), "k")
		assert.ErrorIs(t, err, answerhead.ErrMalformed, "%q", head)
	}
}
