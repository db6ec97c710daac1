package conn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/upstream/conn"
)

// notReused is how long after an answer a request must go over another connection, and the
// one before must be closed.
const notReused = 400 * time.Millisecond

// unreadTime is how much longer an upstream may take to read what it had not read, behind which
// it sees the end.
const unreadTime = 2 * time.Second

// returnForm is what an upstream does with the connection of one exchange.
type returnForm struct {
	name, method, answer string
	body                 int           // of the request in bytes
	unread               bool          // the upstream answers before it reads the request's body
	after                string        // what comes after the answer
	pause                time.Duration // between the answer and that
	idle                 time.Duration // between the exchange and the next
	reused               bool
}

// Guards against a request that goes over a connection whose last exchange has not ended in
// every way: its upstream must have read the request and not mean to close, the answer must
// state its end and come whole, and nothing may follow it until the next request.
func TestWhenAConnectionIsUsedAgain(t *testing.T) {
	for _, c := range []returnForm{
		{name: "a length", answer: ok, reused: true},
		{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", reused: true},
		{name: "no body", answer: "HTTP/1.1 204 No Content\r\n\r\n", reused: true},
		{name: "an interim answer before", answer: "HTTP/1.1 103 Early Hints\r\n\r\n" + ok, reused: true},
		{name: "HEAD", method: "HEAD", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", reused: true},
		{name: "a short time idle", answer: ok, idle: notReused / 2, reused: true},

		{name: "the upstream closes", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
		{name: "HTTP/1.0", answer: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{name: "the upstream has not read the request", answer: ok, body: 8 << 20, unread: true},
		{name: "bytes with the answer", answer: ok, after: "x"},
		{name: "bytes just after", answer: ok, after: "x", pause: 5 * time.Millisecond, idle: 50 * time.Millisecond},
		{name: "an answer later", answer: ok, after: ok, pause: 100 * time.Millisecond, idle: 200 * time.Millisecond},
		{name: "a body for HEAD", method: "HEAD", answer: ok},
		{name: "a body for no content", answer: "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok"},
		{name: "a stated idle time that is over", answer: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", idle: 900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int32
			var ended atomic.Bool
			address := serveRaw(t, func(n int, nc net.Conn, r *bufio.Reader) {
				conns.Store(int32(n))
				c.serve(nc, r)
				ended.Store(ended.Load() || n == 1)
			})
			client := conn.New(conn.Config{Dialer: conn.NewDialer()})
			c.exchange(t, client, address)
			time.Sleep(c.idle)
			c.exchange(t, client, address)
			assert.Equal(t, conns.Load() == 1, c.reused)
			time.Sleep(notReused)
			for end := time.Now().Add(unreadTime); c.unread && !ended.Load() && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, ended.Load(), !c.reused, "the connection has ended")
		})
	}
}

// Guards against a connection that stays open though bytes come on it and no request looks.
func TestBytesOnAnIdleConnectionCloseIt(t *testing.T) {
	ended := make(chan time.Duration, 1)
	address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
		c := returnForm{answer: ok, after: "x", pause: 20 * time.Millisecond}
		began := time.Now()
		c.serve(nc, r)
		ended <- time.Since(began)
	})
	(&returnForm{}).exchange(t, conn.New(conn.Config{Dialer: conn.NewDialer()}), address)
	select {
	case took := <-ended:
		assert.Assert(t, took < notReused, "%v", took)
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against bytes that come after the next request was sent, when no check can see them
// any more, and are taken for a part of its answer, or for a sign that it did not run.
func TestBytesBeforeTheNextAnswerFailItsExchange(t *testing.T) {
	address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
		for before := ""; ; before = "x" {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(nc, before+ok)
		}
	})
	client := conn.New(conn.Config{Dialer: conn.NewDialer()})
	(&returnForm{}).exchange(t, client, address)
	_, err := client.Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
	assert.Assert(t, errors.Is(err, conn.ErrMalformedHead), "%v", err)
	assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.Unknown)
}

// serve answers the requests of a connection until it ends.
func (c *returnForm) serve(nc net.Conn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if c.unread {
			c.write(nc)
			_, _ = io.Copy(io.Discard, r) // until the end: a further request would get no answer
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.write(nc)
	}
}

// write writes the answer and what comes after it; without a pause, both in one write, since
// the next request may come between two.
func (c *returnForm) write(nc net.Conn) {
	if c.pause == 0 {
		_, _ = io.WriteString(nc, c.answer+c.after)
		return
	}
	_, _ = io.WriteString(nc, c.answer)
	time.Sleep(c.pause)
	_, _ = io.WriteString(nc, c.after)
}

// exchange sends a request and reads its answer to its end.
func (c *returnForm) exchange(t *testing.T, client *conn.Client, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), boundsTimeLeft)
	defer cancel()
	method := c.method
	if method == "" {
		method = "POST"
	}
	r, err := client.Do(ctx, &conn.Request{Address: address, Method: method, Target: "/", Header: http.Header{}, Body: make([]byte, c.body)})
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)
	r.Finish()
}
